// Flows whose opening two targets have accepted: their packets go to the target that holds them,
// whatever token they return.
#include <gtest/gtest.h>

#include <limits>

#include "fleet/peer_digests.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr std::uint32_t opening_sequence = 1'000;
// The sequence numbers of the targets that the first opening and its copy were sent to.
constexpr std::uint32_t first_number = 40'000;
constexpr std::uint32_t second_number = 3'000'000'000;

class steering_flow_holder : public ::testing::Test {
protected:
    static constexpr int slots = 50;

    steering_flow_holder() {
        directory_.apply(testing::board_catalogue(), 1, false, start);
        for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
            directory_.apply(testing::board_target(id, "north", slots), 2, false, start);
        }
    }

    static steering::segment packet_from(std::uint16_t port) {
        steering::segment result;
        result.flow = {.caller = {.address = port, .port = port}, .route = testing::board_route};
        result.sequence = opening_sequence;
        return result;
    }

    const discovery::target* deliver(const steering::segment& packet, clock::time_point now) {
        const auto outcome =
            steering_.on_segment(packet, {.is_complete = true, .confirmed = now}, now);
        const auto* forwarded = std::get_if<steering::forward>(&outcome);
        return forwarded == nullptr ? nullptr : forwarded->to;
    }

    const discovery::target* open(std::uint16_t port, std::uint32_t copy, clock::time_point now) {
        auto opening = packet_from(port);
        opening.is_opening = true;
        opening.copy = copy;
        return deliver(opening, now);
    }

    // Sends the opening to one target and its copy to another one.
    void open_twice(std::uint16_t port) {
        first_ = open(port, 0, start);
        second_ = open(port, 1, copied_at);
        ASSERT_NE(first_, nullptr);
        ASSERT_NE(second_, nullptr);
        ASSERT_NE(first_, second_);
    }

    // A packet of the caller after the opening. `length` is that of its data.
    static steering::segment packet(std::uint16_t port, const discovery::target& token_of,
                                    std::uint32_t acknowledged, std::uint16_t length = 0) {
        auto result = packet_from(port);
        ++result.sequence;
        result.token = token_of.token;
        result.acknowledged = acknowledged;
        result.length = length;
        return result;
    }

    static constexpr clock::time_point copied_at = start + clock::duration{200};
    static constexpr clock::time_point accepted_at = start + clock::duration{204};
    static constexpr clock::time_point late = start + clock::duration{260};

    discovery::directory directory_;
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    steering::cold_gate cold_gate_{"self"};
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};
    const discovery::target* first_ = nullptr;
    const discovery::target* second_ = nullptr;
};

// Guards against packets of an open flow that follow the token of a slow target to that target,
// which resets the flow.
TEST_F(steering_flow_holder, keeps_a_flow_when_the_slow_first_target_accepts_it_too) {
    open_twice(1);
    EXPECT_EQ(deliver(packet(1, *second_, second_number), accepted_at), second_);
    EXPECT_EQ(deliver(packet(1, *first_, second_number, 100), late), second_);
    EXPECT_EQ(deliver(packet(1, *first_, second_number + 2'000), late), second_);
}

// Guards against taking the target of the newest copy for the holder of a flow that the first
// target has accepted.
TEST_F(steering_flow_holder, keeps_a_flow_at_the_first_target_when_that_of_the_copy_is_slower) {
    open_twice(1);
    EXPECT_EQ(deliver(packet(1, *first_, first_number), accepted_at), first_);
    EXPECT_EQ(deliver(packet(1, *second_, first_number, 100), late), first_);
}

// Guards against a number that is near by distance but not by value.
TEST_F(steering_flow_holder, keeps_a_flow_whose_sequence_numbers_wrap_around) {
    open_twice(1);
    constexpr auto last_number = std::numeric_limits<std::uint32_t>::max();
    EXPECT_EQ(deliver(packet(1, *second_, last_number), accepted_at), second_);
    EXPECT_EQ(deliver(packet(1, *first_, 1'000, 100), late), second_);
    EXPECT_EQ(deliver(packet(1, *second_, 2'000), late), second_);
    EXPECT_EQ(deliver(packet(1, *first_, last_number - 1'000), late), second_);
}

// Guards against a request that counts as open on the target whose token it returns, so that the
// holder looks idle and the other one busy.
TEST_F(steering_flow_holder, counts_the_flow_and_its_requests_at_the_holder) {
    open_twice(1);
    deliver(packet(1, *second_, second_number), accepted_at);
    deliver(packet(1, *first_, second_number, 100), late);
    EXPECT_EQ(steering_.flows().health(second_->token).flows, 1);
    EXPECT_EQ(steering_.flows().health(second_->token).open_requests, 1);
    EXPECT_EQ(steering_.flows().health(first_->token).flows, 0);
    EXPECT_EQ(steering_.flows().health(first_->token).open_requests, 0);
}

// Guards against a flow that is reset because the other target that accepted it has died.
TEST_F(steering_flow_holder, ends_the_flow_with_its_holder_only) {
    open_twice(1);
    deliver(packet(1, *second_, second_number), accepted_at);
    deliver(packet(1, *first_, second_number, 100), late);
    const auto found_dead_at = late + clock::duration{100};
    steering_.on_target_dead(*first_, found_dead_at, found_dead_at);
    EXPECT_TRUE(steering_.take_resets().empty());
    steering_.on_target_dead(*second_, found_dead_at, found_dead_at);
    EXPECT_EQ(steering_.take_resets().size(), 1U);
}

// Guards against a new flow of a used port that is sent to the target of the port's earlier flow.
TEST_F(steering_flow_holder, follows_the_token_of_another_flow_of_the_same_port) {
    open_twice(1);
    deliver(packet(1, *second_, second_number), accepted_at);
    EXPECT_EQ(deliver(packet(1, *first_, first_number, 100), late), first_);
    auto other_number = packet(1, *second_, first_number, 100);
    other_number.sequence += 1U << 30U;
    EXPECT_EQ(deliver(other_number, late), second_);
}

// Guards against a first packet that is taken for proof although another instance has seen the
// opening: the caller may have received the token of the slow target before that packet.
TEST_F(steering_flow_holder, follows_the_token_of_a_flow_whose_opening_it_has_not_seen) {
    const auto* first = directory_.find_target(discovery::token_of("i-1"));
    const auto* second = directory_.find_target(discovery::token_of("i-2"));
    EXPECT_EQ(deliver(packet(1, *first, second_number, 100), accepted_at), first);
    EXPECT_EQ(deliver(packet(1, *second, second_number, 100), late), second);
}

// Guards against a flow that another instance sends to the slow target: the routers moved it while
// its caller was idle with the token of that target.
TEST_F(steering_flow_holder, keeps_a_flow_that_a_peer_has_seen_open) {
    open_twice(1);
    deliver(packet(1, *second_, second_number), accepted_at);
    const auto reports = steering_.take_flows_opened_twice();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(steering_.take_flows_opened_twice().empty());

    steering::steering peer{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};
    peer.on_holder_reported(reports.front(), late);
    const steering::directory_state state{.is_complete = true, .confirmed = late};
    for (const auto* token_of : {first_, second_, first_}) {
        const auto outcome = peer.on_segment(packet(1, *token_of, second_number, 100), state, late);
        EXPECT_EQ(std::get<steering::forward>(outcome).to, second_);
    }
}

// Guards against a flow that opens at the slow first target and is reported with that of the copy.
TEST_F(steering_flow_holder, reports_the_first_target_if_the_flow_opens_there) {
    open_twice(1);
    deliver(packet(1, *first_, first_number), accepted_at);
    const auto reports = steering_.take_flows_opened_twice();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().holder, first_->token);
    EXPECT_EQ(reports.front().acknowledged, first_number);
}

// Guards against a missing report on a flow whose first opening another instance has placed.
TEST_F(steering_flow_holder, reports_a_flow_of_which_it_has_seen_only_a_copy) {
    const auto* target = open(1, 1, start);
    deliver(packet(1, *target, first_number), start + clock::duration{4});
    EXPECT_EQ(steering_.take_flows_opened_twice().size(), 1U);
}

// Guards against reports on all flows, which would cost as many messages as the zone has peers.
TEST_F(steering_flow_holder, reports_no_flow_that_only_one_target_can_accept) {
    const auto* target = open(1, 0, start);
    deliver(packet(1, *target, first_number), start + clock::duration{4});
    open_twice(2);
    steering_.on_target_reported_dead(*first_, late + clock::duration{3'000});
    deliver(packet(2, *second_, second_number), accepted_at);
    EXPECT_TRUE(steering_.take_flows_opened_twice().empty());
}

// Guards against a report that moves a new flow of the same port to the target of the earlier one.
TEST_F(steering_flow_holder, follows_the_token_of_another_flow_than_the_reported_one) {
    const auto* first = directory_.find_target(discovery::token_of("i-1"));
    const auto* second = directory_.find_target(discovery::token_of("i-2"));
    const auto reported = packet(1, *second, second_number);
    steering_.on_holder_reported({.flow = reported.flow,
                                  .holder = second->token,
                                  .acknowledged = reported.acknowledged,
                                  .next_sequence = reported.sequence},
                                 start);
    EXPECT_EQ(deliver(packet(1, *first, first_number, 100), late), first);
}

// Guards against reports that stay for good, and against a flood of them.
TEST(reported_holders, are_bounded_in_number_and_in_time) {
    constexpr clock::duration lifetime{100};
    steering::reported_holders reports{{.lifetime = lifetime, .max_flows = 2}};
    for (std::uint16_t port = 1; port <= 3; ++port) {
        reports.add({.flow = {.caller = {.address = 1, .port = port}, .route = {}}, .holder = 7},
                    start);
    }
    EXPECT_EQ(reports.size(), 2U);
    reports.expire(start + lifetime);
    EXPECT_EQ(reports.size(), 2U);
    reports.expire(start + lifetime + clock::duration{1});
    EXPECT_EQ(reports.size(), 0U);
}

}  // namespace
}  // namespace bramleytrack
