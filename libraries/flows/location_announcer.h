// Reports the locations of flows on owned targets to the homes of these flows after homes have
// moved.
//
// A home without a location for a packet finds the flow by a lookup, so correctness does not depend
// on announcements. They avoid the lookups that a busy fleet would otherwise run after a change,
// and they preserve the location of flows whose target is no longer among their candidates. They
// may therefore be slow, and they are kept within the control traffic budget: one message of at
// most max_keys_per_tick keys per tick. Only flows whose home has changed since its last
// acknowledgement are announced; a change that moves no home costs a scan and no message.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"

namespace bramleytrack::flows {

// 10 ticks per second and 10 bytes per key: less than 5 KB/s.
constexpr std::size_t max_keys_per_tick = 40;
// 200,000 flows are scanned in 5 s.
constexpr std::size_t max_scanned_per_tick = 4'000;

class location_announcer {
public:
    // References to the parts of the instance that this class uses.
    struct shared_state {
        const identity& self;
        const configuration::configuration& configuration;
        membership::peer_table& peers;
        membership::ownership& ownership;
        flows::flow_table& flows;
        outbox& out;
    };

    explicit location_announcer(const shared_state& shared) : shared_{shared} {}

    // Schedules a scan of all flows, because homes may have moved.
    void request_scan() { is_scan_pending_ = true; }
    void on_tick(clock::time_point now);
    void on_acknowledged(const wire::flow_locations_acknowledged& acknowledged);
    bool is_idle() const {
        return unscanned_keys_.empty() && outstanding_.empty() && !is_scan_pending_;
    }

private:
    struct batch {
        std::string home;
        std::uint32_t home_id = 0;
        wire::flow_locations content;
        clock::time_point sent;
        int transmissions = 0;
    };

    void scan(clock::time_point now);
    void resend_due(clock::time_point now);
    void send(batch& to_send, clock::time_point now);

    shared_state shared_;
    bool is_scan_pending_ = false;
    std::vector<routing::flow_key> unscanned_keys_;  // keys that the running scan has not visited
    std::map<std::int64_t, batch> outstanding_;      // unacknowledged batches by number
    std::int64_t next_batch_ = 1;
};

// Identifies one incarnation of a home; 0 if there is no home. A restarted home has lost its
// locations, so its id differs and the flows are announced to it again.
std::uint32_t home_id_of(const location_announcer::shared_state& shared, std::string_view service,
                         routing::flow_key key, clock::time_point now);

}  // namespace bramleytrack::flows
