// Recent demand for one service through this instance, by the priority of the callers' routes.
//
// Handles callers of several routes that together exceed the capacity of the service's targets,
// where operators have ranked the routes. A route of higher priority counts only while it has
// demand: catalogues list routes without traffic, often with the highest priority, and otherwise
// every route in use would be capped because of them.
#pragma once

#include <map>

#include "base/clock.h"

namespace bramleytrack::steering {

class service_demand {
public:
    // Of the exponential decay: long enough to smooth single requests, short enough to follow a
    // burst while it begins.
    static constexpr clock::duration time_constant{500};

    // A caller began a request or tried to open a flow, whatever the outcome. A smaller number is a
    // higher priority.
    void on_request(int priority, clock::time_point now);
    // The exponentially decayed number of requests and openings: about those of the last
    // `time_constant`.
    double recent(clock::time_point now) const;
    // The same, for routes of a higher priority only.
    double recent_higher_priority(int priority, clock::time_point now) const;

private:
    struct decaying_count {
        double value = 0;  // as of updated_at
        clock::time_point updated_at;

        double recent(clock::time_point now) const;
    };

    std::map<int, decaying_count> by_priority_;  // operators configure only a few
};

}  // namespace bramleytrack::steering
