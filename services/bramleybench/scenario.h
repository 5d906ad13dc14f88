// Load patterns of the request experiment. Their figures measure fairness between members, refusals
// and queueing delays.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::experiments {

struct member_pattern {
    std::string_view name;
    double load = 0;        // offered service time, as a multiple of the capacity of all targets
    double long_share = 0;  // share of its requests that take long_factor times as long
    int callers = 0;        // that send all of this load; 0: a new caller for each request
};

struct scenario {
    std::string_view name;
    std::string_view description;
    std::vector<member_pattern> members;
    int targets = 14;
    int slots = 2;
    double service_ms = 20;
    double long_factor = 25;
    clock::duration deadline{400};
    clock::duration length{30'000};
    // If not zero, requests arrive only during this time at the beginning.
    clock::duration burst{0};
    // Factor by which the first target's service times grow in the second half of the run.
    double slow_factor = 1;
    // Refused callers retry after their Retry-After time, at most this often.
    int max_retries = 0;
};

std::span<const scenario> all_scenarios();
const scenario* find_scenario(std::string_view name);

}  // namespace bramleytrack::experiments
