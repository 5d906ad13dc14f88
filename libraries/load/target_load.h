// The load of one owned target, as its owner counts it.
#pragma once

#include <map>
#include <string>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "load/cold_start.h"
#include "load/demand.h"
#include "load/fair_queue.h"
#include "load/inherited_connections.h"
#include "load/retry_after_plan.h"
#include "load/service_time.h"
#include "load/strategies.h"
#include "records/request_table.h"

namespace bramleytrack::load {

struct running_request {
    std::string member;
    work_class kind = 0;
    double cost = 0;  // expected service time, milliseconds
    clock::time_point dispatched_at;
};

struct target_load {
    int connections = 0;    // flows on the target, those being opened included
    int slots_in_use = 0;   // requests dispatched and not yet ended
    int assumed_slots = 0;  // slots that an earlier owner's requests may occupy after a takeover
    int inherited_answers = 0;        // answers to an earlier owner's requests since the takeover
    clock::time_point assumed_until;  // until then an earlier owner's requests may run
    inherited_connections inherited;  // not among `connections`
    cold_start cold;
    fair_queue queue;
    service_times times;
    demand member_demand;
    retry_after_plan retry_after;
    // Dispatched by this owner; those taken over are counted in slots_in_use only.
    std::map<records::request_id, running_request> running;
    const strategies* strategy = &default_strategies();
};

using target_loads = std::map<std::string, target_load, std::less<>>;          // of owned targets
using reported_loads = std::map<std::string, wire::target_load, std::less<>>;  // of peers' targets

}  // namespace bramleytrack::load
