#include "overload_experiment.h"

namespace bramleytrack::experiments {

std::vector<overload_pattern> all_overload_patterns() {
    return {
        {.name = "steer_usual", .plays = "a third of what the targets bear", .load = 0.33},
        {.name = "steer_full", .plays = "nine tenths of what the targets bear", .load = 0.9},
        {.name = "steer_2x", .plays = "twice what the targets bear", .load = 2},
        {.name = "steer_5x", .plays = "five times what the targets bear", .load = 5},
        {.name = "steer_slow",
         .plays = "half of what they bear, and three targets of ten take five times as long",
         .load = 0.5,
         .slow_share = 0.3},
        {.name = "steer_long_work",
         .plays = "work that takes longer than its objective, half of what the targets bear",
         .load = 0.5,
         .work_ms = 150},
        {.name = "steer_heavy_caller",
         .plays = "three times what the targets bear, nine tenths of it from one of nine members",
         .load = 3,
         .members = 9,
         .heavy_share = 0.9},
        {.name = "steer_even_callers",
         .plays = "three times what the targets bear, from nine members alike",
         .load = 3,
         .members = 9,
         .heavy_share = 1.0 / 9},
        {.name = "steer_dead",
         .plays = "a third of what they bear, and four targets of fourteen fall silent",
         .load = 0.33,
         .dead_share = 0.29},
        {.name = "steer_dead_short_flows",
         .plays = "the same, with a flow for each request",
         .load = 0.33,
         .dead_share = 0.29,
         .has_flow_each = true},
        {.name = "steer_long_among_short",
         .plays =
             "one caller of twenty asks for half a second of work, nine tenths of what they bear",
         .load = 0.9,
         .long_share = 0.05},
        {.name = "steer_rush_uneven_zones",
         .plays = "a third of what they bear, then three times that much at once; zones of three, "
                  "two and one instances ask alike",
         .load = 3,
         .instances = 6,
         .slots = 4,
         .queue = 16,
         .work_ms = 55,
         .objective = clock::duration{250},
         .instances_by_zone = {3, 2, 1},
         .calm_load = 0.33},
    };
}

}  // namespace bramleytrack::experiments
