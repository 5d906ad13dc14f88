#include "steering/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace bramleytrack::steering {
namespace {

// One flow each half second is the least, so smaller limits have no meaning.
constexpr double lowest = 0.05;

}  // namespace

double concurrency_limit::value(int slots) const {
    const double highest = highest_by_slot * std::max(1, slots);
    return value_ > 0 ? std::min(value_, highest) : highest;
}

void concurrency_limit::on_answer(clock::duration took, clock::duration objective, int open,
                                  int slots) {
    const double current = value(slots);
    if (took > objective) {
        value_ = std::max(lowest, std::min(current, open + 1.0) * fall);
        return;
    }
    // Answers of a target that isn't at its limit say nothing of what it bears beyond.
    if (open + 1.0 >= current) {
        value_ = current + rise;
    }
}

bool concurrency_limit::has_room(double open, int slots, double answer_ms,
                                 clock::time_point opened_at, clock::time_point now) const {
    const double current = value(slots);
    if (open + 1 <= current) {
        return true;
    }
    const clock::duration spacing{std::llround(answer_ms / current)};
    return open < 1 && now - opened_at >= std::min(probe_interval, spacing);
}

}  // namespace bramleytrack::steering
