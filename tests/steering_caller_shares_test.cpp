// Detection of callers that use more of the targets' capacity than their fair share.
#include <gtest/gtest.h>

#include "steering/flow_tracker.h"

namespace bramleytrack {
namespace {

using steering::caller_share_limits;
using steering::caller_shares;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr std::uint32_t heavy_caller = 1;

void begin_requests(caller_shares& shares, std::uint32_t caller, int requests) {
    for (int i = 0; i < requests; ++i) {
        shares.on_attempt(caller, start);
        shares.on_request_begun(caller);
    }
}

TEST(caller_shares, a_caller_well_above_the_mean_is_heavy) {
    caller_shares shares;
    begin_requests(shares, heavy_caller, 8);
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        begin_requests(shares, caller, 1);
    }
    EXPECT_TRUE(shares.is_heavy(heavy_caller));
    EXPECT_FALSE(shares.is_heavy(2));
    EXPECT_FALSE(shares.is_heavy(99));
}

TEST(caller_shares, a_lone_caller_may_use_all_capacity) {
    caller_shares shares;
    begin_requests(shares, heavy_caller, 100);
    EXPECT_FALSE(shares.is_heavy(heavy_caller));
}

TEST(caller_shares, a_caller_with_few_requests_is_not_heavy) {
    caller_shares shares;
    begin_requests(shares, heavy_caller, 2);
    for (std::uint32_t caller = 2; caller < 20; ++caller) {
        shares.on_attempt(caller, start);
    }
    EXPECT_FALSE(shares.is_heavy(heavy_caller));
}

// One caller uses all capacity, and the others are refused each time. They have no open requests,
// so if only open requests counted, that caller would look like the only one and not be limited.
TEST(caller_shares, refused_callers_count_until_they_stop_retrying) {
    caller_shares shares;
    begin_requests(shares, heavy_caller, 10);
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        shares.on_attempt(caller, start);
    }
    EXPECT_TRUE(shares.is_heavy(heavy_caller));
    shares.expire(start + clock::duration{2'500});
    EXPECT_EQ(shares.size(), 1U);
    EXPECT_FALSE(shares.is_heavy(heavy_caller));
}

TEST(caller_shares, ended_requests_no_longer_count) {
    caller_shares shares;
    begin_requests(shares, heavy_caller, 8);
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        begin_requests(shares, caller, 1);
    }
    for (int i = 0; i < 8; ++i) {
        shares.on_request_ended(heavy_caller);
    }
    EXPECT_FALSE(shares.is_heavy(heavy_caller));
    // A surplus end must not lower the total below the requests of the others.
    shares.on_request_ended(heavy_caller);
    begin_requests(shares, heavy_caller, 8);
    EXPECT_TRUE(shares.is_heavy(heavy_caller));
}

TEST(caller_shares, forged_addresses_cannot_grow_it_without_bound) {
    caller_shares shares{caller_share_limits{.max_callers = 100}};
    for (std::uint32_t caller = 0; caller < 10'000; ++caller) {
        begin_requests(shares, caller, 1);
    }
    EXPECT_EQ(shares.size(), 100U);
    EXPECT_FALSE(shares.is_heavy(9'999));
}

// Openings, answers, resets and time-outs of silent callers each end a request in a different place
// of the code. A request whose end is not counted makes its caller look heavy forever.
TEST(caller_shares, every_way_in_which_a_request_ends_is_counted) {
    steering::flow_tracker flows;
    const auto packet = [](std::uint16_t port) {
        steering::segment result;
        result.flow = {.caller = {.address = heavy_caller, .port = port},
                       .route = {.address = 9, .port = 443}};
        result.token = 5;
        return result;
    };
    for (std::uint16_t port = 1; port <= 8; ++port) {
        auto opening = packet(port);
        opening.is_opening = true;
        flows.record_attempt(opening.flow, start);
        flows.record_opening(opening, 5, start);
    }
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        flows.record_attempt({.caller = {.address = caller, .port = 1}, .route = {}},
                             start + clock::duration{10'000});
    }
    EXPECT_TRUE(flows.callers().is_heavy(heavy_caller));
    auto data = packet(1);
    data.length = 10;
    flows.record_packet(data, start);
    auto answer = packet(1);
    answer.sequence = 10;
    answer.acknowledged = 10;
    flows.record_packet(answer, start);
    auto reset = packet(2);
    reset.is_reset = true;
    flows.record_packet(reset, start);
    auto closing = packet(3);
    closing.is_closing = true;
    flows.record_packet(closing, start);
    // Another target accepted the opening's retransmission, and the remaining flows fall silent.
    auto moved = packet(4);
    moved.token = 6;
    flows.record_packet(moved, start);
    flows.expire(start + clock::duration{10'000});
    EXPECT_FALSE(flows.callers().is_heavy(heavy_caller));
    EXPECT_EQ(flows.health(5).open_requests, 0);
}

}  // namespace
}  // namespace bramleytrack
