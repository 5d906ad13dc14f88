// The decoded header of one packet of a flow. The payload is never inspected.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

#include "base/clock.h"
#include "base/hash.h"
#include "base/result_code.h"
#include "discovery/target.h"

namespace bramleytrack::steering {

using discovery::endpoint;
using discovery::routing_token;

struct flow_key {
    endpoint caller;
    endpoint route;

    auto operator<=>(const flow_key&) const = default;
};

struct flow_key_hash {
    std::size_t operator()(const flow_key& key) const {
        const auto pack = [](const endpoint& each) {
            constexpr int port_bits = 16;
            return (std::uint64_t{each.address} << port_bits) | each.port;
        };
        return hash_of(pack(key.caller), pack(key.route));
    }
};

struct segment {
    flow_key flow;
    routing_token token = 0;         // from the target's last packet; 0 on an opening
    std::uint32_t sequence = 0;      // of the first byte of the payload
    std::uint32_t acknowledged = 0;  // the target's bytes that the caller has received
    // The number of the retransmission, as the packet states it; 0 for the original. Only opening
    // packets are numbered.
    std::uint32_t copy = 0;
    std::uint16_t length = 0;  // of the payload
    bool is_opening = false;
    bool is_closing = false;
    bool is_reset = false;
    // How long it may have waited in this instance's socket at most. Set by the receiver.
    clock::duration max_socket_wait{0};
};

// A reset that this instance sends to the caller.
struct reset {
    flow_key flow;
    std::uint32_t sequence = 0;
};

// Converts between datagrams and segments. Implemented by the platform adapter.
class segment_codec {
public:
    segment_codec() = default;
    segment_codec(const segment_codec&) = delete;
    segment_codec& operator=(const segment_codec&) = delete;
    virtual ~segment_codec() = default;

    virtual std::variant<segment, result_code> decode(
        std::span<const std::uint8_t> datagram) const = 0;
    // Encodes the datagram for a target, addressed to that target alone and carrying its token.
    // Writes into `buffer` and returns the part that is used.
    virtual std::span<const std::uint8_t> encode_forward(std::span<const std::uint8_t> datagram,
                                                         const discovery::target& to,
                                                         std::span<std::uint8_t> buffer) const = 0;
    virtual std::span<const std::uint8_t> encode_reset(const reset& content,
                                                       std::span<std::uint8_t> buffer) const = 0;
    // The maximum number of bytes that encode_forward adds.
    virtual std::size_t overhead() const = 0;
};

}  // namespace bramleytrack::steering
