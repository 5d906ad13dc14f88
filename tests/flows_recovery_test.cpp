// Flows: an established flow is found again after instances have died, and is never held by two
// targets.
#include <gtest/gtest.h>

#include "support/flow_fleet.h"

namespace bramleytrack {
namespace {

using testing::flow_fleet;
using wire::packet_kind;

constexpr int flows = 40;

TEST(flows_recovery, every_flow_survives_the_kill_of_any_instance) {
    // The home of a flow dies, and with it the only record that the flow was placed on its second
    // candidate. A new home that sends the packet to the first candidate gets a reset, which would
    // end the flow.
    for (const std::string victim : {"a-1", "a-2", "a-3"}) {
        flow_fleet fleet;
        fleet.open(1, flows);
        fleet.change_instance("kill", victim);
        fleet.run("advance 4000");
        fleet.clear_transcript();
        fleet.send("data", 1, flows);
        fleet.run("advance 2000");
        EXPECT_EQ(fleet.count_broken(1, flows), 0) << victim;
        EXPECT_EQ(fleet.take_delivered_count("data"), flows) << victim;
    }
}

TEST(flows_recovery, every_flow_survives_the_loss_of_two_instances_in_one_second) {
    // Two of three instances die together. For many flows the owners of several candidates are gone
    // at once, so records rule out nothing and the targets have to be probed.
    flow_fleet fleet;
    fleet.open(1, flows);
    fleet.change_instance("kill", "a-1");
    fleet.run("advance 500");
    fleet.change_instance("kill", "a-3");
    fleet.run("advance 4000");
    fleet.clear_transcript();
    fleet.send("data", 1, flows);
    fleet.run("advance 2000");
    EXPECT_EQ(fleet.count_broken(1, flows), 0);
    EXPECT_EQ(fleet.take_delivered_count("data"), flows);
}

TEST(flows_recovery, every_flow_survives_kill_and_restart_under_the_same_address_twice) {
    // An instance crashes repeatedly and is restarted each time. The new incarnation has no flow
    // records, but answers under the same name and address.
    flow_fleet fleet;
    fleet.open(1, flows);
    for (int round = 0; round < 2; ++round) {
        fleet.change_instance("kill", "a-3");
        fleet.run("advance 3000");
        fleet.change_instance("restart", "a-3");
        fleet.run("advance 4000");
        fleet.clear_transcript();
        fleet.send("data", 1, flows);
        fleet.run("advance 2000");
        EXPECT_EQ(fleet.count_broken(1, flows), 0) << round;
        EXPECT_EQ(fleet.take_delivered_count("data"), flows) << round;
    }
}

TEST(flows_recovery, every_flow_survives_a_pause_of_its_owner) {
    // An instance is paused for seconds and resumes: its records are stale and dropped, and packets
    // that were queued in its sockets arrive late.
    flow_fleet fleet;
    fleet.open(1, flows);
    fleet.change_instance("pause", "a-3");
    fleet.run("advance 5000");
    fleet.send("data", 1, flows);
    fleet.change_instance("resume", "a-3");
    fleet.run("advance 5000");
    fleet.clear_transcript();
    fleet.send("data", 1, flows);
    fleet.run("advance 2000");
    EXPECT_EQ(fleet.count_broken(1, flows), 0);
    EXPECT_EQ(fleet.take_delivered_count("data"), flows);
}

TEST(flows_recovery, a_late_copy_of_an_opening_packet_opens_no_second_flow) {
    // A caller retransmits its opening packet just when the home has died. A new home without a
    // record of the flow would place it on another target, and the caller's work would be done
    // twice.
    for (const std::string victim : {"a-1", "a-2", "a-3"}) {
        flow_fleet fleet;
        fleet.open(1, flows);
        fleet.change_instance("kill", victim);
        fleet.run("advance 3000");
        // In reverse order, because equal loads in the same order would lead to the same choices by
        // chance.
        for (int flow = flows; flow >= 1; --flow) {
            fleet.open(flow, flow);
        }
        fleet.run("advance 4000");
        EXPECT_EQ(fleet.count_broken(1, flows), 0) << victim;
    }
}

TEST(flows_recovery, copies_that_meet_two_configurations_open_one_flow) {
    // Instances with the old and the new weights compute different homes for a new flow. Copies of
    // its opening packet that reach both groups must not make each home place the flow.
    for (int offset = 0; offset < 3; ++offset) {
        flow_fleet fleet{1, 6, 8};
        fleet.run("target board-a-1 a board slots=100 connections=1000 weight=4");
        fleet.run("target board-a-2 a board slots=100 connections=1000 weight=0.2");
        fleet.run("apply to=a-1,a-2,a-3");
        for (int flow = 1; flow <= flows; ++flow) {
            const auto& all = fleet.instances();
            for (int copy = 0; copy < 3; ++copy) {
                const auto via = static_cast<std::size_t>(offset + 2 * copy) % all.size();
                fleet.run("open flow=" + std::to_string(flow) + " via=" + all[via]);
            }
        }
        fleet.run("advance 5000");
        EXPECT_EQ(fleet.count_broken(1, flows), 0) << offset;
    }
}

TEST(flows_recovery, a_flow_that_no_target_holds_is_reset) {
    // A caller sends on a flow that was closed long ago. Without a reset it would wait forever.
    flow_fleet fleet;
    fleet.run("data flow=7 via=a-1");
    // No reset yet: a newer configuration may name the target of the flow.
    EXPECT_EQ(fleet.count_sent_to_callers(packet_kind::reset), 0);
    fleet.run("advance 1500");
    EXPECT_EQ(fleet.count_sent_to_callers(packet_kind::reset), 1);
}

TEST(flows_recovery, late_resets_of_other_candidates_end_no_flow) {
    // A target that is probed twice about a flow sends two resets. The second must not reach the
    // caller, whose flow is on another target.
    flow_fleet fleet;
    fleet.open(1, flows);
    fleet.change_instance("kill", "a-3");
    fleet.run("advance 3000");
    fleet.send("data", 1, flows);
    fleet.send("data", 1, flows);
    fleet.run("advance 300");
    fleet.send("data", 1, flows);
    fleet.run("advance 3000");
    EXPECT_EQ(fleet.count_sent_to_callers(packet_kind::reset), 0);
}

TEST(flows_recovery, a_partition_between_zones_breaks_no_flow) {
    // Two zones are partitioned, first in one direction, and an instance dies meanwhile. Flows that
    // cannot be reached stay in doubt: none may be declared gone, and all work after the partition
    // ends.
    flow_fleet fleet{2, 2, 2};
    fleet.open(1, flows);
    for (const std::string option : {" one_way=1", ""}) {
        for (const std::string instance_a : {"a-1", "a-2"}) {
            for (const std::string instance_b : {"b-1", "b-2"}) {
                fleet.run("cut " + instance_a + " " + instance_b + option);
            }
        }
        fleet.run("advance 3000");
        fleet.send("data", 1, flows);
        fleet.run("advance 4000");
    }
    fleet.change_instance("kill", "b-1");
    fleet.run("advance 3000");
    fleet.send("data", 1, flows);
    fleet.run("advance 4000");
    for (const std::string instance_a : {"a-1", "a-2"}) {
        for (const std::string instance_b : {"b-1", "b-2"}) {
            fleet.run("mend " + instance_a + " " + instance_b);
        }
    }
    fleet.run("advance 3000");
    fleet.clear_transcript();
    fleet.send("data", 1, flows);
    fleet.run("advance 3000");
    EXPECT_EQ(fleet.count_broken(1, flows), 0);
    EXPECT_EQ(fleet.take_delivered_count("data"), flows);
}

}  // namespace
}  // namespace bramleytrack
