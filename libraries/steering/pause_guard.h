// Notices that the process stood still: frozen, suspended, or without the processor.
//
// Failure: opening packets wait in the socket while the process stands still. When it goes on, they
// would reach targets long after their copies were answered through another instance, and the late
// answer changes the token that the caller returns, so that an open flow goes to the wrong target.
#pragma once

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace bramleytrack::steering {

struct pause_limits {
    // Callers send a copy after 200 ms, so a packet that waited longer isn't the only one.
    clock::duration shortest_pause{250};
    // The backlog is read within a few wake-ups; new packets arrive in between.
    clock::duration catch_up{30};
};

class pause_guard {
public:
    explicit pause_guard(pause_limits limits = {}) : limits_{limits} {}

    // Called at each event, and every few tens of milliseconds at least.
    void on_event(clock::time_point now) {
        const auto gap = last_ == clock::time_point{} ? clock::duration{0} : now - last_;
        last_ = now;
        if (gap >= limits_.shortest_pause) {
            catch_up_until_ = now + limits_.catch_up;
            pause_ = std::max(pause_, gap);
        }
    }

    // The longest pause since this was last asked, or zero.
    clock::duration take_pause() { return std::exchange(pause_, clock::duration{0}); }

    // Whether openings that arrive now have waited while the process stood still.
    bool is_catching_up(clock::time_point now) const { return now < catch_up_until_; }

private:
    pause_limits limits_;
    clock::time_point last_;
    clock::time_point catch_up_until_;
    clock::duration pause_{0};  // that nobody has taken yet
};

}  // namespace bramleytrack::steering
