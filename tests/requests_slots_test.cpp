// Slots of a target: not freed while the target may be running the request, and not leaked.
#include <gtest/gtest.h>

#include "support/session.h"
#include "support/single_owner.h"

namespace bramleytrack {
namespace {

using testing::owner_with_open_flow;
using testing::single_owner;
using wire::packet_kind;
using wire::repetition;
using kinds = std::vector<packet_kind>;

// A shed arrives twice, the second time after the request has been dispatched again. Matching sheds
// by the instance's incarnation, which is the same for both dispatches, would free the slot of the
// running dispatch and report the request as not run.
TEST(request_slots, repeated_shed_does_not_end_the_next_dispatch) {
    owner_with_open_flow owner{2};
    owner.once(1, 1);
    const auto other = *owner.last_to_target(packet_kind::request);
    owner.request(1, 2, repetition::repeatable);
    const auto first = *owner.last_to_target(packet_kind::request);
    owner.reply_from_target(packet_kind::shed, first);
    owner.reply_from_target(packet_kind::answer, other);
    EXPECT_EQ(owner.dispatches(1, 2), 2);
    owner.reply_from_target(packet_kind::shed, first);
    EXPECT_EQ(owner.slots_in_use(), 1);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{});
    owner.reply_from_target(packet_kind::answer, *owner.last_to_target(packet_kind::request));
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::answer});
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// A target that sheds repeatedly gets a repeatable request a bounded number of times, and a request
// that may not be repeated only once.
TEST(request_slots, retries_are_bounded_and_only_for_repeatable_requests) {
    owner_with_open_flow owner{3};
    owner.once(1, 1);
    owner.once(1, 2);
    owner.reply_from_target(packet_kind::shed, *owner.last_to_target(packet_kind::request));
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
    EXPECT_EQ(owner.dispatches(1, 2), 1);
    owner.request(1, 3, repetition::repeatable);
    for (int i = 0; i < 5 && owner.outcomes(1, 3).empty(); ++i) {
        owner.reply_from_target(packet_kind::shed, *owner.last_to_target(packet_kind::request));
    }
    EXPECT_EQ(owner.dispatches(1, 3), 2);
    EXPECT_EQ(owner.outcomes(1, 3), kinds{packet_kind::refused});
    EXPECT_EQ(owner.slots_in_use(), 1);
}

// A flow is closed while one of its requests runs and one waits. The waiting one is rejected as not
// run; the running one keeps its slot until its answer or its deadline.
TEST(request_slots, close_rejects_waiting_and_keeps_slots_of_running_requests) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 1000);
    owner.once(1, 2);
    owner.close(1);
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
    EXPECT_EQ(owner.slots_in_use(), 1);
    owner.advance(1400);
    EXPECT_EQ(owner.slots_in_use(), 0);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    EXPECT_EQ(owner.dispatches(1, 2), 0);
}

// The target restarts and resets a flow that has a running request. The request may have run, so
// the caller must get "unknown" immediately rather than at the deadline; the slot stays in use
// until the request can no longer be running.
TEST(request_slots, reset_makes_running_requests_unknown_and_keeps_their_slots) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 1000);
    owner.once(1, 2);
    auto reset = *owner.last_to_target(packet_kind::request);
    reset.request = 0;  // answers a data packet
    owner.reply_from_target(packet_kind::reset, reset);
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    EXPECT_EQ(owner.outcomes(1, 2), kinds{packet_kind::refused});
    EXPECT_EQ(owner.slots_in_use(), 1);
    owner.advance(1400);
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// A caller closes its flow while a request runs and cancels the request; the target resets the
// cancellation, which names the request. Taking the reset as proof that the request was not run
// would free its slot too early. Found by requests_property with seed 3.
TEST(request_slots, reset_does_not_prove_that_a_request_did_not_run) {
    owner_with_open_flow owner{1};
    owner.once(1, 1, 1000);
    owner.close(1);
    owner.cancel(1, 1);
    owner.reply_from_target(packet_kind::reset, *owner.last_to_target(packet_kind::cancel));
    EXPECT_EQ(owner.outcomes(1, 1), kinds{packet_kind::unknown});
    EXPECT_EQ(owner.slots_in_use(), 1);
    owner.advance(1400);
    EXPECT_EQ(owner.slots_in_use(), 0);
}

// All instances start and callers send requests immediately. The first owner of a target assumes
// that requests of an earlier owner hold all slots, which would reject all requests for 10 s. A
// report that was requested after the takeover shows that nothing is running.
TEST(request_slots, first_owner_serves_within_a_second) {
    single_owner owner{2};
    owner.open(1);
    owner.advance(200);
    owner.once(1, 1);
    EXPECT_EQ(owner.dispatches(1, 1), 0);
    for (int i = 0; i < 8; ++i) {
        owner.advance(100);
        const auto report_request = owner.last_to_target(packet_kind::report_wanted);
        owner.report(0, to_time_point(report_request->sequence));
    }
    EXPECT_EQ(owner.dispatches(1, 1), 1);
    EXPECT_EQ(owner.assumed_slots(), 0);
}

// A lagging report shows free slots that the failed owner filled later, so the successor would
// overload the target. Reports that were requested before or right after the takeover are ignored,
// and so are those whose request time is in the future.
TEST(request_slots, report_that_may_predate_a_failed_owners_last_dispatch_is_ignored) {
    single_owner owner{2};
    owner.advance(400);
    owner.report(0, owner.now() - clock::duration{400});
    owner.report(0, owner.now());
    owner.report(0, owner.now() + clock::duration{1});
    owner.report(0, owner.now() - clock::duration{5000});
    EXPECT_EQ(owner.assumed_slots(), 2);
    owner.advance(200);
    owner.report(1, owner.now());
    EXPECT_EQ(owner.assumed_slots(), 1);
}

// Answers to requests of a failed owner reach the successor. Each frees one assumed slot; copies of
// one answer together free only one.
TEST(request_slots, each_answer_to_a_failed_owners_request_frees_one_slot) {
    single_owner owner{2};
    owner.add_flow_at_target(7);
    wire::packet answer;
    answer.kind = packet_kind::answer;
    answer.service_address = "10.0.0.1:443";
    answer.caller = "caller";
    answer.flow = 7;
    answer.request = 3;
    answer.dispatch = 99;
    owner.send_from_target(answer);
    owner.send_from_target(answer);
    EXPECT_EQ(owner.assumed_slots(), 1);
    EXPECT_EQ(owner.outcomes(7, 3), kinds{packet_kind::answer});
    owner.once(7, 3);  // a copy gets the same answer
    owner.advance(200);
    EXPECT_EQ(owner.outcomes(7, 3), (kinds{packet_kind::answer, packet_kind::answer}));
    answer.request = 4;
    owner.send_from_target(answer);
    EXPECT_EQ(owner.assumed_slots(), 0);
}

// The owner of a target with one slot fails while a request runs; the successor treats the slot as
// in use and queues the next request. Then an instance that has just started gets the target by a
// hand-over. If it dispatched the queued request before it received the slot state, the target
// would run two requests at a time.
TEST(request_slots, hand_over_transfers_slots_held_by_a_failed_owners_requests) {
    testing::session session;
    for (const char* line :
         {"zone north", "service board 10.0.0.1:443", "target t north board slots=1 connections=9",
          "instance a north", "instance b north", "apply", "advance 15000", "open flow=1 via=a",
          "request flow=1 request=1 via=a deadline=9000"}) {
        session.run(line);
    }
    const bool is_a_owner = session.core("a").state().ownership.find("t") != nullptr;
    const std::string survivor = is_a_owner ? "b" : "a";
    session.run(std::string{"kill "} + (is_a_owner ? "a" : "b"));
    session.run("advance 3000");
    ASSERT_NE(session.core(survivor).state().ownership.find("t"), nullptr);
    session.run("request flow=1 request=2 via=" + survivor + " deadline=5000");
    for (const std::string starting : {"c", "d", "e", "f", "g", "h"}) {
        session.run("instance " + starting + " north");
    }
    session.run("advance 2500");
    ASSERT_EQ(session.core(survivor).state().ownership.find("t"), nullptr);
    EXPECT_EQ(session.target("t").max_running(), 1);
    session.run("answer flow=1 request=1");
    session.run("advance 300");
    EXPECT_EQ(session.target("t").running(), 1);
}

}  // namespace
}  // namespace bramleytrack
