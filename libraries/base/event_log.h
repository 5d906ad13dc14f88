// Where the core writes what it decided. Bounded by rate for each kind, so that a flood of
// decisions can't fill the disk of whoever collects the log, or the time of this process.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "base/log_event.h"

namespace bramleytrack {

enum class log_kind : std::uint8_t {
    opening,       // an opening packet was placed, refused or dropped
    delivery,      // a later packet was refused or dropped
    answer,        // a target answered late or left something unanswered
    state_change,  // what the process believes has changed
    lifecycle      // start, stop, reload, a dependency lost or regained
};
constexpr std::size_t log_kinds = 5;

class event_log {
public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    virtual ~event_log() = default;

    // Whether a line of this kind may be written now. Asked before the line is built; a line that
    // is left out is counted, and the count is written with the next line that is let through.
    virtual bool admits(log_kind kind, clock::time_point now) = 0;
    virtual void write(const log_event& event) = 0;
};

}  // namespace bramleytrack
