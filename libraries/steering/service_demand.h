// How much the callers of one service ask of this instance.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

class service_demand {
public:
    // Long enough to smooth single requests, short enough to follow a rush while it begins.
    static constexpr clock::duration memory{500};

    // A caller began a request, or asked for a flow, whatever became of it.
    void on_asked(clock::time_point now);
    // A number of requests and openings: those of about the last `memory`, older ones counting less
    // and less.
    double recent(clock::time_point now) const;

private:
    double asked_ = 0;  // as of asked_at_
    clock::time_point asked_at_;
};

}  // namespace bramleytrack::steering
