// Encoding of all messages: Thrift compact protocol, with a SipHash tag on messages between peers.
//
// Sources: Apache Thrift compact protocol; SipHash-2-4 (Aumasson, Bernstein).
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/result_code.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::wire {

// Largest UDP payload over IPv4.
constexpr std::size_t max_datagram_size = 65507;

// Maximum size of a configuration transfer that is reassembled from parts: it has room for the
// complete text, compressed or not.
constexpr std::size_t max_transfer_size = 1'100'000;
constexpr std::size_t max_transfer_steps = 256;

// Limits of a peer's copy of the store. Its largest expected size is 4,700 targets of 300 bytes and
// a configuration of a megabyte; the limit on the size is more than twice as much.
constexpr std::size_t max_store_changes_size = 8'000'000;
constexpr std::size_t max_store_records = 50'000;

// Shared secret of the fleet; every instance derives it from the passphrase in its settings.
using fleet_key = std::array<std::uint64_t, 4>;

// Derives the key from the passphrase in the settings.
fleet_key derive_fleet_key(std::string_view passphrase);

// Encodes messages into an internal buffer. The returned view is valid until the next call.
class encoder {
public:
    encoder();
    ~encoder();
    encoder(const encoder&) = delete;
    encoder& operator=(const encoder&) = delete;

    std::span<const std::uint8_t> encode(const packet& message);
    std::span<const std::uint8_t> encode(const peer_message& message, const fleet_key& key);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

std::variant<packet, result_code> decode_packet(std::span<const std::uint8_t> datagram);

// A chain of configuration changes. It is sent in parts, since it may be larger than a datagram.
std::string encode_transfer(const configuration_transfer& transfer);
std::variant<configuration_transfer, result_code> decode_transfer(std::string_view bytes);

// A peer's response with store entries, compressed, and authenticated by a tag like a datagram.
std::string encode_store_changes(const store_changes& changes, const fleet_key& key);
std::variant<store_changes, result_code> decode_store_changes(std::string_view bytes,
                                                              const fleet_key& key);

// Verifies the tag first, so that unauthenticated bytes never reach the decoder.
std::variant<peer_message, result_code> decode_peer_message(std::span<const std::uint8_t> datagram,
                                                            const fleet_key& key);

}  // namespace bramleytrack::wire
