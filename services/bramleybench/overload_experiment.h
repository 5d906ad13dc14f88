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
    double load = 1;  // offered work, as a multiple of the capacity of all targets
    // Share of targets that take five times as long for short requests; long ones are not slowed.
    double slow_share = 0;
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
    // Instances limit the open requests of each target by its slots. Off: targets have so many
    // slots that they never reach the limit.
    bool limits_open_requests = true;
    // Instances exchange digests with their peers. Off: they exchange nothing, neither loads nor
    // demand reports nor verdicts that targets are dead.
    bool shares_loads = true;
    // Digests contain demand reports. Off: they don't, and each instance counts all capacity as its
    // own.
    bool shares_demands = true;
    // All flows of a member have one address, by which steering::caller_shares limits the member's
    // share. Off: each flow has its own address.
    bool identifies_callers = true;
    // Instances probe targets that leave packets unanswered. Off: they never suspect or probe one.
    bool probes_targets = true;
    // Retransmitted openings go to another target, and the first one is ejected. Off: they are sent
    // as first packets.
    bool handles_opening_copies = true;
    // Callers receive resets of flows to dead targets and retry. Off: they ignore the resets and
    // retransmit until the request times out.
    bool resets_dead_flows = true;
    // The route of the urgent callers has a higher priority than the others in use. Off: all routes
    // in use have the same priority.
    bool prioritizes_routes = true;
};

std::vector<overload_pattern> all_overload_patterns();

// Returns these figures, all as fractions of the requests (0 to 1, except "shed by targets"):
//   "in time": answered within the objective, measured from the first attempt
//   "late": answered after the objective
//   "failed": given up by their callers
//   "shed by targets": attempts that a target shed, per request; more than 1 is possible
//   "in time, light": of the members but the first; only if there are such requests
//   "in time, short": of the callers without long requests; only if long_share is set
//   "in time, urgent": of the callers on the route with the higher priority; only if urgent_share
//   is
//     set
//   "least in time, zone": of the zone with the lowest one; only if there are several zones
// Requests that are still open at the end of the run are in none of the first three.
std::vector<figure> simulate_overload(const overload_pattern& pattern,
                                      const overload_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
