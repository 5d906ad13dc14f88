#include "steering/service_demand.h"

#include <cmath>

namespace bramleytrack::steering {

double service_demand::decaying_count::recent(clock::time_point now) const {
    const auto elapsed = static_cast<double>((now - at).count());
    return value * std::exp(-elapsed / static_cast<double>(memory.count()));
}

void service_demand::on_asked(int priority, clock::time_point now) {
    auto& asked = by_priority_[priority];
    asked.value = asked.recent(now) + 1;
    asked.at = now;
}

double service_demand::recent(clock::time_point now) const {
    double sum = 0;
    for (const auto& [priority, asked] : by_priority_) {
        sum += asked.recent(now);
    }
    return sum;
}

double service_demand::recent_higher_priority(int priority, clock::time_point now) const {
    double sum = 0;
    for (const auto& [other, asked] : by_priority_) {
        sum += other < priority ? asked.recent(now) : 0;
    }
    return sum;
}

}  // namespace bramleytrack::steering
