// What this instance knows of the load of targets and of whole services: its own packets, and what
// peers tell.
//
// Load that it answers: an opening is decided by the sum over all targets of a service, and there
// may be thousands of them. The sums are kept for a moment that grows with the number of targets,
// so that making them takes a bounded part of the processor whatever the fleet's size; openings
// that are placed meanwhile are added at once.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/directory.h"
#include "steering/admission.h"
#include "steering/flow_tracker.h"
#include "steering/remote_load.h"

namespace bramleytrack::steering {

class load_estimate {
public:
    load_estimate(const discovery::directory& known, const flow_tracker& flows,
                  const remote_load& loads)
        : known_{known}, flows_{flows}, loads_{loads} {}

    // It is there, and operators haven't taken its zone out.
    bool accepts_flows(const discovery::target& target, clock::time_point now) const;
    target_usage use_of(const discovery::target& target, clock::time_point now) const;
    bool is_ejected(const discovery::target& target, clock::time_point now) const;

    // What the service's targets do that may take flows and aren't cold, in the zones that
    // `is_allowed` names. Shunned ones are left out, unless they are more than half.
    using zone_filter = std::function<bool(std::string_view zone)>;
    service_usage use_of(const discovery::pool& pool, const service_demand_split& wants,
                         const zone_filter& is_allowed, clock::time_point now);
    // A flow was placed on a target of the service.
    void note_placed(std::string_view service);

private:
    struct zone_sum {
        service_usage taking;
        service_usage ejected;
        std::size_t targets = 0;
        std::size_t ejected_targets = 0;
    };
    struct service_sum {
        std::map<std::string, zone_sum, std::less<>> zones;
        double placed_since = 0;
        clock::time_point until;
    };

    const service_sum& sum_of(const discovery::pool& pool, clock::time_point now);

    const discovery::directory& known_;
    const flow_tracker& flows_;
    const remote_load& loads_;
    std::map<std::string, service_sum, std::less<>> sums_;  // by service
};

}  // namespace bramleytrack::steering
