// Failures that could make two instances own one target, or make a hand-over lose records.
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

// One instance, initial_owner_, is started and owns target t, with one open flow on it. Tests start
// the other one, hash_winner_, themselves.
class ownership_failures : public ::testing::Test {
protected:
    ownership_failures() {
        zone_.start(initial_owner_);
        zone_.advance(13s);  // the fence of the first takeover is over
        zone_.open(1, initial_owner_);
    }

    // Starts the instance that wins the rendezvous hashing, so that the target is handed over to it
    // unless the test prevents that.
    void start_hash_winner() { zone_.start(hash_winner_); }

    zone_of_cores zone_{{"t"}};
    std::string hash_winner_ = zone_of_cores::winner({"a", "b"}, "t");
    std::string initial_owner_ = hash_winner_ == "a" ? "b" : "a";
};

// An owner is paused and another instance takes the target over. After it resumes, the paused one
// receives a request before its first tick. It is no longer the owner and must not dispatch it.
TEST_F(ownership_failures, resumed_owner_handles_a_datagram_before_its_tick) {
    start_hash_winner();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    zone_.pause(hash_winner_);
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
    zone_.resume(hash_winner_);
    zone_.request(1, 7, hash_winner_);
    EXPECT_EQ(0, zone_.max_runs());
    EXPECT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
}

// The same instance is paused twice, the second time while it waits for the claims of its peers.
TEST_F(ownership_failures, owner_paused_twice) {
    start_hash_winner();
    zone_.advance(3s);
    for (int round = 0; round < 2; ++round) {
        zone_.pause(hash_winner_);
        zone_.advance(2'500ms);
        zone_.resume(hash_winner_);
        zone_.request(1, 7, hash_winner_);
        zone_.advance(1s);
        EXPECT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
    }
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    EXPECT_LE(zone_.max_runs(), 1);
}

// After a planned hand-over all heartbeats in which the new owner claims the target are lost, while
// the former owner no longer claims it. Packets that reach the former owner must not be dropped.
TEST_F(ownership_failures, packets_reach_the_new_owner_before_its_first_claim) {
    start_hash_winner();
    zone_.set_loss_filter([&](const auto& sent) {
        return sent.sender == hash_winner_ && sent.content.__isset.beat &&
               !sent.content.beat.owned.empty();
    });
    zone_.advance(2'600ms);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    zone_.request(1, 7, initial_owner_);
    zone_.deliver_all();
    EXPECT_EQ(1, zone_.max_runs());
}

// A request that waits for a slot while its target is handed over must be run by the new owner.
TEST_F(ownership_failures, waiting_request_is_dispatched_by_the_new_owner) {
    for (std::int64_t number = 1; number <= 3; ++number) {
        zone_.request(1, number, initial_owner_);
    }
    ASSERT_EQ(2U, zone_.target("t").running());
    start_hash_winner();
    zone_.advance(3s);
    zone_.answer(1, 1);
    zone_.advance(200ms);
    EXPECT_EQ(2U, zone_.target("t").running());
    EXPECT_EQ(1, zone_.outcomes(1, 1, packet_kind::answer));
}

// The target answers the instance that dispatched the request, which has handed the target over
// since. The caller must get the answer rather than "outcome unknown".
TEST_F(ownership_failures, answer_to_the_former_owner_ends_the_request) {
    zone_.request(1, 7, initial_owner_);
    start_hash_winner();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    zone_.answer(1, 7);
    zone_.advance(12s);
    EXPECT_EQ(1, zone_.outcomes(1, 7, packet_kind::answer));
    EXPECT_EQ(0, zone_.outcomes(1, 7, packet_kind::unknown));
}

// The receiver of a hand-over is killed before it has received all parts. If the sender had erased
// the records, its flows would break, and its retransmissions would reach no instance.
TEST_F(ownership_failures, receiver_fails_during_the_hand_over) {
    start_hash_winner();
    zone_.set_loss_filter([](const auto& sent) { return sent.content.__isset.handed_over; });
    zone_.advance(2'300ms);
    zone_.kill(hash_winner_);
    zone_.set_loss_filter({});
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
    EXPECT_EQ(1U, zone_.core(initial_owner_).state().flows.size());
    zone_.request(1, 7, initial_owner_);
    EXPECT_EQ(0, zone_.max_runs()) << "the receiver could have run it";
}

// As above, but the receiver is restarted under its name within a second. It acknowledged a part in
// its earlier incarnation and has lost it, so the hand-over would never complete.
TEST_F(ownership_failures, receiver_restarts_during_the_hand_over) {
    for (std::int64_t flow = 2; flow <= 400; ++flow) {
        zone_.open(flow, initial_owner_);
    }
    start_hash_winner();
    zone_.set_loss_filter([](const auto& sent) {
        return sent.content.__isset.handed_over && sent.content.handed_over.part == 1;
    });
    zone_.advance(2'300ms);
    zone_.set_loss_filter({});
    zone_.kill(hash_winner_);
    zone_.advance(500ms);
    start_hash_winner();
    zone_.advance(6s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    EXPECT_EQ(400U, zone_.core(hash_winner_).state().flows.size());
}

// The owner is paused during a hand-over, before the successor has received any part, and the
// successor takes the target over. After the former owner resumes, it drops the transfer at its
// first event, and the successor must stay the only owner.
TEST_F(ownership_failures, owner_paused_during_the_hand_over) {
    start_hash_winner();
    zone_.set_loss_filter([](const auto& sent) { return sent.content.__isset.handed_over; });
    zone_.advance(2'200ms);
    zone_.set_loss_filter({});
    zone_.pause(initial_owner_);
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    zone_.resume(initial_owner_);
    zone_.deliver_all();
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
}

// One instance receives the messages of the other, but its own are lost. It is declared dead and a
// successor takes over; if it kept dispatching, requests would run twice.
TEST_F(ownership_failures, owner_whose_messages_are_lost_stops_before_its_successor_starts) {
    start_hash_winner();
    zone_.advance(3s);
    zone_.set_loss_filter([&](const auto& sent) { return sent.sender == hash_winner_; });
    for (int step = 0; step < 80; ++step) {
        zone_.advance(100ms);
        EXPECT_THAT(zone_.owners("t"), SizeIs(::testing::Le(1U)));
    }
    EXPECT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
    zone_.set_loss_filter({});
    zone_.advance(3s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
}

// Both instances claim one target after a network partition. When it ends, one of them gives the
// target up and the other receives the records of the flows that only the first had opened.
TEST_F(ownership_failures, conflicting_claims_are_resolved_and_records_are_merged) {
    start_hash_winner();
    zone_.advance(3s);
    zone_.set_loss_filter([](const auto&) { return true; });
    zone_.advance(4s);
    zone_.open(2, initial_owner_);
    zone_.open(3, hash_winner_);
    zone_.set_loss_filter({});
    zone_.advance(4s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    EXPECT_EQ(3U, zone_.core(hash_winner_).state().flows.size());
    EXPECT_EQ(3, zone_.core(hash_winner_).state().loads.at("t").connections);
}

// A heartbeat from before a hand-over arrives late and must not restore the old claim.
TEST_F(ownership_failures, reordered_heartbeat_is_ignored) {
    std::vector<zone_of_cores::delivery> late;
    start_hash_winner();
    zone_.set_loss_filter([&](const auto& sent) {
        const bool is_old_claim = sent.sender == initial_owner_ && sent.content.__isset.beat &&
                                  !sent.content.beat.owned.empty();
        if (is_old_claim) {
            late.push_back(sent);
        }
        return false;
    });
    zone_.advance(3s);
    ASSERT_FALSE(late.empty());
    auto peers = zone_.core(hash_winner_).state().peers;
    EXPECT_FALSE(peers.accept_message(late.front().content, zone_.now()));
    EXPECT_EQ(nullptr, peers.claim_of("t", zone_.now()).claimant);
}

// An instance restarts on a host whose clock was set back, so its incarnation is lower than before.
// If peers ignored it forever, its targets would have no owner.
TEST_F(ownership_failures, restart_with_a_clock_that_was_set_back) {
    start_hash_winner();
    zone_.advance(3s);
    zone_.kill(hash_winner_);
    zone_.advance(3s);
    zone_.data(1, initial_owner_);
    zone_.start(hash_winner_, -60'000);
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    EXPECT_EQ(1U, zone_.core(hash_winner_).state().flows.size());
}

// Epochs must not depend on clocks. An owner restarts with its clock an hour behind and then hands
// the target over. The receiver must accept it: if it took the transfer for an outdated one but
// acknowledged it, the target would be lost.
TEST_F(ownership_failures, hand_overs_from_instances_with_different_clocks) {
    zone_.start(hash_winner_);
    zone_.advance(3s);
    zone_.retire(hash_winner_, true);  // hands the target over to initial_owner_
    zone_.advance(1s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(initial_owner_));
    zone_.kill(initial_owner_);
    zone_.start(initial_owner_, -3'600'000);
    zone_.advance(4s);
    zone_.open(2, initial_owner_);
    zone_.retire(hash_winner_, false);  // is eligible again and requests the target
    zone_.advance(4s);
    EXPECT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
}

// Operators remove a target that still has open flows. Its owner must remain and keep their
// records, or all of these flows break; new flows are placed on other targets.
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

// An owner fails, and seconds later its successor hands the target over as planned. If the receiver
// treated the flows as completely known while requests of the failed owner still run, a request
// could run twice.
TEST_F(ownership_failures, takeover_fence_is_handed_over_with_the_target) {
    zone_.kill(initial_owner_);
    zone_.start(initial_owner_);
    zone_.advance(3s);
    const auto fence = zone_.core(initial_owner_).state().ownership.find("t")->fence_until;
    start_hash_winner();
    zone_.advance(3s);
    ASSERT_THAT(zone_.owners("t"), ElementsAre(hash_winner_));
    const auto* owned = zone_.core(hash_winner_).state().ownership.find("t");
    EXPECT_EQ(fence, owned->fence_until);
}

// All instances of a zone are restarted one after the other while flows are open. Each leaves as
// planned and restarts without state; a flow whose record was lost would break.
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
        std::size_t recorded = 0;
        for (const std::string target : {"t", "u"}) {
            ASSERT_THAT(zone.owners(target), SizeIs(1));
            const auto& owner = zone.core(zone.owners(target).front());
            recorded += owner.state().flows.records_on(target).size();
        }
        EXPECT_EQ(30U, recorded);
    }
    EXPECT_EQ(1, zone.max_runs());
}

// A leaving instance without a peer to hand its targets to stops after leave_timeout, so that a
// rolling restart doesn't hang.
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
