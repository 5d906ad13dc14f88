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

}  // namespace
}  // namespace bramleytrack
