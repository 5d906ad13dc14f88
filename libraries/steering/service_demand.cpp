#include "steering/service_demand.h"

#include <cmath>

namespace bramleytrack::steering {

void service_demand::on_asked(clock::time_point now) {
    asked_ = recent(now) + 1;
    asked_at_ = now;
}

double service_demand::recent(clock::time_point now) const {
    const auto elapsed = static_cast<double>((now - asked_at_).count());
    return asked_ * std::exp(-elapsed / static_cast<double>(memory.count()));
}

}  // namespace bramleytrack::steering
