#include "steering/admission.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

// A share of the room of a small target can be less than one request, and would keep it idle.
constexpr double least_room = 1;

double room_of(double slots, double share) {
    return open_requests_per_slot * slots * share;
}

}  // namespace

void service_usage::add(const target_usage& target) {
    const double open = target.here + target.elsewhere;
    const double most = room_of(target.slots, 1);
    const double counted = open > most ? most / open : 1;
    slots_ += target.slots;
    here_ += target.here * counted;
    elsewhere_ += target.elsewhere * counted;
    beyond_room_ += target.elsewhere * (1 - counted);
}

void service_usage::add(const service_usage& others) {
    slots_ += others.slots_;
    here_ += others.here_;
    elsewhere_ += others.elsewhere_;
    beyond_room_ += others.beyond_room_;
}

void service_usage::raise_remote_open_to(double open) {
    elsewhere_ = std::max(elsewhere_, open - beyond_room_);
}

double service_usage::local_demand_share() const {
    const double all = wants_.here + wants_.elsewhere;
    return all > 0 ? wants_.here / all : 1;
}

bool has_room(const target_usage& target, double share) {
    return target.here + target.elsewhere + 1 <= std::max(least_room, room_of(target.slots, share));
}

bool has_room(const service_usage& service, double share) {
    const double room = room_of(service.slots(), share);
    return service.open_local() + service.open_remote() + 1 <= room ||
           service.open_local() + 1 <= std::max(least_room, room * service.local_demand_share());
}

}  // namespace bramleytrack::steering
