// The state of one instance, grouped so that each subsystem receives references to just the parts
// that it uses (its shared_state) and metrics can be read from one place.
#pragma once

#include "configuration/configuration.h"
#include "configuration/history.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "load/placement.h"
#include "load/target_load.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "records/request_table.h"

namespace bramleytrack {

struct context {
    explicit context(identity self_identity)
        : self{std::move(self_identity)},
          peers{self.name, self.zone},
          ownership{self.name, self.zone, self.started},
          out{self, configuration, peers, counts} {}
    context(const context&) = delete;
    context& operator=(const context&) = delete;

    identity self;
    counters counts;
    configuration::configuration configuration;
    // This instance has read the active text from the store itself, not only received it from a
    // peer.
    bool is_configuration_confirmed = false;
    configuration::history previous;  // configurations that were in force earlier
    membership::peer_table peers;
    membership::ownership ownership;
    bool is_leaving = false;
    flows::flow_table flows;          // on targets that this instance owns
    flows::location_table locations;  // of flows on targets of peers; this instance is their home
    records::request_table requests;
    load::target_loads loads;
    load::reported_loads reported_loads;
    load::unreported_placements placements;  // flows that this home has placed on peers' targets
    outbox out;
};

}  // namespace bramleytrack
