// Fleet: a planned stop cuts nothing off.
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

TEST(stop_plan, ends_when_no_packet_comes_any_more) {
    stop_plan plan;
    EXPECT_FALSE(plan.may_end(start, start, 2, grace));
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(1'400), start, 2, grace));
    EXPECT_TRUE(plan.may_end(at(1'500), start, 2, grace));
    EXPECT_FALSE(plan.may_end(at(1'500), at(1'000), 2, grace));
}

TEST(stop_plan, ends_before_the_grace_is_over_though_packets_come) {
    stop_plan plan;
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(5'200), at(5'200), 2, grace));
    EXPECT_TRUE(plan.may_end(at(5'300), at(5'300), 2, grace));
}

TEST(stop_plan, stays_while_most_of_its_zone_leaves) {
    // Two of three instances of a zone are removed a second apart. The first has been quiet and
    // ends; with one of three in rotation the routers use all three again, and its packets are lost
    // for seconds.
    stop_plan plan;
    plan.begin(start, 2);
    EXPECT_FALSE(plan.may_end(at(1'800), start, 1, grace));
    EXPECT_TRUE(plan.may_end(at(5'300), start, 1, grace));
}

TEST(stop_plan, the_last_of_a_zone_stays) {
    stop_plan plan;
    plan.begin(start, 0);
    EXPECT_FALSE(plan.may_end(at(3'000), start, 0, grace));
}

// Three of three instances of a zone are restarted a second apart. The first is back and
// registered, and the other two end at once, before the routers have probed it: they send packets
// to processes that have ended.
TEST(stop_plan, one_that_has_just_come_back_is_not_in_rotation_yet) {
    discovery::directory known;
    const auto add = [&known](const char* name, const char* zone, clock::time_point now) {
        known.apply(
            discovery::peer_entry{.name = name, .zone = zone, .address = "", .pull_address = ""}, 1,
            false, now);
    };
    add("self", "north", start);
    add("near", "north", start);
    add("far", "south", start);
    EXPECT_EQ(fleet::others_in_rotation(known, "self", "north", at(900)), 0U);
    EXPECT_EQ(fleet::others_in_rotation(known, "self", "north", at(1'000)), 1U);
    add("near", "north", at(5'000));  // it has started again and registers
    EXPECT_EQ(fleet::others_in_rotation(known, "self", "north", at(5'500)), 0U);
}

}  // namespace
}  // namespace bramleytrack
