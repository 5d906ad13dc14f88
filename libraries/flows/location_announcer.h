// Tells the homes of flows where these are, after homes have moved.
//
// A packet whose home knows nothing is looked up by queries, so announcements are no premise of any
// promise: they spare the lookups of a busy fleet, and keep flows known whose target has fallen out
// of their candidates. So they may be slow and are kept within the control budget: one message of
// at most keys_per_tick keys a tick. Only flows whose home has changed since it was last told are
// announced; a change that moves no home costs a scan and no message.
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

// 10 ticks a second and 10 bytes a key: under 5 KB a second.
constexpr std::size_t keys_per_tick = 40;
// 200,000 flows are looked through in 5 s.
constexpr std::size_t scanned_per_tick = 4'000;

class location_announcer {
public:
    // What it needs of the instance.
    struct shared_state {
        const identity& self;
        const configuration::configuration& configuration;
        membership::peer_table& peers;
        membership::ownership& ownership;
        flows::flow_table& flows;
        outbox& out;
    };

    explicit location_announcer(const shared_state& shared) : shared_{shared} {}

    // Homes may have moved.
    void restart() { is_scan_wanted_ = true; }
    void on_tick(clock::time_point now);
    void on_acknowledged(const wire::flow_locations_acknowledged& acknowledged);
    bool is_idle() const { return scan_.empty() && outstanding_.empty() && !is_scan_wanted_; }

private:
    struct batch {
        std::string home;
        std::uint32_t home_mark = 0;
        wire::flow_locations content;
        clock::time_point sent;
        int copies = 0;
    };

    void scan(clock::time_point now);
    void repeat(clock::time_point now);
    void send(batch& subject, clock::time_point now);

    shared_state shared_;
    bool is_scan_wanted_ = false;
    std::vector<routing::flow_key> scan_;        // keys that are still to be looked at
    std::map<std::int64_t, batch> outstanding_;  // sent and not acknowledged, by batch number
    std::int64_t next_batch_ = 1;
};

// Identifies one life of a home; 0 is no home. Another life has other gaps and is told again.
std::uint32_t mark_of_home(const location_announcer::shared_state& shared, std::string_view service,
                           routing::flow_key key, clock::time_point now);

}  // namespace bramleytrack::flows
