// Estimates how long a target takes for a request, from what this owner saw of it.
//
// Load: targets of unequal speed, and long work among short. Without an estimate a queue can't tell
// what will end in time, and a member with long requests gets more than its share of the slots.
// The mean and mean deviation are those of Jacobson (1988), with his weights of 1/8 and 1/4: a
// target that becomes slow is seen within some ten answers, and one slow answer moves the mean by
// an eighth of it. Reports of targets don't enter, since they lag and mislead.
// Three deviations above the mean are taken as the longest: a request that is cut off costs its
// slot until the owner gives it up, and a longer estimate turns away what would have fitted.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "load/work.h"

namespace bramleytrack::load {

struct service_time {
    double mean = 0;       // milliseconds; 0 until the first observation
    double deviation = 0;  // mean absolute deviation, milliseconds
    clock::time_point last_seen;

    bool is_known() const { return mean > 0; }
    void note(double milliseconds, clock::time_point now);
    // Few requests take longer than this.
    double upper() const;
};

class service_times {
public:
    void note(std::string_view member, work_class kind, clock::duration taken,
              clock::time_point now);

    // The narrowest estimate there is: of the member's class, of the class, of the target.
    const service_time& of(std::string_view member, work_class kind) const;
    const service_time& of_target() const { return all_; }

    // Failure: one slow minute raises the estimate above every deadline, all requests are refused,
    // and as none runs the estimate never falls. So when nothing was seen for a while, one request
    // goes through regardless; true for that one.
    bool take_probe(std::string_view member, work_class kind, clock::time_point now);

private:
    using by_class = std::array<service_time, work_classes>;

    // Nothing when neither the member's class nor the class was seen yet.
    const service_time* known(std::string_view member, work_class kind) const;

    service_time all_;
    clock::time_point last_probe_;
    by_class by_class_;
    std::map<std::string, by_class, std::less<>> by_member_;  // at most max_members
};

}  // namespace bramleytrack::load
