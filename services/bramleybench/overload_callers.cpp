#include "overload_callers.h"

#include <cmath>

#include "overload_fleet.h"

namespace bramleytrack::experiments {
namespace {

constexpr std::uint32_t first_caller_address = 1'000;

std::uint32_t member_of(int index, const overload_pattern& pattern, std::size_t caller_count) {
    const auto heavy = std::lround(pattern.heavy_share * static_cast<double>(caller_count));
    const bool is_light = pattern.members > 1 && index >= heavy;
    return is_light ? 1 + static_cast<std::uint32_t>(index % (pattern.members - 1)) : 0;
}

// Spreads the urgent callers evenly over the indices. A caller's zone and start time depend on
// its index as well, so for some shares a zone or a phase lacks one of the kinds.
bool is_urgent_caller(int index, const overload_pattern& pattern) {
    const auto count = [&pattern](int callers) {
        return std::floor(callers * pattern.urgent_share);
    };
    return count(index + 1) > count(index);
}

// Indices into the routes of a pattern that lists none.
enum : std::size_t { short_route, long_route, urgent_route };

// Zones in an order that gives each its part of any number of callers that follow one another.
std::vector<std::size_t> zone_cycle(const overload_pattern& pattern, std::size_t zones) {
    std::vector<std::size_t> result;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const auto count = pattern.callers_by_zone.empty() ? 1 : pattern.callers_by_zone[zone];
        result.insert(result.end(), count, zone);
    }
    return result;
}

long caller_count(const overload_pattern& pattern, double load, double work_ms) {
    // A caller's next request follows after the response and a pause.
    const double requests_per_second = load * pattern.targets * pattern.slots * 1000.0 / work_ms;
    return std::lround(requests_per_second * (mean_pause_ms + work_ms) / 1000.0);
}

std::vector<caller_model> make_callers_by_route(const overload_pattern& pattern,
                                                std::size_t zones) {
    double load = 0;
    for (const auto& each : pattern.routes) {
        load += each.load;
    }
    const auto cycle = zone_cycle(pattern, zones);
    std::vector<caller_model> result;
    for (std::size_t route = 0; route < pattern.routes.size(); ++route) {
        const auto& asked = pattern.routes[route];
        const auto count = caller_count(pattern, asked.load, asked.work_ms);
        const auto calm_count =
            std::lround(static_cast<double>(count) * pattern.burst.calm_load / load);
        for (long i = 0; i < count; ++i) {
            auto& caller = result.emplace_back();
            caller.route = route;
            caller.zone = cycle[static_cast<std::size_t>(i) % cycle.size()];
            caller.member = static_cast<std::uint32_t>(i % pattern.members);
            if (i >= calm_count) {
                caller.starts_after = pattern.burst.begin;
                caller.stops_after = pattern.burst.end;
            }
        }
    }
    return result;
}

}  // namespace

std::vector<overload_route> routes_of(const overload_pattern& pattern) {
    if (!pattern.routes.empty()) {
        return pattern.routes;
    }
    const overload_route feed{.name = "feed",
                              .work_ms = pattern.work_ms,
                              .objective = pattern.objective,
                              .has_flow_per_request = pattern.has_flow_per_request};
    auto archive = feed;
    archive.name = "archive";
    archive.work_ms = pattern.long_work_ms;
    archive.objective = pattern.long_objective;
    archive.is_work_fixed = true;
    auto sign_off = feed;
    sign_off.name = "sign-off";
    sign_off.priority = 1;
    return {feed, archive, sign_off};
}

std::vector<caller_model> make_callers(const overload_pattern& pattern, std::size_t zones) {
    if (!pattern.routes.empty()) {
        return make_callers_by_route(pattern, zones);
    }
    const double work_ms =
        pattern.work_ms + pattern.long_share * (pattern.long_work_ms - pattern.work_ms);
    const auto count = caller_count(pattern, pattern.load, work_ms);
    std::vector<caller_model> result(static_cast<std::size_t>(count));
    for (int i = 0; i < static_cast<int>(result.size()); ++i) {
        auto& caller = result[static_cast<std::size_t>(i)];
        caller.member = member_of(i, pattern, result.size());
        caller.has_long_requests = i < std::lround(pattern.long_share * static_cast<double>(count));
        caller.is_urgent = is_urgent_caller(i, pattern);
        caller.route = caller.has_long_requests ? long_route
                       : caller.is_urgent       ? urgent_route
                                                : short_route;
        caller.zone = static_cast<std::size_t>(i) % zones;
        const bool starts_in_overload =
            pattern.steady_load > 0 &&
            i >= std::lround(pattern.steady_load / pattern.load * static_cast<double>(count));
        caller.starts_after =
            starts_in_overload ? pattern.length / phase_divisor : clock::duration{0};
    }
    return result;
}

caller_groups groups_of_caller(const caller_model& caller) {
    return {.zone = caller.zone,
            .route = caller.route,
            .is_light = caller.member > 0,
            .has_long_requests = caller.has_long_requests,
            .is_urgent = caller.is_urgent};
}

// Ports of concurrent flows are unique up to 4,096 callers (65,536 ports, 16 for each caller).
void begin_flow(caller_model& caller, int index, bool identifies_callers) {
    caller.last_segment = {};
    caller.port_offset = (caller.port_offset + 1) % ports_per_caller;
    const auto port = static_cast<std::uint32_t>(index) * ports_per_caller + caller.port_offset;
    caller.last_segment.flow.caller = {
        .address = identifies_callers ? caller.member : first_caller_address + port,
        .port = static_cast<std::uint16_t>(port)};
    caller.last_segment.flow.route = {
        .address = 1,
        .port = static_cast<std::uint16_t>(overload_fleet::first_port + caller.route)};
    caller.last_segment.is_opening = true;
}

}  // namespace bramleytrack::experiments
