// Simulates request load, mostly beyond the capacity of the targets, on instances that route by
// token. The instances run the real steering code packet by packet; targets and callers are simple
// models. Measures the share of requests that are answered within their objective.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "steering/admission_settings.h"
#include "summary.h"

namespace bramleytrack::experiments {

// A route and the requests of its callers.
struct overload_route {
    std::string_view name;
    int priority = 2;
    double load = 1;      // offered work, as a multiple of the capacity of all targets
    double work_ms = 22;  // mean; sigma of the lognormal distribution is 0.5
    clock::duration objective{120};
    bool has_flow_per_request = false;      // callers open a new flow for each request
    bool is_work_fixed = false;             // each request takes work_ms, on slow targets as well
    std::vector<std::uint32_t> weights{1};  // of the route's split, by service
};

// Before and after the burst, only so many callers send requests that they offer `calm_load`.
struct overload_burst {
    clock::duration begin{0};
    clock::duration end{0};
    double calm_load = 0;  // of all routes, as a multiple of the capacity
};

// What fails during the run.
struct overload_faults {
    // At this time, every other instance is replaced by one that knows nothing; 0: none is.
    clock::duration restart{0};
    // From here to there, all digests are lost.
    clock::duration digest_loss_begin{0};
    clock::duration digest_loss_end{0};
};

struct overload_pattern {
    std::string_view name;
    std::string_view description;
    double load = 1;  // offered work, as a multiple of the capacity of all targets
    // Share of targets that take slow_factor times as long, but for requests of fixed work.
    double slow_share = 0;
    double slow_factor = 5;
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
    // If there are any, they replace the load, work and routes that the members above describe, and
    // only requests that begin during the burst count.
    std::vector<overload_route> routes{};
    overload_burst burst{};
    std::vector<int> targets_by_service{};       // empty: one service with all targets
    std::vector<std::size_t> callers_by_zone{};  // relative numbers; empty: the same in each
    clock::duration retry_pause{0};              // before the next attempt at a request
    overload_faults faults{};
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
    steering::admission_settings admission{};
};

std::vector<overload_pattern> all_overload_patterns();

// Returns these figures, all as fractions of the requests (0 to 1, except "shed by targets") where
// nothing else is said:
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
//   "in time, ROUTE": of the callers of the route; only if `routes` is set
//   "rejected, SERVICE": attempts that the service's targets shed, as a fraction of those that
//     arrived there; only if `routes` is set
// Requests that are still open at the end of the run are in none of the first three.
std::vector<figure> simulate_overload(const overload_pattern& pattern,
                                      const overload_features& features, std::uint64_t seed);

}  // namespace bramleytrack::experiments
