#include "steering/path_health.h"

#include <cmath>

namespace bramleytrack::steering {

void path_health::on_answer(bool was_retransmitted, clock::time_point now) {
    const auto elapsed = static_cast<double>((now - counted_at_).count());
    const double decay = std::exp2(-elapsed / static_cast<double>(limits_.half_life.count()));
    answers_ = answers_ * decay + 1;
    retransmitted_answers_ = retransmitted_answers_ * decay + (was_retransmitted ? 1 : 0);
    counted_at_ = now;
    last_response_at_ = now;
}

bool path_health::is_healthy(clock::time_point now) const {
    return now - last_response_at_ <= limits_.max_response_age &&
           retransmitted_answers_ <= limits_.max_retransmitted_fraction * answers_;
}

}  // namespace bramleytrack::steering
