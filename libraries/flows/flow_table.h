// The records of the flows on targets that this instance owns. What it knows of other flows as
// their home is in location_table.
//
// The home of a flow is the owner of the first candidate of its key. It alone places the flow.
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
    // The home that knows where the flow is; see location_announcer.h. 0: none was told.
    std::uint32_t home_mark = 0;
};

// Failure: two flows with one 64-bit key, or an address that now belongs to another service. A
// packet would reach a stranger's target; the record names both ends, so they are compared.
bool is_same_flow(const flow& known, const wire::packet& content);

class flow_table {
public:
    flow* find(routing::flow_key key);
    const flow* find(routing::flow_key key) const;

    // Replaces what was known of the same key.
    flow& put(const wire::flow_record& record, flow_state state, clock::time_point now);
    void erase(routing::flow_key key);

    // Records of the flows on `target`.
    std::vector<wire::flow_record> records_on(std::string_view target) const;
    std::vector<routing::flow_key> unused_since(clock::time_point limit) const;
    int count_on(std::string_view target) const;
    void erase_on(std::string_view target);

    std::size_t size() const { return flows_.size(); }
    const std::unordered_map<routing::flow_key, flow>& all() const { return flows_; }

private:
    std::unordered_map<routing::flow_key, flow> flows_;
    std::unordered_map<std::string, int> count_by_target_;  // equals the records per target
};

}  // namespace bramleytrack::flows
