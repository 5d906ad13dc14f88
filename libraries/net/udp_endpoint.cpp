#include "net/udp_endpoint.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>

#include "wire/codec.h"

namespace bramleytrack::net {
namespace {

// Holds a burst of a whole service's datagrams while the event loop is busy.
constexpr int socket_buffer_size = 4 * 1024 * 1024;
// Bounds the work per wake-up, so that timers aren't delayed under a flood.
constexpr int max_datagrams_per_wakeup = 256;
constexpr std::size_t max_cached_addresses = 100'000;

}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string host{text.substr(0, colon)};
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == end &&
                          inet_pton(AF_INET, host.c_str(), &result.sin_addr) == 1;
    return is_valid ? std::optional{result} : std::nullopt;
}

std::string to_string(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> host{};
    inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string{host.data()} + ":" + std::to_string(ntohs(address.sin_port));
}

udp_endpoint::udp_endpoint(ev::loop_ref loop, std::string_view address, receive_callback on_receive)
    : on_receive_{std::move(on_receive)}, watcher_{loop}, buffer_(wire::max_datagram_size) {
    const auto local = parse_address(address);
    if (!local) {
        throw std::system_error(EINVAL, std::generic_category(), std::string{address});
    }
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &socket_buffer_size, sizeof(socket_buffer_size));
    setsockopt(socket_, SOL_SOCKET, SO_SNDBUF, &socket_buffer_size, sizeof(socket_buffer_size));
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&*local), sizeof(*local)) != 0) {
        const int error = errno;
        close(socket_);
        throw std::system_error(error, std::generic_category(), std::string{address});
    }
    watcher_.set<udp_endpoint, &udp_endpoint::on_readable>(this);
    watcher_.start(socket_, ev::READ);
}

udp_endpoint::~udp_endpoint() {
    watcher_.stop();
    close(socket_);
}

void udp_endpoint::send(std::string_view address, std::span<const std::uint8_t> datagram) {
    const std::string text{address};
    auto cached = address_cache_.find(text);
    if (cached == address_cache_.end()) {
        const auto parsed = parse_address(text);
        if (!parsed) {
            ++dropped_sends_;
            return;
        }
        if (address_cache_.size() >= max_cached_addresses) {
            address_cache_.clear();
        }
        cached = address_cache_.emplace(text, *parsed).first;
    }
    const auto sent =
        sendto(socket_, datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&cached->second), sizeof(cached->second));
    if (sent < 0) {
        ++dropped_sends_;
    }
}

std::string udp_endpoint::local_address() const {
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&local), &size);
    return to_string(local);
}

void udp_endpoint::on_readable(ev::io& /*watcher*/, int /*events*/) {
    receive();
}

void udp_endpoint::receive() {
    for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
        const auto read_began_at = clock::now();
        sockaddr_in sender{};
        socklen_t size = sizeof(sender);
        const auto received = recvfrom(socket_, buffer_.data(), buffer_.size(), 0,
                                       reinterpret_cast<sockaddr*>(&sender), &size);
        if (received < 0) {
            last_empty_at_ = read_began_at;
            return;
        }
        on_receive_(to_string(sender), {buffer_.data(), static_cast<std::size_t>(received)});
    }
}

}  // namespace bramleytrack::net
