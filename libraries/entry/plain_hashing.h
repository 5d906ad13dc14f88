// The baseline that the design is measured against: each instance sends a packet to the first
// eligible candidate of its flow's key, keeps no record, and counts nothing.
//
// Never used in service: a drain, a new target or a zone that leaves moves flows to targets that
// don't know them.
#pragma once

#include "configuration/configuration.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"

namespace bramleytrack::entry {

class plain_hashing {
public:
    // What it needs of the instance.
    struct shared_state {
        counters& counts;
        const configuration::configuration& configuration;
        outbox& out;
    };

    explicit plain_hashing(const shared_state& shared) : shared_{shared} {}

    void on_caller_packet(wire::packet content);
    void on_target_packet(const wire::packet& content);

private:
    shared_state shared_;
};

}  // namespace bramleytrack::entry
