#include "steering/admission.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

// A share of a small target's capacity can be less than one request and would keep it idle.
constexpr double min_capacity = 1;

double capacity_of(double slots, double share) {
    return open_requests_per_slot * slots * share;
}

}  // namespace

void service_usage::add(const target_usage& target) {
    const double open = target.local + target.remote;
    const double capacity = capacity_of(target.slots, 1);
    const double counted_share = open > capacity ? capacity / open : 1;
    slots_ += target.slots;
    local_ += target.local * counted_share;
    remote_ += target.remote * counted_share;
    remote_over_capacity_ += target.remote * (1 - counted_share);
}

void service_usage::add(const service_usage& others) {
    slots_ += others.slots_;
    local_ += others.local_;
    remote_ += others.remote_;
    remote_over_capacity_ += others.remote_over_capacity_;
}

void service_usage::raise_remote_open_to(double open) {
    remote_ = std::max(remote_, open - remote_over_capacity_);
}

double service_usage::local_demand_share() const {
    const double total = demand_.local + demand_.remote;
    return total > 0 ? demand_.local / total : 1;
}

bool has_capacity(const target_usage& target, double share) {
    return target.local + target.remote + 1 <=
           std::max(min_capacity, capacity_of(target.slots, share));
}

bool has_capacity(const service_usage& service, double share) {
    const double capacity = capacity_of(service.slots(), share);
    return service.open_local() + service.open_remote() + 1 <= capacity ||
           service.open_local() + 1 <=
               std::max(min_capacity, capacity * service.local_demand_share());
}

}  // namespace bramleytrack::steering
