// Baseline for benchmarks: each instance sends a packet to the first eligible candidate of its
// flow's key, without flow records and load counts.
//
// Not for production: a drain, an added target or a zone that is taken out moves flows to targets
// that do not hold them.
#pragma once

#include "configuration/configuration.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"

namespace bramleytrack::entry {

class plain_hashing {
public:
    // References to the parts of the instance that this class uses.
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
