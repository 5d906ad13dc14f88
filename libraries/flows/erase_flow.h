// Removes the record of a flow together with its connection count.
#pragma once

#include "flows/flow_table.h"
#include "load/target_load.h"

namespace bramleytrack::flows {

// Erases the flow's record and, if the target is owned, decrements its connection count.
inline void erase_flow(flow_table& flows, load::target_loads& loads, routing::flow_key key) {
    const auto* existing = flows.find(key);
    if (existing == nullptr) {
        return;
    }
    const auto load = loads.find(existing->record.target);
    if (load != loads.end()) {
        --load->second.connections;
    }
    flows.erase(key);
}

}  // namespace bramleytrack::flows
