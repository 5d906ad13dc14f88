// Tests the Prometheus text that an instance exposes.
#include "observability/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

#include "observability/steering_metrics.h"

namespace bramleytrack {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

context empty_state() {
    return context{{.name = "a",
                    .zone = "north",
                    .peer_address = "127.0.0.1:1",
                    .incarnation = 1,
                    .started = to_time_point(0)}};
}

request_ended answered(const std::string& member) {
    return {.service = "board",
            .member = member,
            .outcome = wire::packet_kind::answer,
            .elapsed = clock::duration{30}};
}

TEST(metrics, records_latency_per_member_and_per_service) {
    observability::metrics metrics;
    metrics.observe(answered("kauri"));
    metrics.observe(answered("kauri"));
    const auto text = metrics.render(empty_state());
    EXPECT_THAT(text, HasSubstr("bramleytrack_member_request_seconds_count{member=\"kauri\","
                                "outcome=\"answer\"} 2"));
    EXPECT_THAT(text, HasSubstr("bramleytrack_service_request_seconds_bucket{outcome=\"answer\","
                                "service=\"board\",le=\"0.05\"} 2"));
}

TEST(metrics, members_beyond_the_maximum_share_one_series) {
    // A caller sends each request under a new member name. Without a bound, memory grows with every
    // name until the instance is killed for lack of memory and its flows are lost.
    observability::metrics metrics;
    for (std::size_t i = 0; i < observability::max_members + 10; ++i) {
        metrics.observe(answered("member-" + std::to_string(i)));
    }
    const auto text = metrics.render(empty_state());
    EXPECT_THAT(text, HasSubstr("member=\"other\",outcome=\"answer\"} 10"));
    EXPECT_THAT(text, Not(HasSubstr("member-" + std::to_string(observability::max_members))));
}

TEST(steering_metrics, reports_capacity_and_demand_per_service) {
    // A service gets more requests than its targets have slots for. The metrics of a single
    // instance must show operators how full the targets are and how much of the load comes through
    // that instance.
    observability::steering_metrics metrics;
    const std::array services{observability::service_gauges{.service = "board",
                                                            .slots = 56,
                                                            .open_local = 20,
                                                            .open_remote = 92,
                                                            .demand_local = 300,
                                                            .demand_remote = 900}};
    const auto text = metrics.render({}, services);
    EXPECT_THAT(text, HasSubstr("bramleytrack_service_slots{service=\"board\"} 56"));
    EXPECT_THAT(
        text,
        HasSubstr("bramleytrack_service_open_requests{service=\"board\",through=\"others\"} 92"));
    EXPECT_THAT(text,
                HasSubstr("bramleytrack_service_wanted{service=\"board\",through=\"this\"} 300"));
}

}  // namespace
}  // namespace bramleytrack
