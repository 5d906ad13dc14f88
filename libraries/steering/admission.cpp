#include "steering/admission.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

// A share of the room of a small target can be less than one request, and would keep it idle.
constexpr double least_room = 1;

double room_of(double slots, double share) {
    return open_by_slot * slots * share;
}

}  // namespace

void service_use::add(const target_use& target) {
    const double open = target.here + target.elsewhere;
    const double most = room_of(target.slots, 1);
    const double counted = open > most ? most / open : 1;
    slots_ += target.slots;
    here_ += target.here * counted;
    elsewhere_ += target.elsewhere * counted;
    beyond_room_ += target.elsewhere * (1 - counted);
}

void service_use::add(const service_use& others) {
    slots_ += others.slots_;
    here_ += others.here_;
    elsewhere_ += others.elsewhere_;
    beyond_room_ += others.beyond_room_;
}

void service_use::note_open_elsewhere(double open) {
    elsewhere_ = std::max(elsewhere_, open - beyond_room_);
}

double service_use::own_part() const {
    const double all = wants_.here + wants_.elsewhere;
    return all > 0 ? wants_.here / all : 1;
}

bool has_room(const target_use& target, double share) {
    return target.here + target.elsewhere + 1 <= std::max(least_room, room_of(target.slots, share));
}

bool has_room(const service_use& service, double share) {
    const double room = room_of(service.slots(), share);
    return service.open_here() + service.open_elsewhere() + 1 <= room ||
           service.open_here() + 1 <= std::max(least_room, room * service.own_part());
}

}  // namespace bramleytrack::steering
