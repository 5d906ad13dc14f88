// Estimates how many flows of an earlier owner are on a target but not yet recovered by its
// successor. A flow is recovered when a packet of it, other than the opening packet, has reached
// the successor, which then creates its record and counts it.
//
// Handles the death of an owner whose target is nearly full. Without this the successor counts only
// the flows whose packets have arrived since, treats the target as empty and fills it a second
// time. Two counts are available: the dead owner's last heartbeat, and the target's reports, which
// include flows that the dead owner admitted after that heartbeat. The higher one is used. New
// flows are declined until the first report arrives or max_report_wait has passed; without a
// heartbeat count they are admitted at once. Later reports lower the reported count as flows end
// without having been recovered. A report may lag, so the number of inherited flows is the reported
// number minus the lowest number of flows that this owner counted within report_lag. Subtracting
// its current number would also subtract flows that are newer than the report, and the result would
// be too low.
#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"

namespace bramleytrack::load {

class inherited_connections {
public:
    // Called at takeover. `heartbeat_count`: connections in the dead owner's last heartbeat.
    // nullopt if this instance has received no heartbeat with the target, for example because it
    // has just started: then 0 is assumed, and flows are admitted without waiting for a report.
    void begin(std::optional<int> heartbeat_count, clock::time_point now);
    // `connections`: reported by the target. `local_connections`: this owner's own count.
    void on_report(int connections, int local_connections, clock::time_point now);
    // A flow of the earlier owner was recovered and is now in this owner's own count.
    void on_recovered();

    // Estimated number of inherited flows that aren't recovered yet.
    int assumed(clock::time_point now) const;
    // The number of flows admitted after the last heartbeat isn't known yet.
    bool is_awaiting_report(clock::time_point now) const { return now < report_awaited_until_; }

private:
    struct local_count {
        clock::time_point at;
        int local_connections;  // flows that this owner counted
    };

    int heartbeat_count_ = 0;  // count of the last heartbeat, minus the flows recovered since
    // Reported by the target, minus this owner's count and the flows recovered since.
    int reported_inherited_ = 0;
    // From the takeover until a report, after the heartbeat count has expired, shows no inherited
    // flow. Reports are ignored while it is false.
    bool is_active_ = false;
    clock::time_point heartbeat_valid_until_;  // until then the heartbeat count is a lower limit
    clock::time_point report_awaited_until_;
    std::deque<local_count> local_counts_;  // within the last report_lag
};

}  // namespace bramleytrack::load
