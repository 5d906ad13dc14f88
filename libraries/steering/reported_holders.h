// Flows whose holders peers have reported, and of which no packet has arrived here since.
//
// A caller that has received the token of another target keeps it until the holder responds again,
// which may take until its next request. If the routers send that request through another instance
// than the packets before it, only a report tells that instance where it belongs.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "steering/held_flow.h"

namespace bramleytrack::steering {

struct reported_holders_limits {
    // Flows that have been idle for longer may be discarded.
    clock::duration lifetime{15'000};
    std::size_t max_flows = 4'096;
};

class reported_holders {
public:
    explicit reported_holders(reported_holders_limits limits = {}) : limits_{limits} {}

    void add(const held_flow& report, clock::time_point now);
    std::optional<routing_token> find(const segment& packet) const;
    // Removes the report on the packet's flow, if there is one. Returns whether it names the target
    // of the packet's token.
    bool take(const segment& packet);
    void expire(clock::time_point now);
    std::size_t size() const { return flows_.size(); }

private:
    struct entry {
        held_flow report;
        clock::time_point received_at;
    };

    reported_holders_limits limits_;
    std::unordered_map<flow_key, entry, flow_key_hash> flows_;
};

}  // namespace bramleytrack::steering
