// Who this instance is, fixed for its life.
#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bramleytrack {

// How packets find their targets. plain_hashing is the baseline of the measurements only.
enum class routing_strategy { owners, plain_hashing };

// How often the daemon calls on_tick.
constexpr clock::duration tick_interval{100};

struct identity {
    std::string name;
    std::string zone;
    std::string peer_address;      // ip:port where peers reach this instance
    std::int64_t incarnation = 0;  // rises with each start; milliseconds of the start
    clock::time_point started;
    routing_strategy strategy = routing_strategy::owners;
};

// Counters of one instance; served as metrics.
struct counters {
    std::int64_t packets_from_callers = 0;
    std::int64_t packets_forwarded = 0;
    std::int64_t packets_from_targets = 0;
    std::int64_t dropped = 0;
    std::int64_t withheld = 0;  // not sent to a target whose zone is out
    std::int64_t flows_recovered = 0;
};

}  // namespace bramleytrack
