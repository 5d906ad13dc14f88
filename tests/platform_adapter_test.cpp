// Platform adapter: decoding and encoding of packets and records, including malformed ones that
// other clients of the store may write.
#include <gtest/gtest.h>

#include <array>

#include "discovery/peer_shard.h"
#include "platform/packet_codec.h"
#include "platform/record_codec.h"

namespace bramleytrack {
namespace {

using platform_adapter::packet_codec;
using platform_adapter::record_codec;
using steering::segment;

// The example of an opening packet in the platform's documentation.
constexpr std::array<std::uint8_t, 32> example_opening{
    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00,
    0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x40, 0x00};
// The reset that rejects it.
constexpr std::array<std::uint8_t, 32> example_reset{
    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00};

bool is_malformed(std::span<const std::uint8_t> datagram) {
    return std::holds_alternative<result_code>(packet_codec{}.decode(datagram));
}

TEST(packet_codec, decodes_the_documented_opening_packet) {
    const auto decoded = std::get<segment>(packet_codec{}.decode(example_opening));
    EXPECT_TRUE(decoded.is_opening);
    EXPECT_EQ(to_string(decoded.flow.caller), "100.64.0.7:40001");
    EXPECT_EQ(to_string(decoded.flow.route), "198.18.0.1:443");
    EXPECT_EQ(decoded.sequence, 0x11223344U);
    EXPECT_EQ(decoded.copy, 0U);
}

TEST(packet_codec, decodes_the_copy_number_from_the_acknowledgement_field) {
    auto retransmission = example_opening;
    retransmission[27] = 2;
    const auto decoded = std::get<segment>(packet_codec{}.decode(retransmission));
    EXPECT_EQ(decoded.copy, 2U);
    EXPECT_EQ(decoded.acknowledged, 0U);
}

TEST(packet_codec, encodes_the_documented_reset) {
    const auto opening = std::get<segment>(packet_codec{}.decode(example_opening));
    std::array<std::uint8_t, 64> buffer{};
    const auto encoded = packet_codec{}.encode_reset({.flow = opening.flow}, buffer);
    EXPECT_TRUE(std::ranges::equal(encoded, example_reset));
}

TEST(packet_codec, forwarded_packet_has_target_identity_prefix_and_token) {
    discovery::target target;
    target.entry.identity = 0x7f3a91c2;
    target.token = 0x01020304;
    std::array<std::uint8_t, 64> buffer{};
    const auto encoded = packet_codec{}.encode_forward(example_opening, target, buffer);
    ASSERT_EQ(encoded.size(), 40U);
    const std::array<std::uint8_t, 8> identity{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    EXPECT_TRUE(std::ranges::equal(encoded.first(8), identity));
    auto expected = example_opening;
    expected[12] = 1;
    expected[13] = 2;
    expected[14] = 3;
    expected[15] = 4;
    EXPECT_TRUE(std::ranges::equal(encoded.subspan(8), expected));
}

TEST(packet_codec, rejects_datagrams_that_are_too_short_too_long_or_inconsistent) {
    EXPECT_TRUE(is_malformed({}));
    EXPECT_TRUE(is_malformed(std::span{example_opening}.first(31)));
    std::vector<std::uint8_t> longer(example_opening.begin(), example_opening.end());
    longer.push_back(0);
    EXPECT_TRUE(is_malformed(longer));
    longer[29] = 1;  // the length field now matches
    EXPECT_FALSE(is_malformed(longer));
    longer.resize(32 + 1'201);
    longer[28] = 1'201 >> 8;
    longer[29] = 1'201 & 0xFF;
    EXPECT_TRUE(is_malformed(longer));
}

template <typename record>
record read(std::string_view key, std::string_view value) {
    return std::get<record>(record_codec{}.read(key, value));
}

bool is_unreadable(std::string_view value) {
    return std::holds_alternative<discovery::unreadable>(
        record_codec{}.read("servers/i-1f", value));
}

constexpr std::string_view valid_entry =
    R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":2,)"
    R"("state":"ready","cold_remaining_ms":1500,"seq":4,"born":1700000000000})";

std::string entry_with(std::string_view field, std::string_view value) {
    std::string text{valid_entry};
    const auto begin = text.find("\"" + std::string{field} + "\":") + field.size() + 3;
    const auto end = text.find_first_of(",}", begin);
    return text.replace(begin, end - begin, value);
}

TEST(record_codec, decodes_a_target) {
    const auto entry = read<discovery::target_entry>("servers/i-7f3a91c2", valid_entry);
    EXPECT_EQ(entry.id, "i-7f3a91c2");
    EXPECT_EQ(entry.identity, 0x7f3a91c2U);
    EXPECT_EQ(to_string(entry.address), "10.1.0.9:8080");
    EXPECT_EQ(entry.cold_remaining, clock::duration{1'500});
    EXPECT_EQ(entry.started_at_ms, 1'700'000'000'000);
}

TEST(record_codec, rejects_malformed_targets) {
    EXPECT_FALSE(is_unreadable(valid_entry));
    EXPECT_TRUE(is_unreadable(""));
    EXPECT_TRUE(is_unreadable("\xff\xfe"));
    EXPECT_TRUE(is_unreadable("[]"));
    EXPECT_TRUE(is_unreadable("{}"));
    EXPECT_TRUE(is_unreadable(entry_with("state", "\"asleep\"")));
    EXPECT_TRUE(is_unreadable(entry_with("state", "1")));
    EXPECT_TRUE(is_unreadable(entry_with("slots", "-1")));
    EXPECT_TRUE(is_unreadable(entry_with("slots", "1e300")));
    EXPECT_TRUE(is_unreadable(entry_with("slots", "\"2\"")));
    EXPECT_TRUE(is_unreadable(entry_with("cold_remaining_ms", "null")));
    EXPECT_TRUE(is_unreadable(entry_with("address", "\"10.1.0.9\"")));
    EXPECT_TRUE(is_unreadable(entry_with("address", "\"10.1.0.9:0\"")));
    EXPECT_TRUE(is_unreadable(entry_with("address", "\"name:80\"")));
    EXPECT_TRUE(is_unreadable(entry_with("zone", "{}")));
    EXPECT_TRUE(is_unreadable("{\"a\":\"" + std::string(1'000'000, 'a') + "\"}"));
    EXPECT_TRUE(is_unreadable(std::string(10'000, '[')));
}

TEST(record_codec, unreadable_entry_reports_its_target_id) {
    EXPECT_EQ(read<discovery::unreadable>("servers/i-1f", "[]").target_id, "i-1f");
    EXPECT_EQ(read<discovery::unreadable>("op/config", "[]").target_id, "");
}

TEST(record_codec, filters_relevant_entries_by_key_and_size) {
    const record_codec codec;
    EXPECT_TRUE(codec.is_relevant("op/config", 1'000'000));
    EXPECT_TRUE(codec.is_relevant("servers/i-1f", 500));
    EXPECT_FALSE(codec.is_relevant("servers/i-1f", 1'000'000));
    EXPECT_TRUE(codec.is_relevant("op/evacuate/north", 2));
    EXPECT_FALSE(codec.is_relevant("elsewhere/key", 2));
}

TEST(record_codec, rejects_target_ids_that_are_not_hexadecimal) {
    EXPECT_TRUE(std::holds_alternative<discovery::unreadable>(
        record_codec{}.read("servers/i-xyz", valid_entry)));
    EXPECT_TRUE(std::holds_alternative<discovery::unreadable>(
        record_codec{}.read("servers/", valid_entry)));
}

// The configuration in the store is the catalogue of libraries/discovery.
TEST(record_codec, decodes_a_configuration) {
    const auto configuration = read<discovery::catalogue>(
        "op/config",
        R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1","prefix":"/8443/","kind":"safe",)"
        R"("target_latency_ms":120,"priority":2,"traffic_split":[{"service":"s","weight":90},)"
        R"({"service":"t","weight":10}]},{"name":"b","host":"198.18.0.2","prefix":"/80/",)"
        R"("kind":"unsafe","priority":1,"service":"t"}],)"
        R"("services":[{"name":"s","cold_per_s":2.5},{"name":"t"}],"limits":{}})");
    EXPECT_EQ(configuration.version, 7);
    ASSERT_EQ(configuration.routes.size(), 2U);
    EXPECT_EQ(to_string(configuration.routes[0].address), "198.18.0.1:8443");
    EXPECT_EQ(configuration.routes[0].splits.size(), 2U);
    EXPECT_EQ(configuration.routes[0].latency_objective, clock::duration{120});
    EXPECT_TRUE(configuration.routes[0].is_idempotent);
    EXPECT_FALSE(configuration.routes[1].is_idempotent);
    EXPECT_DOUBLE_EQ(configuration.services[0].cold_flows_per_second, 2.5);
}

TEST(record_codec, rejects_a_configuration_with_an_invalid_route_priority) {
    // Guards against an operator's mistake that would give a route priority over all others.
    const auto with_priority = [](const std::string& value) {
        return R"({"version":7,"routes":[{"name":"board","host":"198.18.0.1","prefix":"/80/",)"
               R"("service":"s","priority":)" +
               value + R"(}],"services":[{"name":"s"}]})";
    };
    for (const auto* value : {"-1", "1001", "\"first\"", "null", "[1]"}) {
        const auto rejected = read<discovery::unreadable>("op/config", with_priority(value));
        EXPECT_EQ(rejected.reason, std::string{"route board: priority is "} + value +
                                       ", not a number from 0 to 1000");
    }
    EXPECT_EQ(read<discovery::catalogue>("op/config", with_priority("1000")).routes[0].priority,
              1'000);
}

TEST(record_codec, decodes_zone_evacuation_and_its_removal) {
    EXPECT_TRUE(read<discovery::zone_out>("op/evacuate/north", "{}").is_out);
    const auto back = record_codec{}.read_removal("op/evacuate/north");
    EXPECT_FALSE(std::get<discovery::zone_out>(back).is_out);
}

TEST(record_codec, decodes_the_registration_of_an_instance) {
    const discovery::peer_entry own{.name = "a",
                                    .zone = "z",
                                    .address = "10.0.0.1:7000",
                                    .pull_address = "10.0.0.1:7001",
                                    .link_mbps = 20.5};
    const auto found = read<discovery::peer_entry>(platform_adapter::peer_key("a"),
                                                   platform_adapter::peer_value(own));
    EXPECT_EQ(found.name, "a");
    EXPECT_EQ(found.pull_address, "10.0.0.1:7001");
    EXPECT_EQ(found.link_mbps, 20.5);
}

TEST(record_codec, finds_an_instance_in_its_shard_and_under_a_key_without_one) {
    const auto key = platform_adapter::peer_key("a");
    EXPECT_TRUE(key.starts_with(platform_adapter::peer_shard_prefix(discovery::peer_shard("a"))));
    const auto removed = record_codec{}.read_removal(key);
    EXPECT_EQ(std::get<discovery::peer_removed>(removed).name, "a");
    // Registrations of earlier versions have no shard.
    const auto value = platform_adapter::peer_value(
        {.name = "a", .zone = "z", .address = "10.0.0.1:1", .pull_address = "10.0.0.1:2"});
    EXPECT_EQ(read<discovery::peer_entry>("bramleytrack/instances/a", value).name, "a");
}

}  // namespace
}  // namespace bramleytrack
