#include "overload_experiment.h"

namespace bramleytrack::experiments {

std::vector<overload_pattern> all_overload_patterns() {
    return {
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
}

}  // namespace bramleytrack::experiments
