// First hop and forwarding: from a caller's packet to the flow's home, from there to the owner.
#pragma once

#include <string>
#include <unordered_map>

#include "configuration/configuration.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "outbox/packet_path.h"

namespace bramleytrack::entry {

// A packet crosses at most this many instances: entry, home, owner, and one more for an ownership
// that is moving. More means that two views disagree; the caller's retransmission settles it.
constexpr int max_hops = 4;

// Come-back time of a flow whose home can't be reached: one failure detection.
constexpr clock::duration unreachable_retry_after{1000};

// A target without an owner gets one within this time: its owner's silence, one heartbeat and one
// tick of the successor.
constexpr clock::duration takeover_time =
    membership::dead_after + membership::heartbeat_interval + clock::duration{500};

class router {
public:
    // What it needs of the instance.
    struct shared_state {
        const identity& self;
        counters& counts;
        const configuration::configuration& configuration;
        membership::peer_table& peers;
        membership::ownership& ownership;
        outbox& out;
    };

    router(const shared_state& shared, packet_path& path) : shared_{shared}, path_{path} {}

    void on_caller_packet(wire::packet content, clock::time_point now);

    // Sends `content` to the owner of its flow's first candidate, which may be this instance.
    void forward_to_home(wire::forward content, clock::time_point now);
    void forward_to_owner(wire::forward content, clock::time_point now);

private:
    void pass_on(wire::forward content, std::string_view peer);
    bool can_be_taken_over(const std::string& target, clock::time_point now) const;
    void on_no_owner(const std::string& target, const wire::packet& subject, clock::time_point now);
    void give_up(const wire::packet& subject, result_code code);

    shared_state shared_;
    packet_path& path_;
    // Since when no owner of these targets was seen; bounded by the configuration's targets.
    std::unordered_map<std::string, clock::time_point> without_owner_;
};

}  // namespace bramleytrack::entry
