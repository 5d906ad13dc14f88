// A token bucket: refilled at a given rate per second, up to a maximum of `burst` tokens.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace bramleytrack {

class rate_budget {
public:
    // Starts full.
    explicit rate_budget(double burst) : burst_{burst}, tokens_{burst} {}

    // Adds the tokens for the time since the previous call, and returns how many are available.
    double refill(double per_second, clock::time_point now) {
        constexpr double milliseconds_per_second = 1000.0;
        if (refilled_at_ != clock::time_point{}) {
            const auto elapsed = static_cast<double>((now - refilled_at_).count());
            tokens_ = std::min(burst_, tokens_ + elapsed / milliseconds_per_second * per_second);
        }
        refilled_at_ = now;
        return tokens_;
    }
    void consume(double tokens) { tokens_ -= tokens; }
    clock::time_point refilled_at() const { return refilled_at_; }

private:
    double burst_;
    double tokens_;  // available at refilled_at_
    clock::time_point refilled_at_;
};

}  // namespace bramleytrack
