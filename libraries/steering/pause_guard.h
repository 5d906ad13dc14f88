// Detects that the process was paused: frozen, suspended, or without processor time.
//
// Guards against stale openings. Opening packets wait in the socket during the pause; forwarded
// afterwards, they would reach targets long after their retransmissions were accepted through
// another instance. The late acceptance changes the token that the caller returns, so that the
// packets of an open flow go to the wrong target.
#pragma once

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace bramleytrack::steering {

struct pause_limits {
    // Callers retransmit after 200 ms, so a packet that waited longer is no longer the only one.
    clock::duration min_pause{250};
    // The backlog is read within a few wake-ups; new packets arrive in between.
    clock::duration catch_up_time{30};
};

class pause_guard {
public:
    explicit pause_guard(pause_limits limits = {}) : limits_{limits} {}

    // Called at each event, and at least every few tens of milliseconds.
    void on_event(clock::time_point now) {
        const auto gap =
            last_event_at_ == clock::time_point{} ? clock::duration{0} : now - last_event_at_;
        last_event_at_ = now;
        if (gap >= limits_.min_pause) {
            catch_up_until_ = now + limits_.catch_up_time;
            longest_pause_ = std::max(longest_pause_, gap);
        }
    }

    // The longest pause since the last call, or zero.
    clock::duration take_pause() { return std::exchange(longest_pause_, clock::duration{0}); }

    // Whether openings that are read now may have waited during a pause.
    bool is_catching_up(clock::time_point now) const { return now < catch_up_until_; }

private:
    pause_limits limits_;
    clock::time_point last_event_at_;
    clock::time_point catch_up_until_;
    clock::duration longest_pause_{0};  // since the last take_pause()
};

}  // namespace bramleytrack::steering
