// Codec of the users' platform's flow packets, for the stand-ins of targets and callers.
//
// Deliberately independent of the adapter's codec, so that each implementation checks the other.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bramleytrack::standins {

enum packet_flag : std::uint8_t { flag_ack = 8, flag_rst = 16, flag_fin = 32, flag_syn = 64 };

struct flow_packet {
    std::uint16_t source_port = 0;
    std::uint32_t source = 0;
    std::uint16_t destination_port = 0;
    std::uint32_t destination = 0;
    std::uint32_t echo = 0;
    std::uint32_t checksum = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string data;

    bool has(packet_flag flag) const { return (flags & flag) != 0; }
};

// Checksum of the fields that must not change between caller and target. 0 in a packet marks a
// reset that the balancer itself sent.
std::uint32_t checksum_of(const flow_packet& packet);

std::vector<std::uint8_t> encode(flow_packet packet);
// std::nullopt if the datagram is not a packet, or its checksum is wrong and it is not a reset with
// checksum 0.
std::optional<flow_packet> decode(std::span<const std::uint8_t> datagram);

std::string format_address(std::uint32_t address, std::uint16_t port);

}  // namespace bramleytrack::standins
