// Limits the copies of the complete state that an instance sends to starting peers at a time.
//
// After a power loss, hundreds of peers request a copy from the few that hold the state. If a
// sender accepted all of them, each copy would get a small part of its link, and for seconds none
// would be complete and able to serve others. A peer that is refused queries another one.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace bramleytrack::fleet {

struct transfer_budget_limits {
    // The part of the link that copies may use; callers' packets use the rest.
    double link_fraction = 0.5;
    // Copies that are accepted leave this instance within this time, or alone if one takes longer.
    clock::duration max_backlog{500};
};

class transfer_budget {
public:
    // `link_mbps`: the rate of this instance's link, in megabits per second; 0 if unknown.
    explicit transfer_budget(double link_mbps, transfer_budget_limits limits = {})
        : limits_{limits},
          bytes_per_millisecond_{(link_mbps > 0 ? link_mbps : unknown_link_mbps) *
                                 bytes_per_megabit_millisecond * limits.link_fraction} {}

    // Whether a copy of this size may be sent now. If so, it counts as sent.
    bool admits(std::int64_t bytes, clock::time_point now) {
        const auto idle_at = std::max(idle_at_, now);
        const auto sending_time = clock::duration{
            static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_millisecond_)};
        const bool is_idle = idle_at == now;
        if (!is_idle && idle_at + sending_time - now > limits_.max_backlog) {
            return false;
        }
        idle_at_ = idle_at + sending_time;
        return true;
    }

private:
    static constexpr double bytes_per_megabit_millisecond = 125;
    // The smallest link of the planned machines.
    static constexpr double unknown_link_mbps = 10;

    transfer_budget_limits limits_;
    double bytes_per_millisecond_;
    clock::time_point idle_at_;  // when the accepted copies have left
};

}  // namespace bramleytrack::fleet
