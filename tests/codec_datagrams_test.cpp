// Wire codec: truncated, oversized, random, forged or unauthenticated datagrams are rejected with a
// result code. None crashes the decoder or makes it allocate memory for a forged size.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "configuration/patch.h"
#include "wire/codec.h"

namespace bramleytrack {
namespace {

using bytes = std::vector<std::uint8_t>;

const auto fleet_key = wire::derive_fleet_key("a fleet of tests");

wire::packet sample_packet() {
    wire::packet packet;
    packet.kind = wire::packet_kind::request;
    packet.service_address = "10.0.0.1:443";
    packet.caller = "10.1.0.1:5000";
    packet.flow = 7;
    packet.member = "member";
    packet.payload = "payload";
    return packet;
}

bytes encoded_packet() {
    wire::encoder encoder;
    const auto datagram = encoder.encode(sample_packet());
    return {datagram.begin(), datagram.end()};
}

bytes encoded_message() {
    wire::peer_message message;
    message.sender = "a";
    wire::hand_over content;
    content.target = "t";
    content.flows.resize(3);
    message.__set_handed_over(content);
    wire::encoder encoder;
    const auto datagram = encoder.encode(message, fleet_key);
    return {datagram.begin(), datagram.end()};
}

TEST(codec_datagrams, complete_datagrams_are_decoded) {
    const auto packet = wire::decode_packet(encoded_packet());
    ASSERT_TRUE(std::holds_alternative<wire::packet>(packet));
    EXPECT_EQ(std::get<wire::packet>(packet), sample_packet());
    const auto message = wire::decode_peer_message(encoded_message(), fleet_key);
    EXPECT_TRUE(std::holds_alternative<wire::peer_message>(message));
}

TEST(codec_datagrams, truncated_oversized_or_extended_datagrams_are_rejected) {
    const auto datagram = encoded_packet();
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        EXPECT_TRUE(std::holds_alternative<result_code>(
            wire::decode_packet(std::span{datagram}.first(size))))
            << size;
    }
    auto longer = datagram;
    longer.push_back(0);
    EXPECT_TRUE(std::holds_alternative<result_code>(wire::decode_packet(longer)));
    longer.resize(wire::max_datagram_size + 1);
    EXPECT_TRUE(std::holds_alternative<result_code>(wire::decode_packet(longer)));
}

TEST(codec_datagrams, a_message_with_another_key_is_unauthenticated) {
    const auto other = wire::derive_fleet_key("another fleet");
    EXPECT_EQ(std::get<result_code>(wire::decode_peer_message(encoded_message(), other)),
              result_code::unauthenticated_datagram);
    EXPECT_EQ(std::get<result_code>(wire::decode_peer_message({}, fleet_key)),
              result_code::malformed_datagram);
}

TEST(codec_datagrams, an_unknown_field_is_skipped) {
    // During a rolling upgrade newer instances send fields that older ones don't know. This is
    // field 50 of type i32 in Thrift's compact protocol, before the end of the struct.
    auto datagram = encoded_packet();
    datagram.pop_back();
    datagram.insert(datagram.end(), {0x05, 100, 2, 0x00});
    EXPECT_TRUE(std::holds_alternative<wire::packet>(wire::decode_packet(datagram)));
}

TEST(codec_datagrams, a_patch_with_a_forged_content_size_is_rejected) {
    // A zstd frame whose header claims a content size of four gigabytes.
    const std::string forged{"\x28\xb5\x2f\xfd\xa0\xff\xff\xff\xff", 9};
    EXPECT_EQ(configuration::apply_patch("", forged), std::nullopt);
    EXPECT_EQ(configuration::apply_patch("", ""), std::nullopt);
}

RC_GTEST_PROP(codec_datagrams, random_bytes_do_not_crash_the_decoder, (const bytes& datagram)) {
    wire::decode_packet(datagram);
    wire::decode_peer_message(datagram, fleet_key);
    wire::decode_transfer({reinterpret_cast<const char*>(datagram.data()), datagram.size()});
    RC_SUCCEED("no crash");
}

RC_GTEST_PROP(codec_datagrams, modified_datagrams_are_rejected_or_decoded,
              (const std::vector<std::pair<std::uint16_t, std::uint8_t>>& mutations)) {
    auto packet = encoded_packet();
    auto message = encoded_message();
    const auto original = message;
    for (const auto& [position, value] : mutations) {
        packet[position % packet.size()] = value;
        message[position % message.size()] = value;
    }
    wire::decode_packet(packet);
    const auto decoded = wire::decode_peer_message(message, fleet_key);
    RC_ASSERT(std::holds_alternative<wire::peer_message>(decoded) == (message == original));
}

RC_GTEST_PROP(codec_datagrams, a_modified_patch_gives_no_text_over_the_maximum_size,
              (const std::vector<std::pair<std::uint16_t, char>>& mutations)) {
    const std::string base(3'000, 'a');
    auto patch = configuration::make_patch(base, base + "b" + base);
    for (const auto& [position, value] : mutations) {
        patch[position % patch.size()] = value;
    }
    const auto text = configuration::apply_patch(base, patch);
    RC_ASSERT(text.value_or("").size() <= configuration::max_text_size);
}

}  // namespace
}  // namespace bramleytrack
