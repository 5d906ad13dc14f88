// A sum whose terms decay with their age, which gives a moving average of a rate.
//
// A half-life of 350 ms (500 ms to 1/e) is longer than the wait in a full queue and shorter than
// the deadlines that callers set.
#pragma once

#include <cmath>

#include "base/clock.h"

namespace bramleytrack::load {

class decaying_sum {
public:
    void add(double amount, clock::time_point now) {
        sum_ = at(now) + amount;
        updated_at_ = now;
    }

    // Added amounts per millisecond, recently.
    double rate(clock::time_point now) const { return at(now) / time_constant; }

private:
    static constexpr double time_constant = 500;  // milliseconds

    double at(clock::time_point now) const {
        return sum_ * std::exp(-static_cast<double>((now - updated_at_).count()) / time_constant);
    }

    double sum_ = 0;  // as of updated_at_
    clock::time_point updated_at_;
};

}  // namespace bramleytrack::load
