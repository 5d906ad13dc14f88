// Estimates the service time of a request on a target from what this owner measured.
//
// Handles targets of unequal speed, and long requests among short ones. Without an estimate the
// queue can't predict which requests end in time, and a member with long requests gets more than
// its share of the slots.
// Mean and mean deviation follow Jacobson (1988), with his weights of 1/8 and 1/4: a slowdown of
// the target shows within some ten answers, and a single slow answer moves the mean by an eighth of
// the difference. Reports of targets aren't used, since they lag and can be wrong.
// Three deviations above the mean count as the maximum: a request that is cut off at its deadline
// holds its slot until the owner gives it up, and a higher estimate refuses requests that would
// have ended in time.
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
    clock::time_point last_observed_at;

    bool has_estimate() const { return mean > 0; }
    void record(double milliseconds, clock::time_point now);
    // Few requests take longer than this, in milliseconds.
    double upper_bound() const;
};

class service_times {
public:
    void record(std::string_view member, work_class kind, clock::duration elapsed,
                clock::time_point now);

    // The most specific estimate available: of the member's class, of the class, or of the target.
    const service_time& of(std::string_view member, work_class kind) const;
    const service_time& of_target() const { return target_estimate_; }

    // Returns true for one request that is to run whatever its estimate, if nothing was measured
    // for a while. Otherwise a slow minute that raises the estimate above every deadline gets all
    // requests refused, and as none runs, the estimate never falls.
    bool take_probe(std::string_view member, work_class kind, clock::time_point now);

private:
    using by_class = std::array<service_time, work_classes>;

    // nullptr if neither the member's class nor the class was measured yet.
    const service_time* find_estimate(std::string_view member, work_class kind) const;

    service_time target_estimate_;
    clock::time_point last_probe_;
    by_class by_class_;
    std::map<std::string, by_class, std::less<>> by_member_;  // at most max_members
};

}  // namespace bramleytrack::load
