// How much the callers of one service ask of this instance, by the priority of their routes.
//
// Load that it answers: callers of several routes ask for more than the service's targets bear, and
// operators have ranked the routes. A route counts as more urgent only while callers ask for it:
// texts list routes that see no traffic, often by the highest priority, and by these every route in
// use would have to yield.
#pragma once

#include <map>

#include "base/clock.h"

namespace bramleytrack::steering {

class service_demand {
public:
    // Long enough to smooth single requests, short enough to follow a rush while it begins.
    static constexpr clock::duration memory{500};

    // A caller began a request, or asked for a flow, whatever became of it. A smaller number is the
    // more urgent priority.
    void on_asked(int priority, clock::time_point now);
    // A number of requests and openings: those of about the last `memory`, older ones counting less
    // and less.
    double recent(clock::time_point now) const;
    // The same, of routes that are more urgent than that.
    double recent_higher_priority(int priority, clock::time_point now) const;

private:
    struct decaying_count {
        double value = 0;  // as of then
        clock::time_point at;

        double recent(clock::time_point now) const;
    };

    std::map<int, decaying_count> by_priority_;  // operators name a few
};

}  // namespace bramleytrack::steering
