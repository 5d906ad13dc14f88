// Flows: configuration changes by operators break no established flow, except those of a zone that
// is taken out.
#include <gtest/gtest.h>

#include "support/flow_fleet.h"

namespace bramleytrack {
namespace {

using testing::flow_fleet;

constexpr int flows = 60;

struct planned_change {
    std::string name;
    std::vector<std::string> script;
};

class planned_changes : public ::testing::TestWithParam<planned_change> {};

// Guards against losing flows when an operator changes the configuration: the change moves homes,
// at different times on different instances, and the new home has no location of the flow.
TEST_P(planned_changes, breaks_no_established_flow) {
    flow_fleet fleet{2, 3, 4};
    fleet.open(1, flows);
    for (const auto& line : GetParam().script) {
        fleet.run(line);
        fleet.send("data", 1, flows);
        fleet.run("advance 700");
    }
    fleet.run("advance 15000");
    fleet.clear_transcript();
    fleet.send("data", 1, flows);
    fleet.run("advance 3000");
    EXPECT_EQ(fleet.count_broken(1, flows), 0);
    EXPECT_EQ(fleet.take_delivered_count("data"), flows);
}

const std::string new_target = "target board-a-9 a board slots=100 connections=1000";
const std::string lighter = "target board-a-1 a board slots=100 connections=1000 weight=0.2";
const std::string heavier = "target board-a-2 a board slots=100 connections=1000 weight=5";

std::vector<planned_change> all_changes() {
    return {
        {"drain_and_undrain",
         {"set target board-a-1 draining", "apply", "set target board-a-1 active", "apply"}},
        {"target_added", {new_target, "apply"}},
        {"target_added_unevenly", {new_target, "apply to=a-1", "apply to=b-2", "apply"}},
        {"weights_changed", {lighter, heavier, "apply"}},
        {"target_removed", {"remove board-a-1", "apply"}},
        {"target_removed_unevenly", {"remove board-b-1", "apply to=a-1", "advance 1500"}},
        {"target_drained_and_removed",
         {"set target board-a-1 draining", "apply", "remove board-a-1", "apply", new_target,
          "apply", lighter, "apply", heavier, "apply", "set target board-a-3 draining", "apply"}},
        {"instance_retired", {"set instance a-1 retired", "apply", "advance 3000"}},
        {"instance_leaves", {"leave a-3", "advance 3000"}},
        {"three_changes_at_once",
         {new_target, lighter, "set instance b-1 retired", "apply to=b-1", "apply"}},
        {"many_changes",
         {lighter, "apply", new_target, "apply", "set target board-b-1 draining", "apply", heavier,
          "apply", "target board-b-9 b board slots=100 connections=1000", "apply",
          "target board-b-8 b board slots=100 connections=1000", "apply",
          "target board-b-7 b board slots=100 connections=1000", "apply"}},
    };
}

INSTANTIATE_TEST_SUITE_P(all, planned_changes, ::testing::ValuesIn(all_changes()),
                         [](const auto& information) { return information.param.name; });

TEST(planned_changes_twice, a_removed_target_keeps_its_flows_when_its_owner_leaves_or_dies) {
    // The configuration no longer names a target that still holds flows, and then the instance that
    // owns it leaves or dies. Other instances take over only configured targets, so its flows would
    // be lost.
    for (const std::string verb : {"leave", "kill"}) {
        flow_fleet fleet{1, 3, 4};
        fleet.open(1, flows);
        fleet.run("remove board-a-1");
        fleet.run("apply");
        fleet.run("advance 1000");
        fleet.change_instance(verb, "a-3");
        fleet.run("advance 5000");
        fleet.clear_transcript();
        fleet.send("data", 1, flows);
        fleet.run("advance 3000");
        EXPECT_EQ(fleet.count_broken(1, flows), 0) << verb;
        EXPECT_EQ(fleet.take_delivered_count("data"), flows) << verb;
    }
}

}  // namespace
}  // namespace bramleytrack
