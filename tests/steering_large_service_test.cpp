// Steering: an opening of a service with thousands of targets looks at a few of them, and its
// bounds hold all the same.
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

using steering::sample_of;
using target_list = std::span<discovery::target* const>;

constexpr clock::time_point start = to_time_point(1'000'000);

std::vector<discovery::target*> pointers_to(std::vector<discovery::target>& targets) {
    std::vector<discovery::target*> result(targets.size());
    std::ranges::transform(targets, result.begin(), [](auto& each) { return &each; });
    return result;
}

TEST(target_sample, takes_all_of_a_short_list_and_no_target_twice_of_a_long_one) {
    std::vector<discovery::target> targets(100);
    const auto all = pointers_to(targets);
    const std::vector<target_list> lists{target_list{all}.subspan(0, 30),
                                         target_list{all}.subspan(30)};
    EXPECT_EQ(sample_of(lists, 7, 100).size(), 100U);
    for (std::uint64_t flow = 0; flow < 200; ++flow) {
        const auto sample = sample_of(lists, flow, 16);
        EXPECT_EQ(std::set<const discovery::target*>(sample.begin(), sample.end()).size(), 16U);
    }
}

TEST(target_sample, takes_each_target_as_often_as_any_other) {
    // Guards against targets at one end of the list that get most of the flows.
    constexpr int flows = 10'000;
    constexpr int expected = flows * 16 / 100;
    std::vector<discovery::target> targets(100);
    const auto all = pointers_to(targets);
    const std::vector<target_list> lists{all};
    std::map<const discovery::target*, int> taken;
    for (std::uint64_t flow = 0; flow < flows; ++flow) {
        for (const auto* each : sample_of(lists, flow * 7'919, 16)) {
            ++taken[each];
        }
    }
    ASSERT_EQ(taken.size(), 100U);
    for (const auto& [target, number] : taken) {
        EXPECT_NEAR(number, expected, expected * 0.15);
    }
}

class steering_large_service : public ::testing::Test {
protected:
    static constexpr int targets_by_zone = 400;

    discovery::directory known_;
    steering::cold_gate cold_{"self"};
    fleet::peer_digests digests_{known_, "self", "north", 1};
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering subject_{{.zone = "north", .regions = {{"north", "a"}, {"south", "a"}}},
                                known_,
                                cold_,
                                digests_,
                                log_,
                                metrics_};
    int next_flow_ = 0;

    void SetUp() override {
        known_.apply(testing::board_catalogue(), 1, false, start);
        for (const auto* zone : {"north", "south"}) {
            for (int i = 0; i < targets_by_zone; ++i) {
                const auto entry = testing::board_target(zone + std::to_string(i), zone, 2);
                known_.apply(entry, 2, false, start - clock::duration{1});
            }
        }
    }

    steering::decision open(clock::time_point now) {
        steering::segment packet;
        packet.flow.caller = {.address = static_cast<std::uint32_t>(++next_flow_), .port = 1000};
        packet.flow.route = testing::board_route;
        packet.sequence = 1;
        packet.is_opening = true;
        return subject_.on_segment(packet, {.is_complete = true, .confirmed = now}, now);
    }
};

TEST_F(steering_large_service, flows_stay_in_their_zone_and_spread_over_its_targets) {
    std::map<std::string, int> flows;
    for (int i = 0; i < 300; ++i) {
        const auto made = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&made);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_EQ(forwarded->to->entry.zone, "north");
        ++flows[forwarded->to->entry.id];
    }
    for (const auto& [target, number] : flows) {
        EXPECT_LE(number, 4) << target;
    }
}

TEST_F(steering_large_service, flows_avoid_a_third_of_the_targets_that_is_dead) {
    for (int i = 0; i < targets_by_zone; i += 3) {
        const auto token = discovery::token_of("north" + std::to_string(i));
        subject_.on_target_reported_dead(*known_.find_target(token),
                                         start + clock::duration{3'000});
    }
    for (int i = 0; i < 300; ++i) {
        const auto made = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&made);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_NE(std::stoi(forwarded->to->entry.id.substr(5)) % 3, 0);
    }
}

TEST_F(steering_large_service, a_rush_within_one_moment_is_held_to_the_room_of_the_service) {
    // Guards against sums that are kept for a moment, in which a rush lets in all that come.
    constexpr int room = 2 * targets_by_zone * 2 * 2;  // zones, slots, requests by slot
    int forwarded = 0;
    int refused = 0;
    for (int i = 0; i < 2 * room; ++i) {
        const auto made = open(start);
        forwarded += std::holds_alternative<steering::forward>(made) ? 1 : 0;
        refused += std::holds_alternative<steering::refuse>(made) ? 1 : 0;
    }
    EXPECT_LE(forwarded, room);
    EXPECT_GE(forwarded, room * 9 / 10);
    EXPECT_EQ(forwarded + refused, 2 * room);
}

TEST_F(steering_large_service, a_zone_that_is_taken_out_counts_at_once) {
    known_.apply(discovery::zone_out{.zone = "north"}, 5, false, start);
    for (int i = 0; i < 50; ++i) {
        const auto made = open(start);
        const auto* forwarded = std::get_if<steering::forward>(&made);
        ASSERT_NE(forwarded, nullptr);
        EXPECT_EQ(forwarded->to->entry.zone, "south");
    }
}

}  // namespace
}  // namespace bramleytrack
