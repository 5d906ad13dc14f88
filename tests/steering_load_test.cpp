// Steering: what the packets tell of targets, and where flows go when targets are full, slow or
// silent.
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

segment later(std::uint16_t port, std::uint32_t token, std::uint32_t sequence,
              std::uint32_t acknowledged, std::uint16_t length) {
    segment result = opening(port);
    result.is_opening = false;
    result.token = token;
    result.sequence = sequence;
    result.acknowledged = acknowledged;
    result.length = length;
    return result;
}

TEST(flow_tracker, a_copy_of_an_opening_shuns_its_target_until_it_shows_life) {
    // A target dies. The first caller waits 200 ms for nothing; others shouldn't have to.
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    flows.note_unanswered(opening(1).flow, start + clock::duration{200});
    EXPECT_GT(flows.health(11).ejected_until, start + clock::duration{1'600});
    // A packet of another caller shows that it answers after all.
    flows.note_opening(opening(2), 11, start + clock::duration{300});
    flows.note_packet(later(2, 11, 100, 500, 0), start + clock::duration{310});
    EXPECT_EQ(flows.health(11).ejected_until, clock::time_point{});
}

TEST(flow_tracker, one_lost_packet_does_not_shun_a_target_that_answers_others) {
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    flows.note_opening(opening(2), 11, start + clock::duration{50});
    flows.note_packet(later(2, 11, 100, 500, 0), start + clock::duration{60});
    flows.note_unanswered(opening(1).flow, start + clock::duration{200});
    EXPECT_EQ(flows.health(11).ejected_until, clock::time_point{});
}

TEST(flow_tracker, measures_a_request_from_its_first_byte_to_the_answers_first) {
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    EXPECT_EQ(flows.health(11).open_requests, 1);
    flows.note_packet(later(1, 11, 100, 500, 40), start + clock::duration{2});
    EXPECT_EQ(flows.health(11).open_requests, 1);
    const auto seen = flows.note_packet(later(1, 11, 140, 900, 0), start + clock::duration{30});
    EXPECT_TRUE(seen.is_answer);
    EXPECT_EQ(seen.answer_took, clock::duration{28});
    EXPECT_EQ(flows.health(11).open_requests, 0);
}

TEST(flow_tracker, knows_data_that_is_sent_again) {
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    const auto data = later(1, 11, 100, 500, 40);
    EXPECT_EQ(flows.note_packet(data, start).repeats, 0);
    EXPECT_EQ(flows.note_packet(data, start).repeats, 1);
    EXPECT_EQ(flows.note_packet(data, start).repeats, 2);
}

class silent_target : public ::testing::Test {
protected:
    static constexpr clock::duration second_copy{200};
    static constexpr clock::duration third_copy{600};
    static constexpr std::uint32_t silent = 11;
    static constexpr std::uint32_t lively = 12;
    flow_tracker flows_;

    void SetUp() override {
        for (std::uint16_t port = 1; port <= 2; ++port) {
            flows_.note_opening(opening(port), silent, start);
            flows_.note_packet(later(port, silent, 100, 500, 40), start);
            flows_.note_packet(later(port, silent, 100, 500, 40), start + second_copy);
        }
        flows_.note_opening(opening(9), lively, start);
        flows_.note_packet(later(9, lively, 100, 500, 40), start);
    }
    steering::observation send_third_copy(std::uint16_t port) {
        return flows_.note_packet(later(port, silent, 100, 500, 40), start + third_copy);
    }
    // The lively target answers its caller.
    void answer_another(clock::time_point now) {
        flows_.note_packet(later(9, lively, 140, 900, 0), now);
    }
};

TEST_F(silent_target, is_known_when_two_flows_send_their_data_a_third_time) {
    // A target dies; its entry stays for some seconds. Callers send again after 200 and 600 ms,
    // while other targets answer.
    answer_another(start + clock::duration{500});
    EXPECT_FALSE(send_third_copy(1).is_target_silent);
    EXPECT_TRUE(send_third_copy(2).is_target_silent);
    EXPECT_GT(flows_.health(silent).ejected_until, start + third_copy);
}

TEST_F(silent_target, is_not_told_from_an_own_link_that_is_full) {
    // Configurations of 300 KB follow each other, the instance fetches each and passes it on, and
    // its link of 10 Mbit/s drops callers' packets for a second. No target seems to live; all do.
    EXPECT_FALSE(send_third_copy(1).is_target_silent);
    EXPECT_FALSE(send_third_copy(2).is_target_silent);
}

TEST_F(silent_target, is_not_told_from_an_own_link_that_loses_some) {
    // The same, but half of the packets get through: data that was sent again is answered after
    // all.
    flows_.note_packet(later(9, lively, 100, 500, 40), start + second_copy);
    answer_another(start + clock::duration{500});
    EXPECT_FALSE(send_third_copy(1).is_target_silent);
    EXPECT_FALSE(send_third_copy(2).is_target_silent);
}

// Four targets of eighteen die at once. The others get more work, and a few of their answers take
// over 200 ms, so that callers send again what arrives after all. Taken for a loss of this
// instance's own link, those few answers hid the dead targets until their entries went, seconds
// later.
TEST_F(silent_target, is_known_though_a_few_answers_of_others_took_long) {
    for (std::uint16_t port = 20; port < 50; ++port) {
        flows_.note_packet(later(port, lively, 100, 500, 40), start + second_copy);
        const bool is_slow = port < 22;
        if (is_slow) {
            flows_.note_packet(later(port, lively, 100, 500, 40), start + clock::duration{400});
        }
        flows_.note_packet(later(port, lively, 140, 900, 0), start + clock::duration{500});
    }
    EXPECT_FALSE(send_third_copy(1).is_target_silent);
    EXPECT_TRUE(send_third_copy(2).is_target_silent);
}

// An instance stands still for a second. All three copies of some callers' data wait in its socket,
// and are read at once when it goes on, together with answers' acknowledgements of other flows. The
// target never had any of them.
TEST_F(silent_target, is_not_told_from_copies_that_waited_here) {
    flow_tracker flows;
    const auto resumed = start + clock::duration{1'000};
    for (std::uint16_t port = 1; port <= 3; ++port) {
        flows.note_opening(opening(port), silent, start);
        flows.note_packet(later(port, silent, 100, 500, 0), start);
    }
    flows.note_packet(later(9, lively, 100, 500, 40), start);
    flows.note_packet(later(9, lively, 140, 900, 0), resumed);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        for (int copy = 0; copy < 3; ++copy) {
            EXPECT_FALSE(
                flows.note_packet(later(port, silent, 100, 500, 40), resumed).is_target_silent);
        }
    }
}

// A target dies with many flows. Three of them find it silent; the callers of the others, which ask
// for nothing just then, would each lose their next request to it.
TEST_F(silent_target, is_dead_when_three_flows_found_it_silent) {
    for (std::uint16_t port = 3; port <= 6; ++port) {
        flows_.note_opening(opening(port), silent, start);
    }
    flows_.note_packet(later(3, silent, 100, 500, 40), start);
    flows_.note_packet(later(4, silent, 100, 777, 0), start);
    flows_.note_packet(later(3, silent, 100, 500, 40), start + second_copy);
    answer_another(start + clock::duration{500});
    EXPECT_FALSE(send_third_copy(1).is_target_dead);
    EXPECT_FALSE(send_third_copy(2).is_target_dead);
    EXPECT_TRUE(send_third_copy(3).is_target_dead);
    const auto ended = flows_.end_flows_of(silent);
    // Flows 1 to 4; 5 and 6 are still opening, and their copies go elsewhere by themselves.
    ASSERT_EQ(ended.size(), 4U);
    const auto idle =
        std::ranges::find(ended, later(4, silent, 0, 0, 0).flow, &steering::reset::flow);
    ASSERT_NE(idle, ended.end());
    EXPECT_EQ(idle->sequence, 777U);  // callers take resets near what they acknowledged last
    EXPECT_EQ(flows_.health(silent).open_requests, 2);
    EXPECT_EQ(flows_.health(lively).flows, 1);
    EXPECT_TRUE(flows_.end_flows_of(silent).empty());
}

TEST_F(silent_target, is_not_dead_by_one_flow_that_repeats_itself) {
    // One caller's address is cut off from the target; it sends its data again for seconds.
    answer_another(start + clock::duration{500});
    for (int copy = 0; copy < 6; ++copy) {
        EXPECT_FALSE(send_third_copy(1).is_target_dead);
    }
}

TEST(path_health, forgets_what_was_lost_seconds_ago) {
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

TEST(flow_tracker, a_slow_target_that_answers_anybody_is_not_silent) {
    // A target takes a second for each answer; callers send their data three times meanwhile. It
    // has acknowledged some other caller since, so it lives.
    flow_tracker flows;
    constexpr clock::duration third{600};
    for (std::uint16_t port = 1; port <= 3; ++port) {
        flows.note_opening(opening(port), 11, start);
        flows.note_packet(later(port, 11, 100, 500, 40), start);
    }
    flows.note_packet(later(3, 11, 140, 900, 0), start + clock::duration{100});
    for (int copy = 0; copy < 3; ++copy) {
        for (std::uint16_t port = 1; port <= 2; ++port) {
            EXPECT_FALSE(
                flows.note_packet(later(port, 11, 100, 500, 40), start + third).is_target_silent);
        }
    }
}

TEST(flow_tracker, an_acknowledgement_that_comes_with_the_next_request_is_no_sign_of_life) {
    // The answer came seconds before; the target may have died since.
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    flows.note_packet(later(1, 11, 100, 500, 40), start);
    const auto much_later = start + clock::duration{3'000};
    const auto seen = flows.note_packet(later(1, 11, 140, 900, 40), much_later);
    EXPECT_FALSE(seen.is_answer);
    EXPECT_EQ(flows.health(11).answered_at, start);
    EXPECT_EQ(flows.health(11).open_requests, 1);
}

TEST(flow_tracker, a_flow_that_went_on_elsewhere_does_not_count_for_long) {
    // An instance joins, the fabric reshuffles, and a flow's packets go through another instance
    // while a request is open. Counted on, it would keep the target full here for good.
    flow_tracker flows;
    flows.note_opening(opening(1), 11, start);
    flows.note_packet(later(1, 11, 100, 500, 40), start);
    flows.expire(start + clock::duration{2'100});
    EXPECT_EQ(flows.health(11).open_requests, 0);
}

TEST(flow_tracker, a_flood_of_openings_does_not_grow_it_without_bound) {
    steering::flow_tracker_limits limits;
    limits.max_flows = 100;
    flow_tracker flows{limits};
    for (std::uint16_t port = 1; port < 1'000; ++port) {
        flows.note_opening(opening(port), 11, start);
        flows.note_packet(later(port, 11, 100, 500, 40), start);
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

TEST_F(steering_placement, spills_to_other_zones_only_when_its_own_has_no_room) {
    // Callers of one zone come five times as often; the others' targets are idle.
    add(true).has_capacity = false;
    add(false);
    EXPECT_EQ(chosen(1), 1U);
}

TEST_F(steering_placement, the_same_flow_is_placed_alike_by_all_and_a_copy_elsewhere) {
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
    constexpr int number = 5;
    constexpr int flows = 10'000;
    for (int i = 0; i < number; ++i) {
        add(true);
    }
    std::vector<int> counts(number);
    for (std::uint64_t hash = 0; hash < flows; ++hash) {
        ++counts[chosen(hash * 0x9E3779B97F4A7C15ULL)];
    }
    constexpr double mean = static_cast<double>(flows) / number;
    for (const int each : counts) {
        EXPECT_NEAR(each, mean, mean / 8);
    }
}

TEST_F(steering_placement, says_that_all_are_saturated) {
    add(true).has_capacity = false;
    add(false).has_capacity = false;
    EXPECT_EQ(std::get<placement_failure>(choose(candidates_, 1, 0)), placement_failure::saturated);
    EXPECT_EQ(std::get<placement_failure>(choose({}, 1, 0)), placement_failure::no_target);
}

TEST_F(steering_placement, tries_a_shunned_target_when_nothing_else_is_left) {
    add(true).is_ejected = true;
    EXPECT_EQ(chosen(1), 0U);
}

// Three of four targets left an opening unanswered, since this instance's link loses packets. The
// fourth is full; callers were refused, though the three live and are idle.
TEST_F(steering_placement, shunned_targets_take_what_the_others_cannot_when_most_are_shunned) {
    add(true).has_capacity = false;
    for (int i = 0; i < 3; ++i) {
        add(true).is_ejected = true;
    }
    EXPECT_NE(chosen(1), 0U);
    // While the fourth has room, it is preferred.
    candidates_[0].has_capacity = true;
    EXPECT_EQ(chosen(1), 0U);
}

TEST_F(steering_placement, a_minority_that_is_shunned_stays_so_though_the_others_are_full) {
    // One of three has died; the others are full. A caller that is sent to it would wait in vain.
    add(true).has_capacity = false;
    add(true).has_capacity = false;
    add(true).is_ejected = true;
    EXPECT_EQ(std::get<placement_failure>(choose(candidates_, 1, 0)), placement_failure::saturated);
}

TEST_F(steering_placement, the_lighter_of_two_is_taken) {
    add(true).load = 3;
    add(true).load = 1;
    for (std::uint64_t hash = 0; hash < 20; ++hash) {
        EXPECT_EQ(chosen(hash), 1U);
    }
}

}  // namespace
}  // namespace bramleytrack
