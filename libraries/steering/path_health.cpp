#include "steering/path_health.h"

#include <cmath>

namespace bramleytrack::steering {

void path_health::on_answer(bool was_repeated, clock::time_point now) {
    const auto elapsed = static_cast<double>((now - counted_at_).count());
    const double decay = std::exp2(-elapsed / static_cast<double>(limits_.half_life.count()));
    answers_ = answers_ * decay + 1;
    repeated_answers_ = repeated_answers_ * decay + (was_repeated ? 1 : 0);
    counted_at_ = now;
    answered_at_ = now;
}

bool path_health::is_healthy(clock::time_point now) const {
    return now - answered_at_ <= limits_.max_response_age &&
           repeated_answers_ <= limits_.max_repeated_share * answers_;
}

}  // namespace bramleytrack::steering
