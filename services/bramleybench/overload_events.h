// The events of an overload experiment, in virtual time.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::experiments {

enum class event_kind {
    request_due,
    continue_request,  // sends the request over the flow if there is one, else opens a flow
    arrived,
    done,
    digest,
    opening_timeout,
    data_timeout,
    targets_fail,
    probed,
    release,  // of openings that wait
    restart
};

struct event {
    clock::time_point at;
    event_kind kind = event_kind::request_due;
    // Index of the caller for request_due, continue_request, arrived and the time-outs, of the
    // target for done, and of the probing instance for probed. Unused for the others.
    int index = 0;
    // For the time-outs, the caller's timer_generation when they were scheduled. Index of the
    // caller for done, and of the target for probed. Otherwise unused.
    int argument = 0;

    bool operator>(const event& right) const { return at > right.at; }
};

using event_queue = std::priority_queue<event, std::vector<event>, std::greater<>>;

}  // namespace bramleytrack::experiments
