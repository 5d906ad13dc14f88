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

// Failure: the other end loses power or is cut off, and its silence looks like a quiet connection
// for minutes. Probes each second and two misses show it within about three.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_probes = 2;
// For data that was sent and not acknowledged, which keep-alive probes don't watch.
constexpr int unacknowledged_limit_milliseconds = 3'000;
constexpr int backlog = 128;
constexpr std::size_t read_size = 64UL * 1024;

void set_option(int socket, int level, int name, int value) {
    // An option that a system lacks makes failures slower to notice, not wrong.
    (void)setsockopt(socket, level, name, &value, sizeof(value));
}

void prepare(int socket) {
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_milliseconds);
}

}  // namespace

descriptor::~descriptor() {
    if (is_open()) {
        close(number_);
    }
}

descriptor::descriptor(descriptor&& other) noexcept : number_{std::exchange(other.number_, -1)} {}

descriptor& descriptor::operator=(descriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
}

descriptor begin_connect(const sockaddr_in& address) {
    descriptor result{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!result.is_open()) {
        return result;
    }
    prepare(result.get());
    const auto connected =
        connect(result.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return connected == 0 || errno == EINPROGRESS ? std::move(result) : descriptor{};
}

descriptor listen_on(const sockaddr_in& address) {
    descriptor result{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    set_option(result.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (!result.is_open() ||
        bind(result.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(result.get(), backlog) != 0) {
        throw std::system_error(errno, std::generic_category(), "listen");
    }
    return result;
}

descriptor accept_from(int listening) {
    descriptor result{accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (result.is_open()) {
        prepare(result.get());
    }
    return result;
}

bool read_available(int socket, std::string& to) {
    std::array<char, read_size> buffer;  // NOLINT(*-member-init): filled by recv
    while (true) {
        const auto count = recv(socket, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            to.append(buffer.data(), static_cast<std::size_t>(count));
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
