// Resets the flows on targets whose zone was taken out by operators, or that now belong to another
// service, so that callers open new flows on other targets.
//
// If all flows of a zone were reset at once, their callers would reconnect to the other zones at
// the same moment. The resets are therefore spread evenly over reset_period, which gives a steady
// rate of new flows and still reaches every caller within the few seconds in which all traffic to
// the zone has to stop.
#pragma once

#include <cstdint>
#include <vector>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "load/target_load.h"
#include "outbox/outbox.h"

namespace bramleytrack::flows {

constexpr clock::duration reset_period{2'000};

class flow_resetter {
public:
    // References to the parts of the instance that this class uses.
    struct shared_state {
        const configuration::configuration& configuration;
        flows::flow_table& flows;
        flows::location_table& locations;
        load::target_loads& loads;
        outbox& out;
    };

    explicit flow_resetter(const shared_state& shared) : shared_{shared} {}

    void on_tick();

private:
    void collect_flows();
    void reset_flow(routing::flow_key key);
    // The code to reset the flow with; ok if the flow continues.
    result_code reset_reason(const flow& existing) const;

    shared_state shared_;
    std::int64_t collected_version_ = 0;  // of the configuration that flows_to_reset_ is based on
    std::vector<routing::flow_key> flows_to_reset_;
    std::size_t resets_per_tick_ = 0;
};

}  // namespace bramleytrack::flows
