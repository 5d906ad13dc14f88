#include "wire/codec.h"

#include <highwayhash/sip_hash.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>
#include <memory>

#include "base/hash.h"

namespace bramleytrack::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

// The fastest level compresses configurations to a tenth of their size, at 1 ms per 300 KB.
constexpr int compression_level = 1;
constexpr std::size_t tag_size = sizeof(std::uint64_t);
// An element of any list takes at least ten bytes on the wire.
constexpr std::size_t max_list_elements = max_datagram_size / 10;

std::uint64_t compute_tag(std::span<const std::uint8_t> bytes, const fleet_key& key) {
    // The library's function takes a reference to a C array.
    const highwayhash::HH_U64 sip_key[2] = {key[0], key[1]};  // NOLINT(*-c-arrays)
    return highwayhash::SipHash(sip_key, reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

// Returns the bytes after the tag if the tag is valid.
std::variant<std::span<const std::uint8_t>, result_code> authenticate(
    std::span<const std::uint8_t> bytes, const fleet_key& key) {
    if (bytes.size() <= tag_size) {
        return result_code::malformed_datagram;
    }
    std::uint64_t tag = 0;
    std::memcpy(&tag, bytes.data(), tag_size);
    const auto content = bytes.subspan(tag_size);
    if (tag != compute_tag(content, key)) {
        return result_code::unauthenticated_datagram;
    }
    return content;
}

std::span<const std::uint8_t> to_bytes(std::string_view text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

template <typename Message>
std::variant<Message, result_code> decode(std::span<const std::uint8_t> bytes, std::size_t max_size,
                                          std::size_t max_elements) {
    if (bytes.empty() || bytes.size() > max_size) {
        return result_code::malformed_datagram;
    }
    // TMemoryBuffer only reads in OBSERVE mode, but its constructor takes a mutable pointer.
    auto* data = const_cast<std::uint8_t*>(bytes.data());  // NOLINT(*-const-cast)
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
    // A forged length or element count would make the decoder allocate memory for data that is not
    // in the message. A field is therefore limited to the size of the message, and a list to the
    // number of elements that fit into one.
    const auto max_field_size = static_cast<int>(bytes.size());
    compact_protocol protocol{buffer, max_field_size,
                              std::min(max_field_size, static_cast<int>(max_elements))};
    Message message;
    try {
        const auto bytes_read = message.read(&protocol);
        if (bytes_read != bytes.size()) {
            return result_code::malformed_datagram;
        }
    } catch (const std::exception&) {
        return result_code::malformed_datagram;
    }
    return message;
}

}  // namespace

fleet_key derive_fleet_key(std::string_view passphrase) {
    const auto seed = hash_of(passphrase);
    return {hash_of(seed, 0), hash_of(seed, 1), hash_of(seed, 2), hash_of(seed, 3)};
}

struct encoder::implementation {
    std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol{buffer};

    std::span<const std::uint8_t> contents() const {
        std::uint8_t* data = nullptr;
        std::uint32_t size = 0;
        buffer->getBuffer(&data, &size);
        return {data, size};
    }
};

encoder::encoder() : implementation_{std::make_unique<implementation>()} {}
encoder::~encoder() = default;

std::span<const std::uint8_t> encoder::encode(const packet& message) {
    implementation_->buffer->resetBuffer();
    message.write(&implementation_->protocol);
    return implementation_->contents();
}

std::span<const std::uint8_t> encoder::encode(const peer_message& message, const fleet_key& key) {
    implementation_->buffer->resetBuffer();
    const std::array<std::uint8_t, tag_size> placeholder{};
    implementation_->buffer->write(placeholder.data(), tag_size);
    message.write(&implementation_->protocol);
    const auto bytes = implementation_->contents();
    const auto tag = compute_tag(bytes.subspan(tag_size), key);
    std::memcpy(const_cast<std::uint8_t*>(bytes.data()), &tag, tag_size);  // NOLINT(*-const-cast)
    return bytes;
}

std::variant<packet, result_code> decode_packet(std::span<const std::uint8_t> datagram) {
    return decode<packet>(datagram, max_datagram_size, max_list_elements);
}

std::string encode_transfer(const configuration_transfer& transfer) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol{buffer};
    transfer.write(&protocol);
    return buffer->getBufferAsString();
}

std::variant<configuration_transfer, result_code> decode_transfer(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    return decode<configuration_transfer>({data, bytes.size()}, max_transfer_size,
                                          max_transfer_steps);
}

std::string encode_store_changes(const store_changes& changes, const fleet_key& key) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol{buffer};
    changes.write(&protocol);
    const auto uncompressed = buffer->getBufferAsString();
    std::string text(tag_size + ZSTD_compressBound(uncompressed.size()), '\0');
    const auto size = ZSTD_compress(text.data() + tag_size, text.size() - tag_size,
                                    uncompressed.data(), uncompressed.size(), compression_level);
    text.resize(tag_size + (ZSTD_isError(size) != 0 ? 0 : size));
    const auto tag = compute_tag(to_bytes(text).subspan(tag_size), key);
    std::memcpy(text.data(), &tag, tag_size);
    return text;
}

std::variant<store_changes, result_code> decode_store_changes(std::string_view bytes,
                                                              const fleet_key& key) {
    const auto authenticated = authenticate(to_bytes(bytes), key);
    if (const auto* error = std::get_if<result_code>(&authenticated)) {
        return *error;
    }
    const auto content = std::get<std::span<const std::uint8_t>>(authenticated);
    // The size in the frame header is checked before memory is allocated for it.
    const auto size = ZSTD_getFrameContentSize(content.data(), content.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > max_store_changes_size) {
        return result_code::malformed_datagram;
    }
    std::string uncompressed(size, '\0');
    const auto decompressed_size =
        ZSTD_decompress(uncompressed.data(), uncompressed.size(), content.data(), content.size());
    if (decompressed_size != uncompressed.size()) {
        return result_code::malformed_datagram;
    }
    return decode<store_changes>(to_bytes(uncompressed), max_store_changes_size, max_store_records);
}

std::variant<peer_message, result_code> decode_peer_message(std::span<const std::uint8_t> datagram,
                                                            const fleet_key& key) {
    const auto authenticated = authenticate(datagram, key);
    if (const auto* error = std::get_if<result_code>(&authenticated)) {
        return *error;
    }
    return decode<peer_message>(std::get<std::span<const std::uint8_t>>(authenticated),
                                max_datagram_size, max_list_elements);
}

}  // namespace bramleytrack::wire
