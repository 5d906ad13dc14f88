// Tracks whether a target is in cold start, and its limits during and after one.
//
// Handles targets that have just started: they bear only a small part of their full load and fail
// under more. A target may restart without notice, and its report lags or says that it is warm. If
// this weren't tracked, every caller whose flow broke would open a new one at once on the target
// that has just restarted.
// The owner's own observations take precedence over reports: a report that the target is warm ends
// a cold start that a report began, never an observed one. During a cold start the bound is the
// operators' figure, as the time at which the target bears more isn't known. Afterwards it rises
// linearly, so that a target that isn't ready yet shows it before it has its full load. A target
// whose zone returns is treated as cold whatever it reports.
#pragma once

#include <algorithm>

#include "base/clock.h"
#include "configuration/configuration.h"

namespace bramleytrack::load {

// Duration of a cold start that the owner observed and that no report extends.
constexpr clock::duration cold_start_duration{21'000};
// Duration of the rise from cold_connections to connections after a cold start.
constexpr clock::duration cold_start_ramp{5'000};

class cold_start {
public:
    // Each returns true if this begins a cold start, that is, the target counted as warm before.
    bool on_report(bool is_cold, clock::time_point now);
    // The target shed a request although no more than its slots were in use.
    bool on_shed(clock::time_point now);
    // The target reset a flow that it had accepted.
    bool on_lost_flow(clock::time_point now);

    // The target's zone is out, so nothing is sent to it. It may restart meanwhile, and when the
    // zone returns all callers may open flows there at once.
    void on_out_of_service(clock::time_point now) { begin(now); }

    bool is_cold(clock::time_point now) const { return now < ends(); }
    // Time until the cold start ends; once it has ended, minus the time since then. Sent in a
    // hand-over, so that the next owner continues the ramp.
    clock::duration remaining(clock::time_point now) const {
        return std::max(ends() - now, -cold_start_ramp);
    }
    void resume(clock::duration remaining, clock::time_point now) {
        observed_until_ = now + remaining;
    }

    int connection_bound(const configuration::target& target, clock::time_point now) const;
    int slot_bound(const configuration::target& target, clock::time_point now) const;

private:
    clock::time_point ends() const { return std::max(observed_until_, reported_until_); }
    bool begin(clock::time_point now);

    clock::time_point observed_until_;
    clock::time_point reported_until_;
    clock::time_point last_lost_flow_;
};

}  // namespace bramleytrack::load
