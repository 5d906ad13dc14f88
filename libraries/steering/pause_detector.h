// Detects that the process was paused: frozen, suspended, or without processor time.
//
// During a pause the process may have missed changes, and its connections may have stalled. What
// waited in its socket meanwhile is known without it, see net/receive_backlog.
#pragma once

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace bramleytrack::steering {

// Events are at most 100 ms apart, and a shorter gap occurs on a busy instance as well.
constexpr clock::duration min_pause{250};

class pause_detector {
public:
    // Called at each event, and at least every 100 ms.
    void on_event(clock::time_point now) {
        const auto gap =
            last_event_at_ == clock::time_point{} ? clock::duration{0} : now - last_event_at_;
        last_event_at_ = now;
        if (gap >= min_pause) {
            longest_pause_ = std::max(longest_pause_, gap);
        }
    }

    // The longest pause since the last call, or zero.
    clock::duration take_pause() { return std::exchange(longest_pause_, clock::duration{0}); }

private:
    clock::time_point last_event_at_;
    clock::duration longest_pause_{0};  // since the last take_pause()
};

}  // namespace bramleytrack::steering
