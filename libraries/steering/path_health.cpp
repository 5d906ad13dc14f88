#include "steering/path_health.h"

#include <cmath>

namespace bramleytrack::steering {

void path_health::on_answer(bool was_repeated, clock::time_point now) {
    const auto elapsed = static_cast<double>((now - counted_at_).count());
    const double kept = std::exp2(-elapsed / static_cast<double>(limits_.half_life.count()));
    answers_ = answers_ * kept + 1;
    repeated_ = repeated_ * kept + (was_repeated ? 1 : 0);
    counted_at_ = now;
    answered_at_ = now;
}

bool path_health::is_sound(clock::time_point now) const {
    return now - answered_at_ <= limits_.life && repeated_ <= limits_.most_repeated * answers_;
}

}  // namespace bramleytrack::steering
