#include <algorithm>
#include <iterator>

#include "overload_experiment.h"

namespace bramleytrack::experiments {
namespace {

// Three zones of four instances, and callers of sixty members.
overload_pattern hard_load(std::string_view name, std::string_view description) {
    return {
        .name = name,
        .description = description,
        .targets = 24,
        .length = clock::duration{11'000},
        .members = 60,
        .instances_by_zone = {4, 4, 4},
        .burst = {.begin = clock::duration{4'000}, .end = clock::duration{9'000}, .calm_load = 0.5},
        .retry_pause = clock::duration{20}};
}

overload_pattern mixed_work() {
    auto result = hard_load("steer_mixed_work",
                            "long flows ask for three times what the targets bear, and a flow for "
                            "each short request for a fifteenth of it");
    result.routes = {{.name = "pull", .load = 3, .work_ms = 30, .objective = clock::duration{400}},
                     {.name = "download",
                      .load = 1.0 / 15,
                      .work_ms = 5,
                      .objective = clock::duration{1'200},
                      .has_flow_per_request = true}};
    return result;
}

overload_pattern urgent_by_flow() {
    auto result = hard_load("steer_urgent_by_flow",
                            "1.8 times what the targets bear, a fifth of it by a route that is "
                            "ranked first and opens a flow for each request");
    result.routes = {
        {.name = "feed", .load = 1.45, .work_ms = 47, .objective = clock::duration{500}},
        {.name = "order",
         .priority = 1,
         .load = 0.35,
         .work_ms = 61,
         .objective = clock::duration{600},
         .has_flow_per_request = true}};
    return result;
}

overload_pattern short_burst() {
    auto result = hard_load("steer_short_burst",
                            "half of what the targets bear, and 1.6 times that for 600 ms; a flow "
                            "for each request");
    result.length = clock::duration{7'000};
    result.burst.end = result.burst.begin + clock::duration{600};
    result.routes = {{.name = "pull",
                      .load = 1.6,
                      .work_ms = 30,
                      .objective = clock::duration{1'200},
                      .has_flow_per_request = true}};
    return result;
}

overload_pattern split() {
    auto result = hard_load("steer_split",
                            "seven tenths of what the targets bear, half of it by weights to a "
                            "fifth of them");
    result.targets = 40;
    result.targets_by_service = {32, 8};
    result.routes = {{.name = "pull",
                      .load = 0.7,
                      .work_ms = 30,
                      .objective = clock::duration{400},
                      .weights = {1, 1}},
                     {.name = "download",
                      .load = 0.04,
                      .work_ms = 5,
                      .objective = clock::duration{1'200},
                      .has_flow_per_request = true,
                      .weights = {0, 1}}};
    result.burst.calm_load = 0.2;
    return result;
}

overload_pattern uneven_zones() {
    auto result = hard_load("steer_uneven_zones",
                            "three quarters of what the targets bear, three of ten being slow, and "
                            "one zone has nine times the callers of each other");
    result.targets = 120;
    result.slow_share = 0.3;
    result.slow_factor = 8;
    result.instances_by_zone = {24, 24, 24, 24};
    result.callers_by_zone = {9, 1, 1, 1};
    // As many instances as in a large deployment: each hears of few in other zones. Seven tenths of
    // the targets and an eighth of the others can do 0.7375 of the work.
    result.routes = {
        {.name = "feed", .load = 0.55, .work_ms = 47, .objective = clock::duration{500}}};
    result.burst.calm_load = 0.15;
    return result;
}

std::vector<overload_pattern> hard_load_patterns() {
    return {mixed_work(), urgent_by_flow(), short_burst(), split(), uneven_zones()};
}

}  // namespace

std::vector<overload_pattern> all_overload_patterns() {
    std::vector<overload_pattern> result{
        {.name = "steer_usual", .description = "a third of what the targets bear", .load = 0.33},
        {.name = "steer_full", .description = "nine tenths of what the targets bear", .load = 0.9},
        {.name = "steer_2x", .description = "twice what the targets bear", .load = 2},
        {.name = "steer_5x", .description = "five times what the targets bear", .load = 5},
        {.name = "steer_slow",
         .description = "half of what they bear, and three targets of ten take five times as long",
         .load = 0.5,
         .slow_share = 0.3},
        {.name = "steer_long_work",
         .description = "work that takes longer than its objective, half of what the targets bear",
         .load = 0.5,
         .work_ms = 150},
        {.name = "steer_heavy_caller",
         .description =
             "three times what the targets bear, nine tenths of it from one of nine members",
         .load = 3,
         .members = 9,
         .heavy_share = 0.9},
        {.name = "steer_even_callers",
         .description = "three times what the targets bear, from nine members alike",
         .load = 3,
         .members = 9,
         .heavy_share = 1.0 / 9},
        {.name = "steer_dead",
         .description = "a third of what they bear, and four targets of fourteen fall silent",
         .load = 0.33,
         .dead_share = 0.29},
        {.name = "steer_dead_short_flows",
         .description = "the same, with a flow for each request",
         .load = 0.33,
         .dead_share = 0.29,
         .has_flow_per_request = true},
        {.name = "steer_long_among_short",
         .description =
             "one caller of twenty asks for half a second of work, nine tenths of what they bear",
         .load = 0.9,
         .long_share = 0.05},
        {.name = "steer_rush_uneven_zones",
         .description =
             "a third of what they bear, then three times that much at once; zones of three, "
             "two and one instances ask alike",
         .load = 3,
         .instances = 6,
         .slots = 4,
         .queue = 16,
         .work_ms = 55,
         .objective = clock::duration{250},
         .instances_by_zone = {3, 2, 1},
         .steady_load = 0.33},
        {.name = "steer_ranked",
         .description =
             "a third of what they bear, then three times all; a third of the callers ask by "
             "a route that is ranked first",
         .load = 3,
         .steady_load = 0.33,
         .urgent_share = 0.33},
        {.name = "steer_few_urgent",
         .description = "the same, one of ten callers by the route that is ranked first",
         .load = 3,
         .steady_load = 0.33,
         .urgent_share = 0.1},
        {.name = "steer_mostly_urgent",
         .description = "the same, nine of ten callers by the route that is ranked first",
         .load = 3,
         .steady_load = 0.33,
         .urgent_share = 0.9},
        {.name = "steer_ranked_calm",
         .description =
             "half of what they bear, nine of ten callers by the route that is ranked first",
         .load = 0.5,
         .urgent_share = 0.9},
        {.name = "steer_large_rush",
         .description = "a fifth of what they bear, then eight times that; three zones of twenty "
                        "instances, 120 targets",
         .load = 1.6,
         .targets = 120,
         .work_ms = 33,
         .objective = clock::duration{500},
         .instances_by_zone = {20, 20, 20},
         .steady_load = 0.2},
    };
    std::ranges::move(hard_load_patterns(), std::back_inserter(result));
    return result;
}

}  // namespace bramleytrack::experiments
