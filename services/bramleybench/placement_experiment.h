// Simulates the opening and closing of flows at several owners that exchange heartbeats at 500 ms
// intervals. Runs the real candidate hash and placement decision, and measures the load imbalance
// of the targets and the share of flows that are not on their first candidate.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "summary.h"

namespace bramleytrack::experiments {

struct placement_pattern {
    std::string_view name;
    int targets = 14;
    bool has_heavy_tail = false;  // Pareto-distributed target weights, 1 to 20
    int owners = 9;
    double opened_per_second = 2'000;
    double mean_lifetime_ms = 10'000;
};

struct placement_features {
    bool uses_first_candidate = false;  // place by the hash alone
    bool counts_own_placements = true;  // placements of this owner since the last heartbeat
    double threshold = 0;               // see load::second_choice_threshold
};

std::vector<placement_pattern> all_placement_patterns();

std::vector<figure> simulate_placement(const placement_pattern& pattern,
                                       const placement_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
