// The demand of each member on a target, in service time, as a moving average.
//
// Handles a member with a long backlog next to members that send steadily but have nothing queued
// right now. Without this a request at the end of the backlog is predicted to end as if the other
// members had stopped; their requests arrive, are served ahead of it, and it is refused only after
// a long wait.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "load/decaying_sum.h"

namespace bramleytrack::load {

class demand {
public:
    void record(std::string_view member, double cost, clock::time_point now);
    // Demand in milliseconds of service time per millisecond.
    double rate(std::string_view member, clock::time_point now) const;
    // Calls `visit(member, rate)` for each member with demand so far.
    template <typename visitor>
    void for_each_rate(clock::time_point now, visitor visit) const {
        for (const auto& [member, each] : by_member_) {
            visit(std::string_view{member}, each.rate(now));
        }
    }

private:
    std::map<std::string, decaying_sum, std::less<>> by_member_;  // at most max_members
};

}  // namespace bramleytrack::load
