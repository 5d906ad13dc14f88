// The end of a flow's record on an owned target.
#pragma once

#include "flows/flow_table.h"
#include "load/target_load.h"

namespace bramleytrack::flows {

// Forgets the flow and frees its connection if the target is owned.
inline void forget_flow(flow_table& flows, load::target_loads& loads, routing::flow_key key) {
    const auto* known = flows.find(key);
    if (known == nullptr) {
        return;
    }
    const auto load = loads.find(known->record.target);
    if (load != loads.end()) {
        --load->second.connections;
    }
    flows.erase(key);
}

}  // namespace bramleytrack::flows
