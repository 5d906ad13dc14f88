// The callers of an overload experiment: which requests each of them sends, and its current flow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"
#include "overload_experiment.h"
#include "overload_statistics.h"
#include "steering/segment.h"

namespace bramleytrack::experiments {

// Callers send many requests over one flow, with pauses between them.
constexpr double mean_pause_ms = 300;
constexpr std::uint32_t ports_per_caller = 16;
// The overload phase starts, and targets fail, after 1/phase_divisor of the run.
constexpr int phase_divisor = 3;

struct caller_model {
    steering::segment last_segment;  // headers of the last packet of its flow
    std::size_t instance = 0;
    std::size_t target = 0;
    std::uint32_t member = 0;
    std::size_t zone = 0;
    std::uint32_t port_offset = 0;  // of its current flow, changes with each flow
    std::uint32_t opening_copies = 0;
    std::size_t route = 0;
    clock::duration starts_after{0};
    clock::duration stops_after = clock::duration::max();
    bool has_long_requests = false;
    bool is_urgent = false;
    bool is_held = false;  // its opening waits at the instance
    bool has_flow = false;
    bool is_waiting = false;   // for a response
    int timer_generation = 0;  // incremented with each packet; invalidates older timers
    int tries = 0;
    bool is_counted = true;  // its current request, by the statistics
    clock::time_point requested_at;
    clock::duration retransmission_timeout{0};
};

// Those of the pattern, or the ones that its older members describe.
std::vector<overload_route> routes_of(const overload_pattern& pattern);

// The number of callers produces the offered load.
std::vector<caller_model> make_callers(const overload_pattern& pattern, std::size_t zones);

caller_groups groups_of_caller(const caller_model& caller);

// Prepares the caller's next flow, with another port than the previous one.
void begin_flow(caller_model& caller, int index, bool identifies_callers);

}  // namespace bramleytrack::experiments
