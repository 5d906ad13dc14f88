// A UDP socket on the event loop: passes received datagrams to a callback and sends unbuffered.
#pragma once

#include <ev++.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::net {

// Parses "ip:port" with a numeric IPv4 address; std::nullopt for any other text.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string to_string(const sockaddr_in& address);

class udp_endpoint {
public:
    using receive_callback =
        std::function<void(std::string_view sender, std::span<const std::uint8_t> datagram)>;

    // Throws std::system_error when the address can't be bound. Port 0 selects any free port.
    udp_endpoint(ev::loop_ref loop, std::string_view address, receive_callback on_receive);
    ~udp_endpoint();
    udp_endpoint(const udp_endpoint&) = delete;
    udp_endpoint& operator=(const udp_endpoint&) = delete;

    // Best effort: a datagram that the system doesn't accept, for example because the send buffer
    // is full, is dropped and counted in dropped_sends().
    void send(std::string_view address, std::span<const std::uint8_t> datagram);

    // Passes what the socket holds to the callback. The event loop calls it when there is
    // something; a call every tick as well keeps last_empty_at() recent on a socket without
    // traffic.
    void receive();
    // When the socket was last found empty. The datagrams that the callback gets now were not there
    // then, and may have waited since.
    clock::time_point last_empty_at() const { return last_empty_at_; }

    std::string local_address() const;
    std::int64_t dropped_sends() const { return dropped_sends_; }

private:
    void on_readable(ev::io& watcher, int events);

    int socket_ = -1;
    receive_callback on_receive_;
    ev::io watcher_;
    std::vector<std::uint8_t> buffer_;
    std::unordered_map<std::string, sockaddr_in> address_cache_;  // bounded in send()
    std::int64_t dropped_sends_ = 0;
    clock::time_point last_empty_at_ = clock::now();
};

}  // namespace bramleytrack::net
