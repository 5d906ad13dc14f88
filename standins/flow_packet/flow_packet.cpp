#include "flow_packet/flow_packet.h"

#include <array>

#include "base/hash.h"

namespace bramleytrack::standins {
namespace {

constexpr std::size_t header_size = 32;
constexpr int byte_bits = 8;
constexpr std::uint64_t checksum_key = 0x5eed;

void append(std::vector<std::uint8_t>& to, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) {
        to.push_back(static_cast<std::uint8_t>(value >> (i * byte_bits)));
    }
}

// Reads a big-endian number and removes it from the front of the span.
std::uint32_t read_front(std::span<const std::uint8_t>& from, std::size_t bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = (value << byte_bits) | from[i];
    }
    from = from.subspan(bytes);
    return value;
}

std::vector<std::uint8_t> serialize(const flow_packet& packet) {
    std::vector<std::uint8_t> bytes;
    append(bytes, packet.source_port, 2);
    append(bytes, packet.source, 4);
    append(bytes, packet.destination_port, 2);
    append(bytes, packet.destination, 4);
    append(bytes, packet.echo, 4);
    append(bytes, packet.checksum, 4);
    append(bytes, packet.sequence, 4);
    append(bytes, packet.acknowledged, 4);
    append(bytes, packet.data.size(), 2);
    append(bytes, packet.flags, 1);
    append(bytes, 0, 1);
    bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
    return bytes;
}

}  // namespace

std::uint32_t checksum_of(const flow_packet& packet) {
    auto covered = packet;
    covered.echo = 0;
    covered.checksum = 0;
    const auto bytes = serialize(covered);
    const std::string text{bytes.begin(), bytes.end()};
    return static_cast<std::uint32_t>(hash_of(hash_of(text), checksum_key)) | 1U;
}

std::vector<std::uint8_t> encode(flow_packet packet) {
    packet.checksum = checksum_of(packet);
    return serialize(packet);
}

std::optional<flow_packet> decode(std::span<const std::uint8_t> datagram) {
    if (datagram.size() < header_size) {
        return std::nullopt;
    }
    auto rest = datagram;
    flow_packet packet;
    packet.source_port = static_cast<std::uint16_t>(read_front(rest, 2));
    packet.source = read_front(rest, 4);
    packet.destination_port = static_cast<std::uint16_t>(read_front(rest, 2));
    packet.destination = read_front(rest, 4);
    packet.echo = read_front(rest, 4);
    packet.checksum = read_front(rest, 4);
    packet.sequence = read_front(rest, 4);
    packet.acknowledged = read_front(rest, 4);
    const auto length = read_front(rest, 2);
    packet.flags = static_cast<std::uint8_t>(read_front(rest, 1));
    read_front(rest, 1);
    packet.data.assign(rest.begin(), rest.end());
    const bool is_balancer_reset =
        packet.checksum == 0 && packet.has(flag_rst) && packet.data.empty();
    const bool is_complete = packet.data.size() == length;
    return is_complete && (is_balancer_reset || packet.checksum == checksum_of(packet))
               ? std::optional{packet}
               : std::nullopt;
}

std::string format_address(std::uint32_t address, std::uint16_t port) {
    constexpr std::array<int, 4> shifts{24, 16, 8, 0};
    constexpr std::uint32_t byte_mask = 0xFF;
    std::string text;
    for (const int shift : shifts) {
        text += (text.empty() ? "" : ".") + std::to_string((address >> shift) & byte_mask);
    }
    return text + ":" + std::to_string(port);
}

}  // namespace bramleytrack::standins
