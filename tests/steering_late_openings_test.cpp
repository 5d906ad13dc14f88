// Openings that waited at an instance: in its socket, in its opening queue, or in both.
#include <gtest/gtest.h>

#include "fleet/peer_digests.h"
#include "observability/steering_metrics.h"
#include "steering/opening_lifetime.h"
#include "steering/steering.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

TEST(opening_lifetime, ends_before_the_caller_sends_the_next_opening_or_gives_up) {
    // Callers send copies 200 and 600 ms after the original, and give up after 1.4 s.
    EXPECT_LT(steering::lifetime_of_opening(0), clock::duration{200});
    EXPECT_LT(steering::lifetime_of_opening(1), clock::duration{400});
    EXPECT_LT(steering::lifetime_of_opening(2), clock::duration{800});
    EXPECT_GT(steering::lifetime_of_opening(2), steering::lifetime_of_opening(1));
    EXPECT_GT(steering::lifetime_of_opening(1), steering::lifetime_of_opening(0));
}

TEST(opening_lifetime, of_a_copy_number_that_no_caller_sends_is_that_of_the_last_copy) {
    EXPECT_EQ(steering::lifetime_of_opening(0xffffffff), steering::lifetime_of_opening(2));
}

class late_openings : public ::testing::Test {
protected:
    static constexpr int slots = 16;

    late_openings() {
        auto catalogue = testing::board_catalogue();
        catalogue.routes.front().latency_objective = clock::duration{1'000};
        directory_.apply(catalogue, 1, false, start);
        directory_.apply(testing::board_target("i-1", "north", slots), 2, false, start);
    }

    // `waited` in the socket.
    steering::decision open(std::uint16_t port, std::uint32_t copy, clock::duration waited,
                            clock::time_point now) {
        steering::segment opening;
        opening.flow = {.caller = {.address = port, .port = port}, .route = testing::board_route};
        opening.is_opening = true;
        opening.copy = copy;
        opening.max_socket_wait = waited;
        return steering_.on_segment(opening, state_at(now), now);
    }

    static steering::directory_state state_at(clock::time_point now) {
        return {.is_complete = true, .confirmed = now};
    }

    // Opens flows until the service has no capacity left. Further openings wait for it.
    void fill_service() {
        std::uint16_t port = 1'000;
        while (is_forwarded(open(port, 0, clock::duration{0}, start))) {
            ++port;
        }
        steering_.set_admission({.opening_queue_entries = 100, .opening_wait_fraction = 0.5});
    }

    static bool is_dropped(const steering::decision& outcome) {
        return std::holds_alternative<steering::drop>(outcome);
    }
    static bool is_held(const steering::decision& outcome) {
        return std::holds_alternative<steering::hold>(outcome);
    }
    static bool is_forwarded(const steering::decision& outcome) {
        return std::holds_alternative<steering::forward>(outcome);
    }

    discovery::directory directory_;
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    steering::cold_gate cold_gate_{"self"};
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};
};

TEST_F(late_openings, are_not_forwarded_once_the_caller_has_sent_the_next_one) {
    // Guards against a second target that accepts a flow after another instance has opened it.
    EXPECT_TRUE(is_dropped(open(1, 0, clock::duration{200}, start)));
    EXPECT_TRUE(is_dropped(open(1, 1, clock::duration{400}, start)));
    EXPECT_TRUE(is_dropped(open(1, 2, clock::duration{800}, start)));
}

TEST_F(late_openings, are_not_refused_once_the_caller_has_sent_the_next_one) {
    // Guards against a reset of a flow that another instance has opened: the service is full, and
    // the route of the second opening doesn't exist.
    fill_service();
    EXPECT_TRUE(is_dropped(open(1, 0, clock::duration{200}, start)));
    steering::segment opening;
    opening.flow = {.caller = {.address = 1, .port = 1}, .route = {.address = 8, .port = 8}};
    opening.is_opening = true;
    opening.max_socket_wait = clock::duration{200};
    EXPECT_TRUE(is_dropped(steering_.on_segment(opening, state_at(start), start)));
}

TEST_F(late_openings, of_a_whole_start_cost_the_caller_no_time) {
    // Guards against dropping everything that waited for a start: all packets of these callers
    // reached this instance, so that nobody else has opened their flows. Each has sent its last
    // packet between 10 ms and one interval less 30 ms ago.
    std::uint16_t port = 1;
    for (const auto age : {10, 170}) {
        EXPECT_TRUE(is_forwarded(open(port++, 0, clock::duration{age}, start)));
    }
    for (const auto age : {10, 170, 370}) {
        EXPECT_TRUE(is_dropped(open(port, 0, clock::duration{age + 200}, start)));
        EXPECT_TRUE(is_forwarded(open(port++, 1, clock::duration{age}, start)));
    }
    for (const auto age : {10, 370, 770}) {
        EXPECT_TRUE(is_dropped(open(port, 0, clock::duration{age + 600}, start)));
        EXPECT_TRUE(is_dropped(open(port, 1, clock::duration{age + 400}, start)));
        EXPECT_TRUE(is_forwarded(open(port++, 2, clock::duration{age}, start)));
    }
}

TEST_F(late_openings, that_are_copies_of_an_open_flow_are_dropped) {
    // Guards against a copy that the network delivers after the flow has opened: another target
    // would accept it, and the instance would take that one for the flow's holder.
    const auto added = testing::board_target("i-2", "north", slots);
    directory_.apply(added, 3, false, start);
    ASSERT_TRUE(is_forwarded(open(1, 0, clock::duration{0}, start)));
    steering::segment acknowledgement;
    acknowledgement.flow = {.caller = {.address = 1, .port = 1}, .route = testing::board_route};
    acknowledgement.token = discovery::token_of("i-1");
    acknowledgement.acknowledged = 500;
    const auto opened_at = start + clock::duration{205};
    steering_.on_segment(acknowledgement, state_at(opened_at), opened_at);
    const auto later = start + clock::duration{210};
    EXPECT_TRUE(is_dropped(open(1, 1, clock::duration{0}, later)));
    EXPECT_TRUE(is_forwarded(open(2, 1, clock::duration{0}, later)));
    // Another flow of the port, long after.
    EXPECT_TRUE(is_forwarded(open(1, 1, clock::duration{0}, later + clock::duration{2'000})));
}

// The outcomes of the openings that have left the queue.
std::vector<steering::decision> take_outcomes(steering::steering& from) {
    std::vector<steering::decision> result;
    for (auto& each : from.take_released()) {
        result.push_back(each.outcome);
    }
    return result;
}

TEST_F(late_openings, wait_in_the_queue_only_for_what_the_socket_has_left_of_their_time) {
    // Guards against two waits that add up: an opening that has waited 150 ms in the socket was
    // placed after 150 ms more in the queue, 100 ms after its copy was accepted elsewhere.
    fill_service();
    ASSERT_TRUE(is_held(open(1, 0, clock::duration{150}, start)));
    const auto later = start + clock::duration{150};
    const auto added = testing::board_target("i-2", "north", slots);
    directory_.apply(added, 3, false, later);
    steering_.release_waiting(state_at(later), later);
    const auto outcomes = take_outcomes(steering_);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(is_dropped(outcomes.front()));
}

TEST_F(late_openings, are_refused_in_time_when_their_wait_in_the_queue_is_over) {
    // Guards against a wait that ends in silence: the caller could have tried again at once.
    fill_service();
    ASSERT_TRUE(is_held(open(1, 0, clock::duration{100}, start)));
    const auto later = start + clock::duration{90};
    steering_.release_waiting(state_at(later), later);
    const auto outcomes = take_outcomes(steering_);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<steering::refuse>(outcomes.front()));
}

TEST_F(late_openings, in_the_queue_give_way_to_the_copy_of_the_same_caller) {
    // Guards against a copy that is merged with an opening whose wait has ended during a pause of
    // the process: the caller would wait for another copy although a target is free.
    fill_service();
    ASSERT_TRUE(is_held(open(1, 0, clock::duration{0}, start)));
    const auto later = start + clock::duration{400};
    directory_.apply(testing::board_target("i-2", "north", slots), 3, false, later);
    EXPECT_TRUE(is_forwarded(open(1, 1, clock::duration{200}, later)));
}

}  // namespace
}  // namespace bramleytrack
