// Failures in which two instances could own one target, or a move could lose its records.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "support/zone_of_cores.h"

namespace bramleytrack {
namespace {

using ::testing::ElementsAre;
using ::testing::SizeIs;
using testing::zone_of_cores;
using wire::packet_kind;
using namespace std::chrono_literals;

// Two instances of which `first` owns target t, with one open flow on it.
class ownership_failures : public ::testing::Test {
protected:
    ownership_failures() {
        zone_.start(first_);
        zone_.advance(13s);  // the fence of the first takeover is over
        zone_.open(1, first_);
    }

    // `second` comes and wins the rendezvous: the target moves to it unless the test stops that.
    void join() { zone_.start(second_); }

    zone_of_cores zone_{{"t"}};
    std::string second_ = zone_of_cores::winner({"a", "b"}, "t");
    std::string first_ = second_ == "a" ? "b" : "a";
};

// A lodgement is billed twice. Its owner is paused, another instance takes the target over, and a
// copy of the request waits in the socket of the paused one. It wakes up and handles the datagram
// before its first tick.
TEST_F(ownership_failures, woken_owner_handles_a_datagram_before_its_tick) {
    join();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(second_));
    zone_.pause(second_);
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(first_));
    zone_.resume(second_);
    zone_.request(1, 7, second_);
    EXPECT_EQ(0, zone_.most_runs());
    EXPECT_THAT(zone_.owners("t"), ElementsAre(first_));
}

// The same instance is paused twice, the second time while it is listening anew.
TEST_F(ownership_failures, owner_paused_twice) {
    join();
    zone_.advance(3s);
    for (int round = 0; round < 2; ++round) {
        zone_.pause(second_);
        zone_.advance(2'500ms);
        zone_.resume(second_);
        zone_.request(1, 7, second_);
        zone_.advance(1s);
        EXPECT_THAT(zone_.owners("t"), ElementsAre(first_));
    }
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
    EXPECT_LE(zone_.most_runs(), 1);
}

// A caller's packets vanish during a planned change. The old owner has let the target go, the new
// one's first heartbeat is lost, and for half a second no instance claims the target.
TEST_F(ownership_failures, packets_reach_the_new_owner_before_its_first_claim) {
    join();
    zone_.lose([&](const auto& sent) {
        return sent.sender == second_ && sent.content.__isset.beat &&
               !sent.content.beat.owned.empty();
    });
    zone_.advance(2'600ms);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(second_));
    zone_.request(1, 7, first_);
    zone_.deliver_all();
    EXPECT_EQ(1, zone_.most_runs());
}

// A request that was waiting for a slot when its target moved is neither run nor answered.
TEST_F(ownership_failures, waiting_request_is_dispatched_by_the_new_owner) {
    for (std::int64_t number = 1; number <= 3; ++number) {
        zone_.request(1, number, first_);
    }
    ASSERT_EQ(2U, zone_.target("t").running());
    join();
    zone_.advance(3s);
    zone_.answer(1, 1);
    zone_.advance(200ms);
    EXPECT_EQ(2U, zone_.target("t").running());
    EXPECT_EQ(1, zone_.outcomes(1, 1, packet_kind::answer));
}

// An inspector gets "outcome unknown" after a planned change although the target answered. The
// target answers the instance that sent it the request, which has handed the target over.
TEST_F(ownership_failures, answer_to_the_former_owner_ends_the_request) {
    zone_.request(1, 7, first_);
    join();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(second_));
    zone_.answer(1, 7);
    zone_.advance(12s);
    EXPECT_EQ(1, zone_.outcomes(1, 7, packet_kind::answer));
    EXPECT_EQ(0, zone_.outcomes(1, 7, packet_kind::unknown));
}

// Streams break because the receiver of a hand-over is killed before it has all parts: the sender
// has erased the records, and its repetitions go to nobody.
TEST_F(ownership_failures, receiver_dies_during_the_hand_over) {
    join();
    zone_.lose([](const auto& sent) { return sent.content.__isset.handed_over; });
    zone_.advance(2'300ms);
    zone_.kill(second_);
    zone_.lose({});
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(first_));
    EXPECT_EQ(1U, zone_.core(first_).state().flows.size());
    zone_.request(1, 7, first_);
    EXPECT_EQ(0, zone_.most_runs()) << "the receiver could have run it";
}

// As before, but the receiver is restarted under its name within a second: it acknowledged a part
// in its earlier life, has forgotten it, and the hand-over would never end.
TEST_F(ownership_failures, receiver_restarts_during_the_hand_over) {
    for (std::int64_t flow = 2; flow <= 400; ++flow) {
        zone_.open(flow, first_);
    }
    join();
    zone_.lose([](const auto& sent) {
        return sent.content.__isset.handed_over && sent.content.handed_over.part == 1;
    });
    zone_.advance(2'300ms);
    zone_.lose({});
    zone_.kill(second_);
    zone_.advance(500ms);
    join();
    zone_.advance(6s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
    EXPECT_EQ(400U, zone_.core(second_).state().flows.size());
}

// The owner is paused while it hands over and its successor has only some of the records. It wakes
// up, and the rest of the parts and the acknowledgements cross.
TEST_F(ownership_failures, owner_paused_during_the_hand_over) {
    join();
    zone_.lose([](const auto& sent) { return sent.content.__isset.handed_over; });
    zone_.advance(2'200ms);
    zone_.lose({});
    zone_.pause(first_);
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
    zone_.resume(first_);
    zone_.deliver_all();
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
}

// A lodgement is billed twice. One instance can hear the other but isn't heard by it: it is
// declared dead and succeeded while it goes on dispatching.
TEST_F(ownership_failures, owner_that_is_not_heard_stops_before_its_successor_starts) {
    join();
    zone_.advance(3s);
    zone_.lose([&](const auto& sent) { return sent.sender == second_; });
    for (int step = 0; step < 80; ++step) {
        zone_.advance(100ms);
        EXPECT_THAT(zone_.owners("t"), SizeIs(::testing::Le(1U)));
    }
    EXPECT_THAT(zone_.owners("t"), ElementsAre(first_));
    zone_.lose({});
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
}

// Both instances claim one target after a cut in both directions. When it is mended, one of them
// yields and the other learns the flows that only the first had opened.
TEST_F(ownership_failures, double_claim_is_settled_and_records_are_merged) {
    join();
    zone_.advance(3s);
    zone_.lose([](const auto&) { return true; });
    zone_.advance(4s);
    zone_.open(2, first_);
    zone_.open(3, second_);
    zone_.lose({});
    zone_.advance(4s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(second_));
    EXPECT_EQ(3U, zone_.core(second_).state().flows.size());
    EXPECT_EQ(3, zone_.core(second_).state().loads.at("t").connections);
}

// A heartbeat from before a hand-over overtakes nothing: it arrives late and must not bring the old
// claim back.
TEST_F(ownership_failures, reordered_heartbeat_is_ignored) {
    std::vector<zone_of_cores::delivery> late;
    join();
    zone_.lose([&](const auto& sent) {
        const bool is_old =
            sent.sender == first_ && sent.content.__isset.beat && !sent.content.beat.owned.empty();
        if (is_old) {
            late.push_back(sent);
        }
        return false;
    });
    zone_.advance(3s);
    ASSERT_FALSE(late.empty());
    auto core = zone_.core(second_).state().peers;
    EXPECT_FALSE(core.note_heartbeat_from(late.front().content, zone_.now()));
    EXPECT_EQ(nullptr, core.claim_of("t", zone_.now()).by);
}

// An instance restarts on a host whose clock was set back. Its incarnation is lower than that of
// its earlier life, peers ignore it for ever, and its targets stay without an owner.
TEST_F(ownership_failures, restart_with_a_clock_that_was_set_back) {
    join();
    zone_.advance(3s);
    zone_.kill(second_);
    zone_.advance(3s);
    zone_.data(1, first_);
    zone_.start(second_, -60'000);
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
    EXPECT_EQ(1U, zone_.core(second_).state().flows.size());
}

// A target is lost to a move whose sender has a slower clock than the one that moved it before:
// the receiver takes the transfer for an old one, yet acknowledges it.
TEST_F(ownership_failures, hand_overs_from_instances_with_different_clocks) {
    zone_.start(second_);
    zone_.advance(3s);
    zone_.retire(second_, true);
    zone_.advance(1s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(first_));
    zone_.kill(first_);
    zone_.start(first_, -3'600'000);
    zone_.advance(4s);
    zone_.open(2, first_);
    zone_.retire(second_, false);
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(second_));
}

// Operators remove a target whose boards are still open, and each of its crews loses the board. The
// owner has to stay, with its records, for the flows that the target has; new flows go elsewhere.
TEST_F(ownership_failures, removed_target_keeps_its_owner_and_its_flows) {
    zone_of_cores zone{{"t", "u"}};
    zone.start("a");
    zone.advance(3s);
    for (std::int64_t flow = 1; flow <= 20; ++flow) {
        zone.open(flow, "a");
    }
    const auto flows = zone.target("t").flows();
    ASSERT_GT(flows, 0);
    zone.remove_target("t");
    zone.advance(200ms);
    EXPECT_THAT(zone.owners("t"), ElementsAre("a"));
    EXPECT_THAT(zone.owners("u"), ElementsAre("a"));
    EXPECT_EQ(zone.core("a").state().flows.size(), 20);
    for (std::int64_t flow = 21; flow <= 40; ++flow) {
        zone.open(flow, "a");
    }
    EXPECT_EQ(zone.target("t").flows(), flows);
    EXPECT_EQ(zone.target("u").flows(), 40 - flows);
}

// A lodgement is billed twice. Its owner dies, the successor hands the target over in a planned
// change seconds later, and the receiver trusts the flows, though the dead owner's work still runs.
TEST_F(ownership_failures, takeover_fence_moves_along_with_the_target) {
    zone_.kill(first_);
    zone_.start(first_);
    zone_.advance(3s);
    const auto fence = zone_.core(first_).state().ownership.find("t")->fence_until;
    join();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(second_));
    const auto* owned = zone_.core(second_).state().ownership.find("t");
    EXPECT_EQ(fence, owned->fence_until);
}

// Operators restart all instances of a zone, one after the other, while crews watch their boards.
// Each leaves in a planned way and comes back fresh; a flow that any of them forgot would break.
TEST(rolling_restart, loses_no_flow_and_no_request) {
    const std::vector<std::string> names{"a", "b", "c"};
    zone_of_cores zone{{"t", "u"}};
    for (const auto& name : names) {
        zone.start(name);
    }
    zone.advance(13s);
    for (std::int64_t flow = 1; flow <= 30; ++flow) {
        zone.open(flow, names[static_cast<std::size_t>(flow) % 3]);
        zone.deliver_all();
    }
    const auto opened = zone.target("t").flows() + zone.target("u").flows();
    ASSERT_EQ(30U, opened);
    std::int64_t number = 0;
    for (const auto& name : names) {
        ++number;
        zone.request(number, number, name);
        zone.deliver_all();
        zone.leave(name);
        zone.advance(500ms);
        zone.answer(number, number);
        zone.deliver_all();
        EXPECT_EQ(1, zone.outcomes(number, number, packet_kind::answer));
        zone.advance(12s);
        ASSERT_TRUE(zone.is_dead(name));
        zone.start(name);
        zone.advance(4s);
        std::size_t known = 0;
        for (const std::string target : {"t", "u"}) {
            ASSERT_THAT(zone.owners(target), SizeIs(1));
            const auto& owner = zone.core(zone.owners(target).front());
            known += owner.state().flows.records_on(target).size();
        }
        EXPECT_EQ(30U, known);
    }
    EXPECT_EQ(1, zone.most_runs());
}

// A rolling restart hangs because one instance has nobody to hand its targets to. It stops after
// leave_timeout all the same.
TEST(rolling_restart, leave_without_a_receiver_ends) {
    zone_of_cores zone{{"t"}};
    zone.start("a");
    zone.advance(3s);
    zone.leave("a");
    zone.advance(29s);
    EXPECT_FALSE(zone.is_dead("a"));
    zone.advance(2s);
    EXPECT_TRUE(zone.is_dead("a"));
}

}  // namespace
}  // namespace bramleytrack
