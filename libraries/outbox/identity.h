// Identity of this instance, constant during its lifetime, and its counters.
#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bramleytrack {

// How packets are routed to targets. plain_hashing is only a baseline for measurements.
enum class routing_strategy { owners, plain_hashing };

// How often the daemon calls on_tick.
constexpr clock::duration tick_interval{100};

struct identity {
    std::string name;
    std::string zone;
    std::string peer_address;      // ip:port where peers reach this instance
    std::int64_t incarnation = 0;  // start time in milliseconds, so it rises with each start
    clock::time_point started;
    routing_strategy strategy = routing_strategy::owners;
};

// Counters of one instance, exported as metrics.
struct counters {
    std::int64_t packets_from_callers = 0;
    std::int64_t packets_forwarded = 0;
    std::int64_t packets_from_targets = 0;
    std::int64_t dropped = 0;
    std::int64_t withheld = 0;  // not sent to a target whose zone is out
    std::int64_t flows_recovered = 0;
};

}  // namespace bramleytrack
