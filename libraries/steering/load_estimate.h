// Estimates the load of targets and of whole services from this instance's own packets and from
// peers' reports.
//
// Handles services with thousands of targets: each opening is decided by the sum over all targets
// of its service, and summing them for each one would cost processor time in proportion to the
// fleet. The sums are cached for a time that grows with the number of targets, so that computing
// them takes a bounded share of the processor time whatever the fleet's size. Flows that are placed
// meanwhile are added at once.
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
#include "steering/target_speeds.h"

namespace bramleytrack::steering {

class load_estimate {
public:
    load_estimate(const discovery::directory& directory, const flow_tracker& flows,
                  const remote_load& remote, const target_speeds& speeds)
        : directory_{directory}, flows_{flows}, remote_{remote}, speeds_{speeds} {}

    // Whether the target takes new flows and operators haven't taken its zone out.
    bool accepts_flows(const discovery::target& target, clock::time_point now) const;
    target_usage usage_of(const discovery::target& target, clock::time_point now) const;
    bool is_ejected(const discovery::target& target, clock::time_point now) const;

    // The usage of the service's targets that accept flows and aren't cold, in the zones for which
    // `is_allowed` holds. Ejected targets are left out, unless they are more than half.
    using zone_filter = std::function<bool(std::string_view zone)>;
    service_usage usage_of(const discovery::pool& pool, const local_and_remote_demand& demand,
                           const zone_filter& is_allowed, clock::time_point now);
    // The slots of the same targets by zone, at the targets' present speed.
    std::map<std::string_view, double> slots_by_zone(const discovery::pool& pool,
                                                     clock::time_point now);
    // A flow was placed on a target of the service.
    void on_flow_placed(std::string_view service);

private:
    struct zone_totals {
        service_usage accepting;
        service_usage ejected;
        std::size_t targets = 0;
        std::size_t ejected_targets = 0;
    };
    struct service_totals {
        std::map<std::string, zone_totals, std::less<>> zones;
        double placed_flows = 0;  // since the totals were computed
        clock::time_point valid_until;
    };

    const service_totals& totals_of(const discovery::pool& pool, clock::time_point now);

    const discovery::directory& directory_;
    const flow_tracker& flows_;
    const remote_load& remote_;
    const target_speeds& speeds_;
    std::map<std::string, service_totals, std::less<>> totals_;  // by service
};

}  // namespace bramleytrack::steering
