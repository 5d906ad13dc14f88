// Records of the flows on the targets that this instance owns. Flows of which this instance is only
// the home are kept in location_table.
//
// The home of a flow is the owner of the first candidate of its key. Only the home places the flow.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "routing/candidates.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::flows {

enum class flow_state {
    opening,      // sent to its target, not yet accepted
    established,  // accepted by its target
};

struct flow {
    wire::flow_record record;
    flow_state state = flow_state::opening;
    clock::time_point last_used;
    // Identifies the home that has acknowledged the location of this flow, see
    // location_announcer.h. 0: none has.
    std::uint32_t home_id = 0;
};

// Compares both ends of the flow, because a 64-bit key may collide and a service address may have
// been reassigned to another service. Without this check the packet would reach a target of another
// flow or service.
bool is_same_flow(const flow& existing, const wire::packet& content);

class flow_table {
public:
    flow* find(routing::flow_key key);
    const flow* find(routing::flow_key key) const;

    // Replaces an existing record with the same key.
    flow& put(const wire::flow_record& record, flow_state state, clock::time_point now);
    void erase(routing::flow_key key);

    std::vector<wire::flow_record> records_on(std::string_view target) const;
    std::vector<routing::flow_key> unused_since(clock::time_point limit) const;
    int count_on(std::string_view target) const;
    void erase_on(std::string_view target);

    std::size_t size() const { return flows_.size(); }
    const std::unordered_map<routing::flow_key, flow>& all() const { return flows_; }

private:
    std::unordered_map<routing::flow_key, flow> flows_;
    std::unordered_map<std::string, int> count_by_target_;  // number of entries of flows_ by target
};

}  // namespace bramleytrack::flows
