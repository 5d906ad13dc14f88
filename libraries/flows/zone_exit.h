// Ends the flows on targets whose zone operators have taken out, or that serve another service now,
// so that their callers open new ones elsewhere.
//
// Load: all flows of a zone end at once and their callers come back together. Spread evenly over
// exit_time, the other zones get the new flows at a steady rate, and every caller hears within the
// few seconds in which the zone must fall silent.
#pragma once

#include <cstdint>
#include <vector>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "load/target_load.h"
#include "outbox/outbox.h"

namespace bramleytrack::flows {

constexpr clock::duration exit_time{2'000};

class zone_exit {
public:
    // What it needs of the instance.
    struct shared_state {
        const configuration::configuration& configuration;
        flows::flow_table& flows;
        flows::location_table& locations;
        load::target_loads& loads;
        outbox& out;
    };

    explicit zone_exit(const shared_state& shared) : shared_{shared} {}

    void on_tick();

private:
    void collect();
    void end(routing::flow_key key);
    // ok: the flow goes on.
    result_code reason(const flow& subject) const;

    shared_state shared_;
    std::int64_t version_ = 0;  // of the configuration that `ending_` was made from
    std::vector<routing::flow_key> ending_;
    std::size_t per_tick_ = 0;
};

}  // namespace bramleytrack::flows
