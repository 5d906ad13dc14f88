// Estimates how many flows of an earlier owner are on a target but not yet recovered by its
// successor.
//
// Handles the death of an owner whose target is nearly full. Without this the successor counts only
// the flows whose packets have arrived since, treats the target as empty and fills it a second
// time. The dead owner's last heartbeat gives its count, and the target's first report after the
// takeover adds the flows that it admitted after that heartbeat; until that report no flow is
// admitted. Later reports lower the figure as flows end without having been recovered. They are
// compared with the lowest count that this owner had within the lag of a report, so that a lagging
// report can't hide an inherited flow behind a new one.
#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"

namespace bramleytrack::load {

class inherited_connections {
public:
    // Called at takeover. `heartbeat_count`: connections in the dead owner's last heartbeat.
    void begin(std::optional<int> heartbeat_count, clock::time_point now);
    void on_report(int connections, int local_connections, clock::time_point now);
    // A flow of the earlier owner was recovered and is now in this owner's count.
    void on_recovered();

    int assumed(clock::time_point now) const;
    // The number of flows admitted after the last heartbeat isn't known yet.
    bool is_awaiting_report(clock::time_point now) const { return now < report_awaited_until_; }

private:
    struct local_count {
        clock::time_point at;
        int local_connections;
    };

    int heartbeat_count_ = 0;     // not yet recovered, of the last heartbeat's count
    int reported_inherited_ = 0;  // by the target, minus this owner's count
    bool is_active_ = false;
    clock::time_point heartbeat_valid_until_;  // until then the heartbeat count is a lower limit
    clock::time_point report_awaited_until_;
    std::deque<local_count> local_counts_;  // within the last report_lag
};

}  // namespace bramleytrack::load
