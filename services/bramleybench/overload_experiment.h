// Simulates request load, mostly beyond the capacity of the targets, on instances that route by
// token. The instances run the real steering code packet by packet; targets and callers are simple
// models. Measures the share of requests that are answered within their objective.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "summary.h"

namespace bramleytrack::experiments {

struct overload_pattern {
    std::string_view name;
    std::string_view description;
    double load = 1;        // offered work, as a multiple of the capacity of all targets
    double slow_share = 0;  // share of targets that take five times as long
    int instances = 8;
    int targets = 14;
    int slots = 2;
    int queue = 8;        // requests; a target sheds those beyond
    double work_ms = 22;  // mean; sigma of the lognormal distribution is 0.5
    clock::duration objective{120};
    clock::duration length{12'000};
    int members = 1;         // customer organisations, each with its own address
    double heavy_share = 0;  // share of load from the first member; the others split the rest
    double dead_share = 0;   // share of targets that stop responding after a third of the run
    bool has_flow_per_request = false;  // callers open a new flow for each request
    // Share of callers with long requests, on a route with its own objective.
    double long_share = 0;
    double long_work_ms = 500;
    clock::duration long_objective{2'000};
    // Number of instances in each zone; empty: one zone with all instances. Each zone receives the
    // same load. Targets are assigned to zones round-robin.
    std::vector<int> instances_by_zone{};
    // Load during the first third of the run, before the overload phase starts; 0: the full load
    // from the beginning.
    double steady_load = 0;
    double urgent_share = 0;  // share of callers on a route with a higher priority
};

struct overload_features {
    bool limits_open_requests = true;  // steering::has_capacity
    bool shares_loads = true;          // instances exchange load digests with their peers
    // Instances exchange demand reports; else each counts all capacity as its own.
    bool shares_demands = true;
    bool identifies_callers = true;  // steering::caller_shares; else each flow has its own address
    bool probes_targets = true;      // targets that leave packets unanswered
    // Retransmitted openings go to another target, and the first one is ejected; else they are
    // sent as first packets.
    bool handles_opening_copies = true;
    bool resets_dead_flows = true;   // else callers wait until their deadlines
    bool prioritizes_routes = true;  // else all used routes have the same priority
};

std::vector<overload_pattern> all_overload_patterns();

// Returns these figures. "in time" is the share of requests that were answered within the
// objective, measured from the first attempt; "light" covers all members but the first, "short" the
// callers without long requests, "urgent" the callers on the route with the higher priority. "least
// in time, zone" is the share of the zone with the lowest one.
std::vector<figure> simulate_overload(const overload_pattern& pattern,
                                      const overload_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
