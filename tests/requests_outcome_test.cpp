// Outcomes of requests under late, crossed and repeated packets: what callers get, and what runs.
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

// A crew lodges a reading; the network delays one copy for seconds. The successor of a dead owner
// gets a copy while the dead owner's dispatch may still run, says "unknown", and another copy after
// the time of doubt. Cause: "unknown" left no record, so that the later copy ran the lodgement.
TEST(request_outcomes, an_unknown_of_the_time_of_doubt_stays_unknown) {
    single_owner owner;
    owner.inherit(1);
    owner.advance(6000);
    owner.once(1, 1, 9000);
    owner.advance(200);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.advance(5000);
    owner.once(1, 1, 4000);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::unknown, packet_kind::unknown}));
}

// A repeatable request comes to the successor of a dead owner, whose queue is full, and is refused
// as not run although the dead owner ran it. Cause: the refusal looked at this owner's records
// only.
TEST(request_outcomes, not_run_is_not_said_of_work_that_a_dead_owner_may_have_run) {
    single_owner owner{1};
    owner.inherit(1);
    owner.request(1, 1, repetition::repeatable, "work", 1000);
    owner.advance(1500);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
}

// A late copy of a flow's opening reaches the successor of the owner that had opened the flow, then
// a copy of a lodgement that ran. Cause: the successor took the flow for one that it had opened
// itself, so the lodgement ran twice. The target knows the flow, so it doesn't reset a question.
TEST(request_outcomes, a_late_opening_does_not_make_an_inherited_flow_certain) {
    single_owner owner;
    owner.inherit(1);
    owner.open(1);
    owner.advance(4000);
    owner.report(0, owner.now());
    owner.once(1, 1);
    owner.advance(500);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
}

// A new flow opens right after a takeover. The target resets the probe: it has never had the flow,
// so the lodgement runs and the caller isn't told "unknown" for ten seconds.
TEST(request_outcomes, a_flow_that_the_target_does_not_know_is_certain) {
    single_owner owner;
    owner.open(1);
    owner.advance(800);
    EXPECT_TRUE(owner.last_to_target(packet_kind::open));
    owner.report(0, owner.now());
    owner.once(1, 1);
    EXPECT_EQ(owner.dispatches(1, 1), 1);
}

// The deadline passes, the caller gets "unknown", and then the target's answer comes after all.
// Cause: the answer was swallowed, so that the inspector never got the whole answer.
TEST(request_outcomes, an_answer_after_unknown_reaches_the_caller_and_later_copies) {
    owner_with_open_flow owner;
    owner.once(1, 1, 500);
    const auto dispatched = *owner.last_to_target(packet_kind::request);
    owner.advance(500 + tick_and_grace.count());
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.target_says(packet_kind::answer, dispatched);
    owner.once(1, 1, 500);
    EXPECT_EQ(owner.outcomes(1, 1),
              (kinds{packet_kind::unknown, packet_kind::answer, packet_kind::answer}));
    EXPECT_EQ(owner.slots_in_use(), 0);
    EXPECT_EQ(owner.dispatches(1, 1), 1);
}

// A caller closes a flow, opens one with the same number and asks its request 1. Cause: it got the
// answer to request 1 of the closed flow, a crossed answer.
TEST(request_outcomes, a_number_used_again_by_a_new_flow_gets_its_own_answer) {
    owner_with_open_flow owner;
    owner.request(1, 1, repetition::at_most_once, "first");
    const auto first = *owner.last_to_target(packet_kind::request);
    owner.target_says(packet_kind::answer, first);
    owner.close(1);
    owner.open(1);
    owner.request(1, 1, repetition::at_most_once, "second");
    EXPECT_EQ(owner.dispatches(1, 1), 2);
    owner.target_says(packet_kind::answer, first);  // late duplicate: another dispatch
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::answer});
    owner.request(1, 1, repetition::at_most_once, "first");  // late copy of the first request
    EXPECT_EQ(owner.dispatches(1, 1), 2);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::answer, packet_kind::unknown}));
    owner.target_says(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// An instance restarts under its address, and an answer that its earlier life waited for arrives
// and matches a request number used again. Cause: the answer was matched by flow and number alone.
TEST(request_outcomes, an_answer_to_another_dispatch_is_not_taken) {
    owner_with_open_flow owner;
    owner.once(1, 1);
    auto stale = *owner.last_to_target(packet_kind::request);
    stale.dispatch -= 1;
    owner.target_says(packet_kind::answer, stale);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{});
    EXPECT_EQ(owner.slots_in_use(), 1);
}

// A crew cancels a waiting request, the cancellation overtakes the request on its way, and the
// request runs for nobody. Cause: a cancellation of an unknown request left no trace.
TEST(request_outcomes, a_cancellation_before_its_request_keeps_it_from_running) {
    owner_with_open_flow owner;
    owner.cancel(1, 1);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{});
    owner.once(1, 1);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::refused});
}

// A caller cancels while the answer is on its way to it and is lost. Cause: the cancellation of an
// ended request was ignored, and the caller never learned that its lodgement ran.
TEST(request_outcomes, a_cancellation_that_crosses_with_a_lost_answer_gets_the_answer) {
    owner_with_open_flow owner;
    owner.once(1, 1);
    owner.target_says(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    owner.cancel(1, 1);
    EXPECT_EQ(owner.outcomes(1, 1), (kinds{packet_kind::answer, packet_kind::answer}));
}

// A running request is cancelled and the target says nothing. "Not run" would be a guess; the
// outcome is unknown, and the slot is free only when the target can't be working any more.
TEST(request_outcomes, a_cancelled_running_request_is_unknown_without_the_targets_word) {
    owner_with_open_flow owner;
    owner.once(1, 1, 1000);
    owner.cancel(1, 1);
    EXPECT_TRUE(owner.last_to_target(packet_kind::cancel));
    EXPECT_EQ(owner.slots_in_use(), 1);
    owner.advance(1000 + tick_and_grace.count());
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// A request waits until its deadline has passed. It was never sent: "not run" is true, is said at
// the deadline, and the request doesn't run when a slot gets free afterwards.
TEST(request_outcomes, a_request_whose_deadline_passes_in_the_queue_was_not_run) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 5000);
    const auto running = *owner.last_to_target(packet_kind::request);
    owner.once(1, 2, 1000);
    owner.advance(1000 + tick_interval.count());
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
    owner.target_says(packet_kind::answer, running);
    EXPECT_EQ(owner.dispatches(1, 2), 0);
}

// The process is paused with work in its queue; the first event afterwards frees a slot, before any
// tick. Cause: the deadline was checked when the request came, not when it was sent.
TEST(request_outcomes, a_paused_owner_checks_the_deadline_right_before_it_sends) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 5000);
    const auto running = *owner.last_to_target(packet_kind::request);
    owner.once(1, 2, 300);
    owner.stand_still(400);
    owner.target_says(packet_kind::answer, running);
    EXPECT_EQ(owner.dispatches(1, 2), 0);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
}

// A caller's clock is a minute ahead, so the deadline doesn't bound its copies. It asks again every
// few seconds. Cause: the outcome was forgotten 10 s after the answer and the next copy ran again.
TEST(request_outcomes, each_copy_keeps_the_outcome_for_the_copies_after_it) {
    owner_with_open_flow owner;
    owner.once(1, 1, 60'000);
    owner.target_says(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    for (int i = 0; i < 6; ++i) {
        owner.advance(8000);
        owner.once(1, 1, 60'000);
    }
    EXPECT_EQ(owner.dispatches(1, 1), 1);
    EXPECT_EQ(owner.outcomes(1, 1), kinds(7, packet_kind::answer));
    owner.advance(11'000);
    EXPECT_EQ(owner.state().requests.size(), 0U);
}

// A copy comes so late that the record of its request is gone. Cause: its deadline had passed, so
// it was refused as not run, although it had run.
TEST(request_outcomes, a_copy_older_than_any_record_is_unknown) {
    owner_with_open_flow owner;
    owner.once(1, 1, -10'001);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    owner.once(1, 2, -1);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
}

// One flow sends numbers without end. Its records are bounded; what no record can be kept of isn't
// run, and isn't called "not run" either, since a later copy may find room.
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

// A lodgement with a large drawing waits while its target is handed over. Cause: its payload, too
// large for a message between peers, was dropped, and the new owner sent the lodgement empty.
TEST(request_outcomes, a_waiting_request_too_large_to_hand_over_was_not_run) {
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
