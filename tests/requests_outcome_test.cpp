// Outcomes of requests when packets are late, cross each other or are repeated: what callers
// receive and how often requests run.
#include <gtest/gtest.h>

#include "hand_over/hand_over_parts.h"
#include "support/single_owner.h"

namespace bramleytrack {
namespace {

using testing::owner_with_open_flow;
using testing::single_owner;
using wire::packet_kind;
using wire::repetition;
using kinds = std::vector<packet_kind>;

constexpr clock::duration tick_and_grace = tick_interval + records::deadline_grace;

// The successor of a failed owner reports "unknown" for a request that the failed owner may still
// be running. A copy that the network delays until that uncertainty has passed must get the same
// outcome; without a record of it, the copy would run the request.
TEST(request_outcomes, unknown_outcome_given_after_a_takeover_is_final) {
    single_owner owner;
    owner.add_flow_at_target(1);
    owner.advance(6000);
    owner.once(1, 1, 9000);
    owner.advance(200);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.advance(5000);
    owner.once(1, 1, 4000);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::unknown, packet_kind::unknown}));
}

// A repeatable request reaches the successor of a failed owner, finds the queue full and is
// rejected. The failed owner may have run it, so the outcome must be "unknown" although the
// successor has no record of a run.
TEST(request_outcomes, request_that_a_failed_owner_may_have_run_is_not_reported_as_not_run) {
    single_owner owner{1};
    owner.add_flow_at_target(1);
    owner.request(1, 1, repetition::repeatable, "work", 1000);
    owner.advance(1500);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
}

// A late copy of a flow's opening reaches the successor of the owner that opened the flow, followed
// by a copy of a request that has run. If the successor took the flow for a new one, the request
// would run twice. The target has the flow, so it doesn't reset the probe.
TEST(request_outcomes, late_opening_does_not_mark_an_existing_flow_as_new) {
    single_owner owner;
    owner.add_flow_at_target(1);
    owner.open(1);
    owner.advance(4000);
    owner.report(0, owner.now());
    owner.once(1, 1);
    owner.advance(500);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
}

// A flow opens right after a takeover. The target resets the probe because it has never had the
// flow, so the flow is new and its requests run. Otherwise the caller would get "unknown" for ten
// seconds.
TEST(request_outcomes, flow_that_the_target_resets_is_new) {
    single_owner owner;
    owner.open(1);
    owner.advance(800);
    EXPECT_TRUE(owner.last_to_target(packet_kind::open));
    owner.report(0, owner.now());
    owner.once(1, 1);
    EXPECT_EQ(owner.dispatches(1, 1), 1);
}

// The deadline passes, the caller gets "unknown", and then the target's answer arrives. The answer
// must be forwarded to the caller and returned for later copies rather than dropped.
TEST(request_outcomes, answer_after_unknown_reaches_the_caller_and_later_copies) {
    owner_with_open_flow owner;
    owner.once(1, 1, 500);
    const auto dispatched = *owner.last_to_target(packet_kind::request);
    owner.advance(500 + tick_and_grace.count());
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.reply_from_target(packet_kind::answer, dispatched);
    owner.once(1, 1, 500);
    EXPECT_EQ(owner.outcomes(1, 1),
              (kinds{packet_kind::unknown, packet_kind::answer, packet_kind::answer}));
    EXPECT_EQ(owner.slots_in_use(), 0);
    EXPECT_EQ(owner.dispatches(1, 1), 1);
}

// A caller closes a flow, opens one with the same number and sends its request 1. That request must
// not get the answer to request 1 of the closed flow.
TEST(request_outcomes, request_number_reused_by_a_new_flow_gets_its_own_answer) {
    owner_with_open_flow owner;
    owner.request(1, 1, repetition::at_most_once, "first");
    const auto first = *owner.last_to_target(packet_kind::request);
    owner.reply_from_target(packet_kind::answer, first);
    owner.close(1);
    owner.open(1);
    owner.request(1, 1, repetition::at_most_once, "second");
    EXPECT_EQ(owner.dispatches(1, 1), 2);
    owner.reply_from_target(packet_kind::answer, first);  // late duplicate of an earlier dispatch
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::answer});
    owner.request(1, 1, repetition::at_most_once, "first");  // late copy of the first request
    EXPECT_EQ(owner.dispatches(1, 1), 2);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::answer, packet_kind::unknown}));
    owner.reply_from_target(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// An instance restarts under the same address, and an answer to a dispatch of its earlier
// incarnation arrives for a flow and request number that are in use again. Matching answers by flow
// and number alone would accept it.
TEST(request_outcomes, answer_to_another_dispatch_is_ignored) {
    owner_with_open_flow owner;
    owner.once(1, 1);
    auto stale = *owner.last_to_target(packet_kind::request);
    stale.dispatch -= 1;
    owner.reply_from_target(packet_kind::answer, stale);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{});
    EXPECT_EQ(owner.slots_in_use(), 1);
}

// A cancellation overtakes its request. If it left no record, the request would run although the
// caller has abandoned it.
TEST(request_outcomes, cancellation_that_overtakes_its_request_keeps_it_from_running) {
    owner_with_open_flow owner;
    owner.cancel(1, 1);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{});
    owner.once(1, 1);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::refused});
}

// A caller cancels a request while the answer is in flight, and the answer is lost. If the
// cancellation of an ended request were ignored, the caller would not learn that the request ran.
TEST(request_outcomes, cancellation_that_crosses_with_a_lost_answer_gets_the_answer) {
    owner_with_open_flow owner;
    owner.once(1, 1);
    owner.reply_from_target(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    owner.cancel(1, 1);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::answer, packet_kind::answer}));
}

// A running request is cancelled and the target doesn't reply. The request may have run, so its
// outcome is "unknown", and its slot is freed only when the target can no longer be running it.
TEST(request_outcomes, cancelled_running_request_is_unknown_without_a_reply_of_the_target) {
    owner_with_open_flow owner;
    owner.once(1, 1, 1000);
    owner.cancel(1, 1);
    EXPECT_TRUE(owner.last_to_target(packet_kind::cancel));
    EXPECT_EQ(owner.slots_in_use(), 1);
    owner.advance(1000 + tick_and_grace.count());
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// The deadline of a queued request passes. The request is reported as not run at the deadline, and
// it must not run when a slot becomes free afterwards.
TEST(request_outcomes, request_whose_deadline_passes_in_the_queue_is_not_run) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 5000);
    const auto running = *owner.last_to_target(packet_kind::request);
    owner.once(1, 2, 1000);
    owner.advance(1000 + tick_interval.count());
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
    owner.reply_from_target(packet_kind::answer, running);
    EXPECT_EQ(owner.dispatches(1, 2), 0);
}

// The process is paused with a request in its queue, and the first event afterwards frees a slot
// before any tick. Checking the deadline only on arrival would dispatch an expired request.
TEST(request_outcomes, resumed_owner_checks_the_deadline_before_dispatching) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 5000);
    const auto running = *owner.last_to_target(packet_kind::request);
    owner.once(1, 2, 300);
    owner.pause(400);
    owner.reply_from_target(packet_kind::answer, running);
    EXPECT_EQ(owner.dispatches(1, 2), 0);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
}

// A caller's clock is a minute ahead, so the deadline doesn't limit its retransmissions, which it
// sends every 8 s. If the outcome expired 10 s after the answer, the next copy would run again.
TEST(request_outcomes, each_copy_extends_the_retention_of_the_outcome) {
    owner_with_open_flow owner;
    owner.once(1, 1, 60'000);
    owner.reply_from_target(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    for (int i = 0; i < 6; ++i) {
        owner.advance(8000);
        owner.once(1, 1, 60'000);
    }
    EXPECT_EQ(owner.dispatches(1, 1), 1);
    EXPECT_EQ(owner.outcomes(1, 1), kinds(7, packet_kind::answer));
    owner.advance(11'000);
    EXPECT_EQ(owner.state().requests.size(), 0U);
}

// A copy arrives after the record of its request has expired. Its deadline has passed, but it must
// not be reported as not run, because the request may have run.
TEST(request_outcomes, copy_older_than_any_record_is_unknown) {
    owner_with_open_flow owner;
    owner.once(1, 1, -10'001);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.once(1, 2, -1);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
}

// One flow sends an unlimited number of requests. The number of its records is bounded. A request
// without a record isn't run, and isn't reported as not run either, since a later copy may find
// capacity.
TEST(request_outcomes, one_flow_cannot_fill_the_table) {
    owner_with_open_flow owner;
    owner.open(2);
    const auto kept = static_cast<std::int64_t>(records::max_records_per_flow);
    for (std::int64_t number = 1; number <= kept + 10; ++number) {
        owner.once(1, number);
    }
    EXPECT_EQ(owner.state().requests.size(), records::max_records_per_flow);
    EXPECT_EQ(owner.outcomes(1, kept + 1), kinds{packet_kind::unknown});
    owner.once(2, 1);
    EXPECT_EQ(owner.outcomes(2, 1), kinds{packet_kind::refused});  // the queue is full
}

// A request with a large payload is queued while its target is handed over. A payload that exceeds
// the size of a message between peers was dropped, and the new owner dispatched the request without
// it. The request must be rejected as not run instead.
TEST(request_outcomes, waiting_request_too_large_to_hand_over_is_not_run) {
    wire::request_record record;
    record.state = static_cast<std::int32_t>(records::request_state::waiting);
    record.content.kind = packet_kind::request;
    record.content.payload.assign(hand_over::max_record_bytes, 'x');
    const auto parts = hand_over::split_into_parts({}, {}, {record});
    records::request_table table;
    table.restore(parts.front().requests.front(), "board-1");
    EXPECT_TRUE(table.waiting_on("board-1").empty());
    EXPECT_EQ(table.find({0, 0})->content.kind, packet_kind::refused);
}

}  // namespace
}  // namespace bramleytrack
