// A budget that fills up with time: so much a second, and never more than a burst.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace bramleytrack {

class rate_budget {
public:
    // Full at first.
    explicit rate_budget(double burst) : burst_{burst}, left_{burst} {}

    // Fills up for the time since this was last called, and returns what is left.
    double refill(double per_second, clock::time_point now) {
        constexpr double milliseconds_per_second = 1000.0;
        if (filled_at_ != clock::time_point{}) {
            const auto elapsed = static_cast<double>((now - filled_at_).count());
            left_ = std::min(burst_, left_ + elapsed / milliseconds_per_second * per_second);
        }
        filled_at_ = now;
        return left_;
    }
    void take(double amount) { left_ -= amount; }
    clock::time_point filled_at() const { return filled_at_; }

private:
    double burst_;
    double left_;  // as of filled_at_
    clock::time_point filled_at_;
};

}  // namespace bramleytrack
