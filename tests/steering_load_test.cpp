// Steering: target health inferred from callers' packets, and the placement of flows when targets
// are full, slow or silent.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "steering/flow_tracker.h"
#include "steering/path_health.h"
#include "steering/placement.h"

namespace bramleytrack {
namespace {

using discovery::target;
using steering::candidate;
using steering::choose;
using steering::flow_tracker;
using steering::placement_failure;
using steering::segment;

constexpr clock::time_point start = to_time_point(1'000'000);

segment opening(std::uint16_t port, std::uint32_t copy = 0) {
    segment result;
    result.flow.caller = {.address = 7, .port = port};
    result.sequence = 100;
    result.copy = copy;
    result.is_opening = true;
    return result;
}

segment established_packet(std::uint16_t port, std::uint32_t token, std::uint32_t sequence,
                           std::uint32_t acknowledged, std::uint16_t length) {
    segment result = opening(port);
    result.is_opening = false;
    result.token = token;
    result.sequence = sequence;
    result.acknowledged = acknowledged;
    result.length = length;
    return result;
}

TEST(flow_tracker, a_retransmitted_opening_ejects_its_target_until_it_responds) {
    // A target dies. The first caller waits 200 ms without result; others must not have to.
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    flows.record_unanswered_opening(opening(1).flow, start + clock::duration{200});
    EXPECT_GT(flows.health(11).ejected_until, start + clock::duration{1'600});
    // A packet of another caller shows that the target responds.
    flows.record_opening(opening(2), 11, start + clock::duration{300});
    flows.record_packet(established_packet(2, 11, 100, 500, 0), start + clock::duration{310});
    EXPECT_EQ(flows.health(11).ejected_until, clock::time_point{});
}

TEST(flow_tracker, one_lost_packet_does_not_eject_a_target_that_responds_to_others) {
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    flows.record_opening(opening(2), 11, start + clock::duration{50});
    flows.record_packet(established_packet(2, 11, 100, 500, 0), start + clock::duration{60});
    flows.record_unanswered_opening(opening(1).flow, start + clock::duration{200});
    EXPECT_EQ(flows.health(11).ejected_until, clock::time_point{});
}

TEST(flow_tracker, measures_from_the_first_byte_of_the_request_to_that_of_the_response) {
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    EXPECT_EQ(flows.health(11).open_requests, 1);
    flows.record_packet(established_packet(1, 11, 100, 500, 40), start + clock::duration{2});
    EXPECT_EQ(flows.health(11).open_requests, 1);
    const auto observed =
        flows.record_packet(established_packet(1, 11, 140, 900, 0), start + clock::duration{30});
    EXPECT_TRUE(observed.is_request_answered);
    EXPECT_EQ(observed.answer_time, clock::duration{28});
    EXPECT_EQ(flows.health(11).open_requests, 0);
}

TEST(flow_tracker, counts_retransmissions_of_data) {
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    const auto data = established_packet(1, 11, 100, 500, 40);
    EXPECT_EQ(flows.record_packet(data, start).retransmissions, 0);
    EXPECT_EQ(flows.record_packet(data, start).retransmissions, 1);
    EXPECT_EQ(flows.record_packet(data, start).retransmissions, 2);
}

class silent_target : public ::testing::Test {
protected:
    static constexpr clock::duration first_retransmission{200};
    static constexpr clock::duration second_retransmission{600};
    static constexpr std::uint32_t silent_token = 11;
    static constexpr std::uint32_t responsive_token = 12;
    flow_tracker flows_;

    void SetUp() override {
        for (std::uint16_t port = 1; port <= 2; ++port) {
            flows_.record_opening(opening(port), silent_token, start);
            flows_.record_packet(established_packet(port, silent_token, 100, 500, 40), start);
            flows_.record_packet(established_packet(port, silent_token, 100, 500, 40),
                                 start + first_retransmission);
        }
        flows_.record_opening(opening(9), responsive_token, start);
        flows_.record_packet(established_packet(9, responsive_token, 100, 500, 40), start);
    }
    steering::observation send_second_retransmission(std::uint16_t port) {
        return flows_.record_packet(established_packet(port, silent_token, 100, 500, 40),
                                    start + second_retransmission);
    }
    void receive_response_of_other_target(clock::time_point now) {
        flows_.record_packet(established_packet(9, responsive_token, 140, 900, 0), now);
    }
};

TEST_F(silent_target, is_detected_when_two_flows_retransmit_their_data_twice) {
    // A target dies; its entry stays listed for some seconds. Callers retransmit after 200 and
    // 600 ms, while other targets respond.
    receive_response_of_other_target(start + clock::duration{500});
    EXPECT_FALSE(send_second_retransmission(1).is_target_silent);
    EXPECT_TRUE(send_second_retransmission(2).is_target_silent);
    EXPECT_GT(flows_.health(silent_token).ejected_until, start + second_retransmission);
}

TEST_F(silent_target, is_not_detected_while_the_own_link_is_saturated) {
    // The instance fetches and distributes configurations of 300 KB in quick succession, and its
    // link of 10 Mbit/s drops callers' packets for a second. All targets live, but none responds.
    EXPECT_FALSE(send_second_retransmission(1).is_target_silent);
    EXPECT_FALSE(send_second_retransmission(2).is_target_silent);
}

TEST_F(silent_target, is_not_detected_while_the_own_link_loses_some_packets) {
    // The same, but half of the packets get through: the target responds to retransmitted data.
    flows_.record_packet(established_packet(9, responsive_token, 100, 500, 40),
                         start + first_retransmission);
    receive_response_of_other_target(start + clock::duration{500});
    EXPECT_FALSE(send_second_retransmission(1).is_target_silent);
    EXPECT_FALSE(send_second_retransmission(2).is_target_silent);
}

// Four targets of eighteen die at once. The others get more work, and a few of their responses take
// over 200 ms, so that callers retransmit data that was not lost. Those few responses were
// attributed to losses on this instance's own link, and the dead targets went undetected until
// their entries were removed seconds later.
TEST_F(silent_target, is_detected_although_a_few_responses_of_other_targets_are_slow) {
    for (std::uint16_t port = 20; port < 50; ++port) {
        flows_.record_packet(established_packet(port, responsive_token, 100, 500, 40),
                             start + first_retransmission);
        const bool is_slow = port < 22;
        if (is_slow) {
            flows_.record_packet(established_packet(port, responsive_token, 100, 500, 40),
                                 start + clock::duration{400});
        }
        flows_.record_packet(established_packet(port, responsive_token, 140, 900, 0),
                             start + clock::duration{500});
    }
    EXPECT_FALSE(send_second_retransmission(1).is_target_silent);
    EXPECT_TRUE(send_second_retransmission(2).is_target_silent);
}

// An instance is paused for a second. Some callers' data and its two retransmissions are
// queued in its socket and read at once when it resumes, together with acknowledgements of other
// flows. The target has not received any of these.
TEST_F(silent_target, is_not_detected_from_copies_queued_in_the_own_socket) {
    flow_tracker flows;
    const auto resumed = start + clock::duration{1'000};
    for (std::uint16_t port = 1; port <= 3; ++port) {
        flows.record_opening(opening(port), silent_token, start);
        flows.record_packet(established_packet(port, silent_token, 100, 500, 0), start);
    }
    flows.record_packet(established_packet(9, responsive_token, 100, 500, 40), start);
    flows.record_packet(established_packet(9, responsive_token, 140, 900, 0), resumed);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        for (int copy = 0; copy < 3; ++copy) {
            EXPECT_FALSE(
                flows.record_packet(established_packet(port, silent_token, 100, 500, 40), resumed)
                    .is_target_silent);
        }
    }
}

// A target dies with many flows. Three of them find it silent; the callers of the others are idle
// and would each lose their next request to it.
TEST_F(silent_target, is_dead_when_three_flows_find_it_silent) {
    for (std::uint16_t port = 3; port <= 6; ++port) {
        flows_.record_opening(opening(port), silent_token, start);
    }
    flows_.record_packet(established_packet(3, silent_token, 100, 500, 40), start);
    flows_.record_packet(established_packet(4, silent_token, 100, 777, 0), start);
    flows_.record_packet(established_packet(3, silent_token, 100, 500, 40),
                         start + first_retransmission);
    receive_response_of_other_target(start + clock::duration{500});
    EXPECT_FALSE(send_second_retransmission(1).is_target_dead);
    EXPECT_FALSE(send_second_retransmission(2).is_target_dead);
    EXPECT_TRUE(send_second_retransmission(3).is_target_dead);
    const auto ended = flows_.end_flows_of(silent_token);
    // Flows 1 to 4; 5 and 6 are still opening, and their retransmissions go to other targets
    // anyway.
    ASSERT_EQ(ended.size(), 4U);
    const auto idle_flow = std::ranges::find(
        ended, established_packet(4, silent_token, 0, 0, 0).flow, &steering::reset::flow);
    ASSERT_NE(idle_flow, ended.end());
    EXPECT_EQ(idle_flow->sequence, 777U);  // callers accept resets near their last acknowledgement
    EXPECT_EQ(flows_.health(silent_token).open_requests, 2);
    EXPECT_EQ(flows_.health(responsive_token).flows, 1);
    EXPECT_TRUE(flows_.end_flows_of(silent_token).empty());
}

TEST_F(silent_target, is_not_dead_when_a_single_flow_keeps_retransmitting) {
    // One caller's address is cut off from the target; it retransmits its data for seconds.
    receive_response_of_other_target(start + clock::duration{500});
    for (int copy = 0; copy < 6; ++copy) {
        EXPECT_FALSE(send_second_retransmission(1).is_target_dead);
    }
}

TEST(path_health, recovers_within_seconds_of_packet_loss) {
    steering::path_health path;
    for (int i = 0; i < 50; ++i) {
        path.on_answer(i % 2 == 0, start + clock::duration{i * 10});
    }
    EXPECT_FALSE(path.is_healthy(start + clock::duration{500}));
    auto now = start + clock::duration{500};
    for (int i = 0; i < 400; ++i) {
        now += clock::duration{10};
        path.on_answer(false, now);
    }
    EXPECT_TRUE(path.is_healthy(now));
    EXPECT_FALSE(path.is_healthy(now + clock::duration{400}));
}

TEST(flow_tracker, a_slow_target_that_responds_to_any_caller_is_not_silent) {
    // A target takes a second for each answer, so callers send their data three times. It has
    // responded to another caller since, so it is alive.
    flow_tracker flows;
    constexpr clock::duration second_retransmission{600};
    for (std::uint16_t port = 1; port <= 3; ++port) {
        flows.record_opening(opening(port), 11, start);
        flows.record_packet(established_packet(port, 11, 100, 500, 40), start);
    }
    flows.record_packet(established_packet(3, 11, 140, 900, 0), start + clock::duration{100});
    for (int copy = 0; copy < 3; ++copy) {
        for (std::uint16_t port = 1; port <= 2; ++port) {
            EXPECT_FALSE(flows
                             .record_packet(established_packet(port, 11, 100, 500, 40),
                                            start + second_retransmission)
                             .is_target_silent);
        }
    }
}

TEST(flow_tracker, an_acknowledgement_with_the_next_request_does_not_count_as_a_response) {
    // The response arrived seconds before; the target may have died since.
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    flows.record_packet(established_packet(1, 11, 100, 500, 40), start);
    const auto much_later = start + clock::duration{3'000};
    const auto observed = flows.record_packet(established_packet(1, 11, 140, 900, 40), much_later);
    EXPECT_FALSE(observed.is_request_answered);
    EXPECT_EQ(flows.health(11).last_response_at, start);
    EXPECT_EQ(flows.health(11).open_requests, 1);
}

TEST(flow_tracker, a_request_expires_when_its_flow_moves_to_another_instance) {
    // An instance joins, the fabric redistributes flows, and a flow's packets go through another
    // instance while a request is open. Without expiry that request would keep the target at
    // capacity here permanently.
    flow_tracker flows;
    flows.record_opening(opening(1), 11, start);
    flows.record_packet(established_packet(1, 11, 100, 500, 40), start);
    flows.expire(start + clock::duration{2'100});
    EXPECT_EQ(flows.health(11).open_requests, 0);
}

TEST(flow_tracker, a_flood_of_openings_does_not_exceed_the_flow_limit) {
    steering::flow_tracker_limits limits;
    limits.max_flows = 100;
    flow_tracker flows{limits};
    for (std::uint16_t port = 1; port < 1'000; ++port) {
        flows.record_opening(opening(port), 11, start);
        flows.record_packet(established_packet(port, 11, 100, 500, 40), start);
    }
    EXPECT_EQ(flows.size(), 100U);
}

class steering_placement : public ::testing::Test {
protected:
    std::deque<target> targets_;
    std::vector<candidate> candidates_;

    candidate& add(bool is_near) {
        auto& created = targets_.emplace_back();
        created.token = static_cast<std::uint32_t>(targets_.size());
        candidates_.push_back({.target = &created, .is_in_same_zone = is_near});
        return candidates_.back();
    }
    std::size_t chosen(std::uint64_t hash, std::uint32_t copy = 0) const {
        return std::get<std::size_t>(choose(candidates_, hash, copy));
    }
};

TEST_F(steering_placement, prefers_its_own_zone) {
    add(false);
    add(true);
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        EXPECT_EQ(chosen(hash), 1U);
    }
}

TEST_F(steering_placement, uses_other_zones_only_when_its_own_has_no_capacity) {
    // One zone has five times the demand of the others, whose targets are idle.
    add(true).has_capacity = false;
    add(false);
    EXPECT_EQ(chosen(1), 1U);
}

TEST_F(steering_placement, is_deterministic_for_a_flow_and_moves_retransmissions_to_other_targets) {
    for (int i = 0; i < 6; ++i) {
        add(true);
    }
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        EXPECT_EQ(chosen(hash), chosen(hash));
        EXPECT_NE(chosen(hash, 1), chosen(hash, 0));
        EXPECT_NE(chosen(hash, 2), chosen(hash, 1));
    }
}

TEST_F(steering_placement, spreads_flows_evenly) {
    constexpr int target_count = 5;
    constexpr int flow_count = 10'000;
    for (int i = 0; i < target_count; ++i) {
        add(true);
    }
    std::vector<int> counts(target_count);
    for (std::uint64_t hash = 0; hash < flow_count; ++hash) {
        ++counts[chosen(hash * 0x9E3779B97F4A7C15ULL)];
    }
    constexpr double mean = static_cast<double>(flow_count) / target_count;
    for (const int each : counts) {
        EXPECT_NEAR(each, mean, mean / 8);
    }
}

TEST_F(steering_placement, distinguishes_saturation_from_the_absence_of_targets) {
    add(true).has_capacity = false;
    add(false).has_capacity = false;
    EXPECT_EQ(std::get<placement_failure>(choose(candidates_, 1, 0)), placement_failure::saturated);
    EXPECT_EQ(std::get<placement_failure>(choose({}, 1, 0)), placement_failure::no_target);
}

TEST_F(steering_placement, uses_an_ejected_target_when_there_is_no_other) {
    add(true).is_ejected = true;
    EXPECT_EQ(chosen(1), 0U);
}

// Three of four targets left an opening unanswered because this instance's link loses packets. The
// fourth is at capacity; callers were rejected although the three are alive and idle.
TEST_F(steering_placement, uses_ejected_targets_for_overflow_when_most_are_ejected) {
    add(true).has_capacity = false;
    for (int i = 0; i < 3; ++i) {
        add(true).is_ejected = true;
    }
    EXPECT_NE(chosen(1), 0U);
    // While the fourth has capacity, it is preferred.
    candidates_[0].has_capacity = true;
    EXPECT_EQ(chosen(1), 0U);
}

TEST_F(steering_placement, does_not_use_an_ejected_minority_when_the_others_are_at_capacity) {
    // One of three has died; the others are at capacity. A caller sent to it would get no response.
    add(true).has_capacity = false;
    add(true).has_capacity = false;
    add(true).is_ejected = true;
    EXPECT_EQ(std::get<placement_failure>(choose(candidates_, 1, 0)), placement_failure::saturated);
}

TEST_F(steering_placement, prefers_the_less_loaded_of_two_targets) {
    add(true).load = 3;
    add(true).load = 1;
    for (std::uint64_t hash = 0; hash < 20; ++hash) {
        EXPECT_EQ(chosen(hash), 1U);
    }
}

}  // namespace
}  // namespace bramleytrack
