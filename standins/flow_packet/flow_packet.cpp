#include "flow_packet/flow_packet.h"

#include <array>

#include "base/hash.h"

namespace bramleytrack::standins {
namespace {

constexpr std::size_t head_size = 32;
constexpr int byte_bits = 8;
constexpr std::uint64_t sum_key = 0x5eed;

void put(std::vector<std::uint8_t>& to, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) {
        to.push_back(static_cast<std::uint8_t>(value >> (i * byte_bits)));
    }
}

// Takes the next big-endian number off the front.
std::uint32_t take(std::span<const std::uint8_t>& from, std::size_t bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = (value << byte_bits) | from[i];
    }
    from = from.subspan(bytes);
    return value;
}

std::vector<std::uint8_t> bytes_of(const flow_packet& packet) {
    std::vector<std::uint8_t> bytes;
    put(bytes, packet.source_port, 2);
    put(bytes, packet.source, 4);
    put(bytes, packet.destination_port, 2);
    put(bytes, packet.destination, 4);
    put(bytes, packet.echo, 4);
    put(bytes, packet.sum, 4);
    put(bytes, packet.sequence, 4);
    put(bytes, packet.acknowledged, 4);
    put(bytes, packet.data.size(), 2);
    put(bytes, packet.flags, 1);
    put(bytes, 0, 1);
    bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
    return bytes;
}

}  // namespace

std::uint32_t sum_of(const flow_packet& packet) {
    auto covered = packet;
    covered.echo = 0;
    covered.sum = 0;
    const auto bytes = bytes_of(covered);
    const std::string text{bytes.begin(), bytes.end()};
    return static_cast<std::uint32_t>(hash_of(hash_of(text), sum_key)) | 1U;
}

std::vector<std::uint8_t> encode(flow_packet packet) {
    packet.sum = sum_of(packet);
    return bytes_of(packet);
}

std::optional<flow_packet> decode(std::span<const std::uint8_t> datagram) {
    if (datagram.size() < head_size) {
        return std::nullopt;
    }
    auto rest = datagram;
    flow_packet packet;
    packet.source_port = static_cast<std::uint16_t>(take(rest, 2));
    packet.source = take(rest, 4);
    packet.destination_port = static_cast<std::uint16_t>(take(rest, 2));
    packet.destination = take(rest, 4);
    packet.echo = take(rest, 4);
    packet.sum = take(rest, 4);
    packet.sequence = take(rest, 4);
    packet.acknowledged = take(rest, 4);
    const auto length = take(rest, 2);
    packet.flags = static_cast<std::uint8_t>(take(rest, 1));
    take(rest, 1);
    packet.data.assign(rest.begin(), rest.end());
    const bool is_own_reset = packet.sum == 0 && packet.has(flag_rst) && packet.data.empty();
    const bool is_whole = packet.data.size() == length;
    return is_whole && (is_own_reset || packet.sum == sum_of(packet)) ? std::optional{packet}
                                                                      : std::nullopt;
}

std::string text_of(std::uint32_t address, std::uint16_t port) {
    constexpr std::array<int, 4> shifts{24, 16, 8, 0};
    constexpr std::uint32_t byte_mask = 0xFF;
    std::string text;
    for (const int shift : shifts) {
        text += (text.empty() ? "" : ".") + std::to_string((address >> shift) & byte_mask);
    }
    return text + ":" + std::to_string(port);
}

}  // namespace bramleytrack::standins
