// The packets of flows as the users' platform carries them, for the stand-ins of targets and
// callers.
//
// Written apart from the adapter on purpose: the one checks the other.
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
    std::uint32_t sum = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string data;

    bool has(packet_flag flag) const { return (flags & flag) != 0; }
};

// A sum over what nobody between the ends may change; 0 stands for a reset of the system's own.
std::uint32_t sum_of(const flow_packet& packet);

std::vector<std::uint8_t> encode(flow_packet packet);
// Nothing when the datagram is no packet, or the sum is wrong and it isn't a reset with sum 0.
std::optional<flow_packet> decode(std::span<const std::uint8_t> datagram);

std::string text_of(std::uint32_t address, std::uint16_t port);

}  // namespace bramleytrack::standins
