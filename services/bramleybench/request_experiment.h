// Simulates requests to model targets with the real admission decisions, called as an owner calls
// them, and records the results by member. Neither the network nor the cluster is modelled.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "load/strategies.h"
#include "load/target_load.h"
#include "scenario.h"

namespace bramleytrack::experiments {

struct member_result {
    int offered = 0;  // requests, without retries
    int answered = 0;
    int refused = 0;  // and not retried
    int unknown = 0;
    double demand = 0;             // offered service time, milliseconds
    double completed = 0;          // service time of requests answered in time, milliseconds
    std::vector<int> waits;        // queueing delays of dispatched requests, milliseconds
    std::vector<int> short_waits;  // those of short requests
};

struct request_result {
    std::map<std::string, member_result> members;
    std::vector<int> refusal_delays;   // from the request to its refusal, milliseconds
    std::vector<int> refusals;         // refusals of each answered request before it was answered
    double capacity = 0;               // service time available in all slots, milliseconds
    int max_in_use = 0;                // maximum of concurrent requests at one target
    int max_simultaneous_retries = 0;  // maximum of retries within 100 ms
};

// Does not throw. The same seed gives the same result.
request_result simulate_requests(const scenario& pattern, const load::strategies& strategies,
                                 std::uint64_t seed);

}  // namespace bramleytrack::experiments
