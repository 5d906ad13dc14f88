// Simulates how long a fleet needs to receive its state after all, a zone or a few of its instances
// have lost power. Runs the real feed, mirror and startup classes of each instance.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "summary.h"

namespace bramleytrack::experiments {

struct fleet_start_pattern {
    std::string name;
    std::size_t instances = 0;
    // Of the instances; the others hold the state and go on running.
    double restarted_fraction = 1;
    double store_link_mbps = 1'000;
};

struct fleet_start_features {
    // A byte of a response restarts the timeout of its page; otherwise the whole page must arrive
    // within it.
    bool has_progress_timeouts = true;
    // Few instances read the store, the others receive copies from peers; otherwise each reads it.
    bool copies_from_peers = true;
};

// Fleets of 100 to 2,000 instances with ten targets each, restarted whole, by a fifth (a zone) and
// by a twentieth.
std::vector<fleet_start_pattern> all_fleet_start_patterns();

// Times in seconds from the restart; an instance that never becomes ready counts with the length of
// the simulation.
std::vector<figure> simulate_fleet_start(const fleet_start_pattern& pattern,
                                         const fleet_start_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
