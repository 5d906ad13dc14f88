// Services with thousands of targets: an opening evaluates only a sample of them, and the limits
// still hold.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fleet/peer_digests.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"
#include "steering/target_sample.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

using steering::sample_targets;
using target_list = std::span<discovery::target* const>;

constexpr clock::time_point start = to_time_point(1'000'000);

std::vector<discovery::target*> pointers_to(std::vector<discovery::target>& targets) {
    std::vector<discovery::target*> result(targets.size());
    std::ranges::transform(targets, result.begin(), [](auto& each) { return &each; });
    return result;
}

TEST(target_sample, takes_all_of_a_short_list_and_distinct_targets_of_a_long_one) {
    std::vector<discovery::target> targets(100);
    const auto all = pointers_to(targets);
    const std::vector<target_list> lists{target_list{all}.subspan(0, 30),
                                         target_list{all}.subspan(30)};
    EXPECT_EQ(sample_targets(lists, 7, 100).size(), 100U);
    for (std::uint64_t flow = 0; flow < 200; ++flow) {
        const auto sample = sample_targets(lists, flow, 16);
        EXPECT_EQ(std::set<const discovery::target*>(sample.begin(), sample.end()).size(), 16U);
    }
}

TEST(target_sample, takes_all_targets_equally_often) {
    // Guards against a bias by which targets at one end of the list get most of the flows.
    constexpr int flows = 10'000;
    constexpr int expected = flows * 16 / 100;
    std::vector<discovery::target> targets(100);
    const auto all = pointers_to(targets);
    const std::vector<target_list> lists{all};
    std::map<const discovery::target*, int> draws;
    for (std::uint64_t flow = 0; flow < flows; ++flow) {
        for (const auto* each : sample_targets(lists, flow * 7'919, 16)) {
            ++draws[each];
        }
    }
    ASSERT_EQ(draws.size(), 100U);
    for (const auto& [target, count] : draws) {
        EXPECT_NEAR(count, expected, expected * 0.15);
    }
}

class steering_large_service : public ::testing::Test {
protected:
    static constexpr int targets_per_zone = 400;

    discovery::directory directory_;
    steering::cold_gate cold_gate_{"self"};
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{{.zone = "north", .regions = {{"north", "a"}, {"south", "a"}}},
                                 directory_,
                                 cold_gate_,
                                 digests_,
                                 log_,
                                 metrics_};
    int next_flow_ = 0;

    void SetUp() override {
        directory_.apply(testing::board_catalogue(), 1, false, start);
        for (const auto* zone : {"north", "south"}) {
            for (int i = 0; i < targets_per_zone; ++i) {
                const auto entry = testing::board_target(zone + std::to_string(i), zone, 2);
                directory_.apply(entry, 2, false, start - clock::duration{1});
            }
        }
    }

    steering::decision open(clock::time_point now) {
        steering::segment packet;
        packet.flow.caller = {.address = static_cast<std::uint32_t>(++next_flow_), .port = 1000};
        packet.flow.route = testing::board_route;
        packet.sequence = 1;
        packet.is_opening = true;
        return steering_.on_segment(packet, {.is_complete = true, .confirmed = now}, now);
    }
};

TEST_F(steering_large_service, flows_stay_in_their_zone_and_spread_over_its_targets) {
    std::map<std::string, int> flows;
    for (int i = 0; i < 300; ++i) {
        const auto decision = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&decision);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_EQ(forwarded->to->entry.zone, "north");
        ++flows[forwarded->to->entry.id];
    }
    for (const auto& [target, count] : flows) {
        EXPECT_LE(count, 4) << target;
    }
}

TEST_F(steering_large_service, flows_avoid_the_third_of_the_targets_that_is_dead) {
    for (int i = 0; i < targets_per_zone; i += 3) {
        const auto token = discovery::token_of("north" + std::to_string(i));
        steering_.on_target_reported_dead(*directory_.find_target(token),
                                          start + clock::duration{3'000});
    }
    for (int i = 0; i < 300; ++i) {
        const auto decision = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&decision);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_NE(std::stoi(forwarded->to->entry.id.substr(5)) % 3, 0);
    }
}

TEST_F(steering_large_service,
       a_burst_within_one_millisecond_is_limited_to_the_capacity_of_the_service) {
    // Guards against cached totals by which a burst would be admitted in full until they expire.
    constexpr int capacity = 2 * targets_per_zone * 2 * 2;  // zones, slots, requests per slot
    int forwarded = 0;
    int refused = 0;
    for (int i = 0; i < 2 * capacity; ++i) {
        const auto decision = open(start);
        forwarded += std::holds_alternative<steering::forward>(decision) ? 1 : 0;
        refused += std::holds_alternative<steering::refuse>(decision) ? 1 : 0;
    }
    EXPECT_LE(forwarded, capacity);
    EXPECT_GE(forwarded, capacity * 9 / 10);
    EXPECT_EQ(forwarded + refused, 2 * capacity);
}

TEST_F(steering_large_service, a_zone_is_excluded_as_soon_as_it_is_taken_out) {
    directory_.apply(discovery::zone_out{.zone = "north"}, 5, false, start);
    for (int i = 0; i < 50; ++i) {
        const auto decision = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&decision);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_EQ(forwarded->to->entry.zone, "south");
    }
}

}  // namespace
}  // namespace bramleytrack
