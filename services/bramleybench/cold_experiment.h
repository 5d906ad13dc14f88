// Simulates target restarts, and a zone outage whose targets return cold, under a constant rate of
// new flows. Runs the real flow admission, placement and cold-start detection, and measures how far
// cold targets exceed their connection bound and how long the load takes to become even again.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "summary.h"

namespace bramleytrack::experiments {

enum class reporting {
    delayed,      // reports show the state of the target three seconds earlier
    always_warm,  // reports always claim that the target is warm
};

struct cold_start_pattern {
    std::string_view name;
    std::string_view description;
    int restarted_targets = 1;     // targets that restart unannounced at the same time
    bool has_zone_outage = false;  // instead: the first zone is out for 20 s and returns cold
    reporting reports = reporting::delayed;
};

struct cold_start_features {
    bool uses_own_observation = true;  // lost flows and out-of-service periods
    bool has_ramp = true;              // else only the configured connection limit applies
};

std::vector<cold_start_pattern> all_cold_start_patterns();

std::vector<figure> simulate_cold_start(const cold_start_pattern& pattern,
                                        const cold_start_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
