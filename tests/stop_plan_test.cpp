// Fleet: an instance that is requested to stop loses no packets.
#include "fleet/stop_plan.h"

#include <gtest/gtest.h>

namespace bramleytrack {
namespace {

using fleet::stop_plan;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration grace{6'000};

clock::time_point at(std::int64_t milliseconds) {
    return start + clock::duration{milliseconds};
}

TEST(stop_plan, ends_when_packets_have_stopped_arriving) {
    stop_plan plan;
    EXPECT_FALSE(plan.may_end(start, start, 2, grace));
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(1'400), start, 2, grace));
    EXPECT_TRUE(plan.may_end(at(1'500), start, 2, grace));
    EXPECT_FALSE(plan.may_end(at(1'500), at(1'000), 2, grace));
}

TEST(stop_plan, ends_before_the_grace_period_is_over_though_packets_arrive) {
    stop_plan plan;
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(5'200), at(5'200), 2, grace));
    EXPECT_TRUE(plan.may_end(at(5'300), at(5'300), 2, grace));
}

TEST(stop_plan, keeps_forwarding_while_most_of_its_zone_leaves) {
    // Two of three instances of a zone are removed a second apart. If the first, which is idle,
    // ended then, the routers would use all three again, since only one is in rotation, and its
    // packets would be lost for seconds.
    stop_plan plan;
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(1'800), start, 1, grace));
    EXPECT_TRUE(plan.may_end(at(5'300), start, 1, grace));
}

TEST(stop_plan, the_last_instance_of_a_zone_keeps_forwarding) {
    stop_plan plan;
    plan.begin(start, 0);
    EXPECT_FALSE(plan.may_end(at(3'000), start, 0, grace));
}

// All three instances of a zone are restarted a second apart. If the other two ended as soon as the
// first has registered again, before the routers have probed it, the routers would send packets to
// processes that have ended.
TEST(stop_plan, an_instance_that_has_just_restarted_is_not_in_rotation_yet) {
    discovery::directory directory;
    const auto add = [&directory](const char* name, const char* zone, clock::time_point now) {
        directory.apply(
            discovery::peer_entry{.name = name, .zone = zone, .address = "", .pull_address = ""}, 1,
            false, now);
    };
    add("self", "north", start);
    add("near", "north", start);
    add("far", "south", start);
    EXPECT_EQ(fleet::peers_in_rotation(directory, "self", "north", at(900)), 0U);
    EXPECT_EQ(fleet::peers_in_rotation(directory, "self", "north", at(1'000)), 1U);
    add("near", "north", at(5'000));  // it has restarted and registers again
    EXPECT_EQ(fleet::peers_in_rotation(directory, "self", "north", at(5'500)), 0U);
}

}  // namespace
}  // namespace bramleytrack
