// Routes that are restricted to regions: flows never leave these, even when only targets elsewhere
// have capacity.
#include <gtest/gtest.h>

#include "fleet/peer_digests.h"
#include "observability/log.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

class steering_regions : public ::testing::Test {
protected:
    discovery::directory directory_;
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    steering::cold_gate cold_gate_{"self"};
    observability::rate_limited_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{
        {.zone = "north", .regions = {{"north", "island"}, {"far", "mainland"}}},
        directory_,
        cold_gate_,
        digests_,
        log_,
        metrics_};
    std::int64_t revision_ = 0;

    void add_route(std::vector<std::string> regions) {
        discovery::catalogue catalogue;
        catalogue.version = 1;
        discovery::route route;
        route.name = "a";
        route.address = {.address = 1, .port = 80};
        route.splits = {{.service = "board", .weight = 1}};
        route.allowed_regions = std::move(regions);
        catalogue.routes = {route};
        catalogue.services = {{.name = "board"}};
        directory_.apply(catalogue, ++revision_, false, start);
    }
    void add_target(const std::string& id, const std::string& zone) {
        discovery::target_entry entry;
        entry.id = id;
        entry.service = "board";
        entry.zone = zone;
        directory_.apply(entry, ++revision_, false, start);
    }
    // The id of the target that a new flow is forwarded to; empty when it isn't forwarded.
    std::string target_of_opening() {
        steering::segment opening;
        opening.flow = {.caller = {.address = 2, .port = 9}, .route = {.address = 1, .port = 80}};
        opening.is_opening = true;
        const auto decision =
            steering_.on_segment(opening, {.is_complete = true, .confirmed = start}, start);
        const auto* forwarded = std::get_if<steering::forward>(&decision);
        return forwarded == nullptr ? "" : forwarded->to->entry.id;
    }
};

TEST_F(steering_regions, a_route_without_regions_uses_targets_in_any_region) {
    add_route({});
    add_target("i-1", "far");
    EXPECT_EQ(target_of_opening(), "i-1");
}

TEST_F(steering_regions, a_route_restricted_to_a_region_uses_no_other) {
    // The region's only target is gone. By law, requests must not be sent to another region.
    add_route({"island"});
    add_target("i-1", "far");
    EXPECT_EQ(target_of_opening(), "");
    add_target("i-2", "north");
    EXPECT_EQ(target_of_opening(), "i-2");
}

TEST_F(steering_regions, a_restricted_route_uses_no_zone_of_unknown_region) {
    add_route({"island"});
    add_target("i-1", "nowhere");
    EXPECT_EQ(target_of_opening(), "");
}

}  // namespace
}  // namespace bramleytrack
