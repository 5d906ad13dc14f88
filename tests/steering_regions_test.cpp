// Steering: a route that must stay in a region does, whatever else has room.
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
    discovery::directory known_;
    fleet::peer_digests digests_{known_, "self", "north", 1};
    steering::cold_gate cold_{"self"};
    observability::rate_limited_log log_;
    observability::steering_metrics metrics_;
    steering::steering subject_{
        {.zone = "north", .regions = {{"north", "island"}, {"far", "mainland"}}},
        known_,
        cold_,
        digests_,
        log_,
        metrics_};
    std::int64_t revision_ = 0;

    void add_route(std::vector<std::string> regions) {
        discovery::catalogue text;
        text.version = 1;
        discovery::route route;
        route.name = "a";
        route.address = {.address = 1, .port = 80};
        route.splits = {{.service = "board", .weight = 1}};
        route.allowed_regions = std::move(regions);
        text.routes = {route};
        text.services = {{.name = "board"}};
        known_.apply(text, ++revision_, false, start);
    }
    void add_target(const std::string& id, const std::string& zone) {
        discovery::target_entry entry;
        entry.id = id;
        entry.service = "board";
        entry.zone = zone;
        known_.apply(entry, ++revision_, false, start);
    }
    // The target of a new flow; empty when it isn't forwarded.
    std::string target_of_opening() {
        steering::segment opening;
        opening.flow = {.caller = {.address = 2, .port = 9}, .route = {.address = 1, .port = 80}};
        opening.is_opening = true;
        const auto made =
            subject_.on_segment(opening, {.is_complete = true, .confirmed = start}, start);
        const auto* forwarded = std::get_if<steering::forward>(&made);
        return forwarded == nullptr ? "" : forwarded->to->entry.id;
    }
};

TEST_F(steering_regions, a_route_without_regions_goes_anywhere) {
    add_route({});
    add_target("i-1", "far");
    EXPECT_EQ(target_of_opening(), "i-1");
}

TEST_F(steering_regions, a_route_that_must_stay_goes_nowhere_else) {
    // The region's only target is gone; work sent to another region would break the law there.
    add_route({"island"});
    add_target("i-1", "far");
    EXPECT_EQ(target_of_opening(), "");
    add_target("i-2", "north");
    EXPECT_EQ(target_of_opening(), "i-2");
}

TEST_F(steering_regions, a_zone_of_an_unknown_region_is_no_place_for_it) {
    add_route({"island"});
    add_target("i-1", "nowhere");
    EXPECT_EQ(target_of_opening(), "");
}

}  // namespace
}  // namespace bramleytrack
