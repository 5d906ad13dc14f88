#include "steering/concurrency_limit.h"

#include <algorithm>

namespace bramleytrack::steering {

void concurrency_limit::on_answer(clock::duration took, clock::duration objective, int open) {
    if (took > objective) {
        value_ = std::max(0.0, std::min(value_, open + 1.0) - fall);
        return;
    }
    // Answers of a target that isn't at its limit say nothing of what it bears beyond.
    if (open + 1.0 >= value_) {
        value_ = std::min(highest, value_ + rise);
    }
}

bool concurrency_limit::has_room(double open, clock::time_point opened_at,
                                 clock::time_point now) const {
    return open + 1 <= value_ || (open < 1 && now - opened_at >= probe_interval);
}

}  // namespace bramleytrack::steering
