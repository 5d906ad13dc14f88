#include "net/tcp.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace bramleytrack::net {
namespace {

// A peer that loses power or its network sends no FIN or RST, so for minutes the connection would
// look merely idle. Sending keep-alive probes each second and giving up after two unanswered ones
// detects this within about 3 s.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_probes = 2;
// TCP_USER_TIMEOUT covers sent data that isn't acknowledged: no keep-alive probes are sent then.
constexpr int user_timeout_milliseconds = 3'000;
constexpr int listen_backlog = 128;
constexpr std::size_t read_size = 64UL * 1024;

void set_option(int socket, int level, int name, int value) {
    // On a system without one of these options, failures are only detected later.
    (void)setsockopt(socket, level, name, &value, sizeof(value));
}

void set_connection_options(int socket) {
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_milliseconds);
}

}  // namespace

descriptor::~descriptor() {
    if (is_open()) {
        close(fd_);
    }
}

descriptor::descriptor(descriptor&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}

descriptor& descriptor::operator=(descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}

descriptor begin_connect(const sockaddr_in& address) {
    descriptor result{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!result.is_open()) {
        return result;
    }
    set_connection_options(result.get());
    const auto connected =
        connect(result.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return connected == 0 || errno == EINPROGRESS ? std::move(result) : descriptor{};
}

descriptor listen_on(const sockaddr_in& address) {
    descriptor result{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    set_option(result.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (!result.is_open() ||
        bind(result.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(result.get(), listen_backlog) != 0) {
        throw std::system_error(errno, std::generic_category(), "listen");
    }
    return result;
}

descriptor accept_from(int listener) {
    descriptor result{accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (result.is_open()) {
        set_connection_options(result.get());
    }
    return result;
}

bool read_available(int socket, std::string& output) {
    std::array<char, read_size> buffer;  // NOLINT(*-member-init): filled by recv
    while (true) {
        const auto count = recv(socket, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            output.append(buffer.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                return true;
            }
            continue;
        }
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    }
}

bool write_available(int socket, std::string& data) {
    while (!data.empty()) {
        const auto count = send(socket, data.data(), data.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        data.erase(0, static_cast<std::size_t>(count));
    }
    return true;
}

}  // namespace bramleytrack::net
