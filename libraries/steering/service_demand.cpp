#include "steering/service_demand.h"

#include <cmath>

namespace bramleytrack::steering {

double service_demand::decaying_count::recent(clock::time_point now) const {
    const auto elapsed = static_cast<double>((now - updated_at).count());
    return value * std::exp(-elapsed / static_cast<double>(time_constant.count()));
}

void service_demand::on_request(int priority, clock::time_point now) {
    auto& count = by_priority_[priority];
    count.value = count.recent(now) + 1;
    count.updated_at = now;
}

double service_demand::recent(clock::time_point now) const {
    double sum = 0;
    for (const auto& [priority, count] : by_priority_) {
        sum += count.recent(now);
    }
    return sum;
}

double service_demand::recent_higher_priority(int priority, clock::time_point now) const {
    double sum = 0;
    for (const auto& [other, count] : by_priority_) {
        sum += other < priority ? count.recent(now) : 0;
    }
    return sum;
}

}  // namespace bramleytrack::steering
