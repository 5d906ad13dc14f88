#include "steering/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bramleytrack::steering {
namespace {

// A fraction of a small target's capacity can be less than one request and would keep it idle. The
// same minimum applies to an instance's part of a service: each instance may always have one
// request open.
constexpr double min_capacity = 1;

// Targets queue a few requests for each slot and reject the others.
constexpr double max_entitled_requests_per_slot = 4;

double capacity_of(double slots, double capacity_fraction) {
    return open_requests_per_slot * slots * capacity_fraction;
}

// In standard deviations of a Poisson count. An instance with a small part often has more requests
// open than its part, and refusals of those would leave room unused.
constexpr double part_margin = 1;
// Of a small service, the part of each instance is less than one request.
constexpr double min_part = 2;

// Whether this instance may use one more of `limit` requests: there is room, and no more of it is
// used here than this instance's fraction of the demand.
bool has_room(double local, double remote, double limit, double fraction) {
    const double room = limit - local - remote;
    if (room < 1) {
        return false;
    }
    const double part = fraction * (limit + room);
    return local + 1 <= part + part_margin * std::sqrt(part) + min_part;
}

// Measured work contains the time on the network, so slots are busy for less.
constexpr double max_commitment = 1.25;

bool is_overcommitted(const route_claim& claim, double capacity_fraction) {
    const double part = claim.entitlement * claim.local_fraction * capacity_fraction;
    return claim.begun_local > max_commitment * part;
}

}  // namespace

void service_usage::add(const target_usage& target) {
    const double open = target.local + target.remote;
    const double capacity = capacity_of(target.slots, 1);
    const double counted_fraction = open > capacity ? capacity / open : 1;
    slots_ += target.slots;
    local_ += target.local * counted_fraction;
    remote_ += target.remote * counted_fraction;
    remote_over_capacity_ += target.remote * (1 - counted_fraction);
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

double service_usage::local_demand_fraction() const {
    const double total = demand_.local + demand_.remote;
    return total > 0 ? demand_.local / total : 1;
}

bool has_capacity(const target_usage& target, double capacity_fraction) {
    return has_capacity(target, capacity_fraction, open_requests_per_slot);
}

bool has_capacity(const target_usage& target, double capacity_fraction, double requests_per_slot) {
    return target.local + target.remote + 1 <=
           std::max(min_capacity, requests_per_slot * target.slots * capacity_fraction);
}

bool has_capacity(const service_usage& service, double capacity_fraction) {
    const double capacity = capacity_of(service.slots(), capacity_fraction);
    return service.open_local() + service.open_remote() + 1 <= capacity ||
           service.open_local() + 1 <=
               std::max(min_capacity, capacity * service.local_demand_fraction());
}

std::string_view name_of(admission_ground ground) {
    constexpr std::array<std::string_view, 4> names{"none", "free_capacity", "entitlement",
                                                    "local_entitlement"};
    return names.at(static_cast<std::size_t>(ground));
}

double open_requests_of(double slots, double work_ratio) {
    return work_ratio > 0 ? slots * (1 + 1 / work_ratio) : open_requests_per_slot * slots;
}

admission_ground admit(const service_usage& service, const route_claim& claim,
                       double capacity_fraction) {
    // Each instance may always have one request open: its fraction may lag behind its demand.
    if (claim.open_local < 1) {
        return admission_ground::local_entitlement;
    }
    if (claim.is_constrained && is_overcommitted(claim, capacity_fraction)) {
        return admission_ground::none;
    }
    if (has_free_capacity(service, claim.reserve, claim.service_fraction, capacity_fraction)) {
        return admission_ground::free_capacity;
    }
    // Not by its open requests: these grow with the wait behind the open flows of other routes.
    const double most = max_entitled_requests_per_slot * service.slots();
    if (!claim.is_constrained && capacity_fraction >= 1 &&
        claim.open_local + claim.open_remote + 1 <= most) {
        return admission_ground::entitlement;
    }
    const double entitled =
        open_requests_of(claim.entitlement, claim.work_ratio) * capacity_fraction;
    if (has_room(claim.open_local, claim.open_remote, entitled, claim.local_fraction)) {
        return admission_ground::entitlement;
    }
    return claim.open_local + 1 <= entitled * claim.local_fraction
               ? admission_ground::local_entitlement
               : admission_ground::none;
}

bool has_free_capacity(const service_usage& service, double reserve, double local_fraction,
                       double capacity_fraction) {
    const double capacity = capacity_of(service.slots(), capacity_fraction);
    return has_room(service.open_local(), service.open_remote(), capacity - reserve,
                    local_fraction);
}

double entitled_requests_per_slot(clock::duration latency_objective, double work_ms) {
    if (work_ms <= 0) {
        return open_requests_per_slot;
    }
    const double half_objective = static_cast<double>(latency_objective.count()) / 2;
    return std::clamp(half_objective / work_ms, open_requests_per_slot,
                      max_entitled_requests_per_slot);
}

}  // namespace bramleytrack::steering
