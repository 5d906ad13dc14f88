// Forwards a caller's packet to the home of its flow, and from there to the owner of the flow's
// target.
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

// A packet passes at most this many instances: entry, home, owner, and one more while an ownership
// moves. More hops mean that the views of two instances differ; the packet is dropped, and the
// caller's retransmission is routed again.
constexpr int max_hops = 4;

// Retry-After for a flow whose home is unreachable: the time to detect a failure.
constexpr clock::duration unreachable_retry_after{1000};

// A target without an owner gets a new one within this time: dead_after for the old owner, one
// heartbeat, and one tick of the successor.
constexpr clock::duration takeover_time =
    membership::dead_after + membership::heartbeat_interval + clock::duration{500};

class router {
public:
    // References to the parts of the instance that this class uses.
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

    // Forwards the packet to the owner of its flow's first candidate, which may be this instance.
    void forward_to_home(wire::forward forwarded, clock::time_point now);
    void forward_to_owner(wire::forward forwarded, clock::time_point now);

private:
    void forward_to_peer(wire::forward forwarded, std::string_view peer);
    bool can_be_taken_over(const std::string& target, clock::time_point now) const;
    void handle_missing_owner(const std::string& target, const wire::packet& packet,
                              clock::time_point now);
    void fail_packet(const wire::packet& packet, result_code code);

    shared_state shared_;
    packet_path& path_;
    // When each target was first seen without an owner; bounded by the number of configured
    // targets.
    std::unordered_map<std::string, clock::time_point> ownerless_since_;
};

}  // namespace bramleytrack::entry
