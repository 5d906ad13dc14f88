// The clock type used throughout the system: milliseconds since the Unix epoch.
//
// Core logic never reads the clock: every event carries its time. Only the daemons call now().
#pragma once

#include <chrono>
#include <cstdint>

namespace bramleytrack {

struct clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    // The wall-clock time at the first call, advanced by CLOCK_BOOTTIME, which is monotonic and
    // includes time in suspension. A step of the wall clock therefore can't shorten a lease or
    // extend a deadline that has passed.
    static time_point now();
};

constexpr clock::time_point to_time_point(std::int64_t milliseconds) {
    return clock::time_point{clock::duration{milliseconds}};
}

constexpr std::int64_t to_milliseconds(clock::time_point time) {
    return time.time_since_epoch().count();
}

}  // namespace bramleytrack
