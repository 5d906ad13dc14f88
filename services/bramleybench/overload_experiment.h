// Plays more callers than targets bear against instances that route by token: real decisions,
// packet by packet, and small models of targets and callers around them.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "summary.h"

namespace bramleytrack::experiments {

struct overload_pattern {
    std::string_view name;
    std::string_view plays;
    double load = 1;        // work offered, as a multiple of what all targets can do
    double slow_share = 0;  // of the targets take five times as long
    int instances = 8;
    int targets = 14;
    int slots = 2;
    int queue = 8;        // beyond it a target turns requests away
    double work_ms = 22;  // mean, with a spread of one half
    clock::duration objective{120};
    clock::duration length{12'000};
    int members = 1;             // firms, each with an address of its own
    double heavy_share = 0;      // of all load comes from the first one; the others share the rest
    double dead_share = 0;       // of the targets fall silent a third of the way into the run
    bool has_flow_each = false;  // callers open a flow for each request
    double long_share = 0;  // of the callers ask for long work, by a route with its own objective
    double long_work_ms = 500;
    clock::duration long_objective{2'000};
    // Zones with so many instances each, asked alike; all in one zone when there are none. Targets
    // are dealt out to zones in turn.
    std::vector<int> instances_by_zone{};
    // Until a third of the run is over, only callers that make up this load come; 0: all do.
    double calm_load = 0;
    double urgent_share = 0;  // of the callers ask by a route that operators rank first
};

struct overload_choice {
    bool has_limit = true;       // steering::has_capacity
    bool shares_loads = true;    // digests of peers
    bool shares_demands = true;  // what callers ask of peers; else all room is each instance's own
    bool knows_callers = true;  // steering::caller_shares; else each flow has an address of its own
    bool checks_targets = true;  // that leave packets unanswered
    // Copies of openings go elsewhere and shun the target; else they are sent as first packets.
    bool heeds_copies = true;
    bool ends_dead_flows = true;  // else callers wait for their deadlines
    bool ranks_routes = true;     // else all that callers ask by have the same priority
};

std::vector<overload_pattern> all_overload_patterns();

// "least in time, zone" is that of the callers of the zone that was served worst.
// "in time" is the share of requests answered within the objective, counted from the first try;
// "light" counts those of all members but the first, "short" those that don't ask for long work,
// "urgent" those by the route that is ranked first.
std::vector<figure> play_overload(const overload_pattern& pattern, const overload_choice& choice,
                                  std::uint64_t seed);

}  // namespace bramleytrack::experiments
