// Interface through which core logic logs its decisions. Each kind of event has a rate limit of its
// own, so that a flood of decisions can neither fill the log collector's disk nor use up the CPU
// time of this process.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "base/log_event.h"

namespace bramleytrack {

enum class log_kind : std::uint8_t {
    opening,       // an opening packet was forwarded, rejected or dropped
    delivery,      // a later packet of a flow was rejected or dropped
    answer,        // a target responded late or not at all
    state_change,  // the state that this process holds has changed
    lifecycle      // start, stop, reload; a dependency became unreachable or reachable
};
constexpr std::size_t log_kinds = 5;

class event_log {
public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    virtual ~event_log() = default;

    // Whether the rate limit of this kind admits a line now. Called before the line is formatted,
    // so that a suppressed line costs nothing. When it returns true, the line has been counted
    // against the limit, so the caller should write it.
    //
    // Suppressed lines are counted. The count is logged, by this function, with the next admitted
    // line of the same kind that comes at least one second after the last such report.
    virtual bool admits(log_kind kind, clock::time_point now) = 0;
    virtual void write(const log_event& event) = 0;
};

}  // namespace bramleytrack
