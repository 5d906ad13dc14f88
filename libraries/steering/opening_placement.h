// Places an opening: chooses its service by the weights of its route, and one of the service's
// targets that has capacity for it.
//
// Handles, besides the load patterns of admission and placement, a route that is split over
// services of which one is full while the other has room: an opening that the chosen service would
// refuse may overflow to another service of the same split. It may use only what that service's own
// routes are not expected to need.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/directory.h"
#include "load/demand.h"
#include "steering/admission.h"
#include "steering/admission_settings.h"
#include "steering/cold_gate.h"
#include "steering/flow_tracker.h"
#include "steering/load_estimate.h"
#include "steering/placement.h"
#include "steering/remote_load.h"
#include "steering/route_usage.h"
#include "steering/segment.h"
#include "steering/service_demand.h"
#include "steering/service_shares.h"
#include "steering/target_speeds.h"
#include "steering/zone_balance.h"

namespace bramleytrack::steering {

// The location of this instance.
struct location {
    std::string zone;
    std::map<std::string, std::string, std::less<>> regions;  // by zone
};

using demand_by_service = std::map<std::string, service_demand, std::less<>>;

// The outcome for one opening, with the inputs that decided it.
struct placement_outcome {
    const discovery::target* target = nullptr;  // null if it was not placed
    placement_failure failure = placement_failure::no_target;
    std::string service;          // of the target, or chosen by the weights; empty without one
    std::string overflowed_from;  // the service chosen by the weights, if another one was used
    std::size_t candidates = 0;   // targets that were eligible
    double capacity_fraction = 1;
    admission_ground ground = admission_ground::none;
    service_usage usage;
    bool has_held_back_cold_target = false;  // that is otherwise eligible
};

class opening_placement {
public:
    // Measurements of this instance; the references must outlive the object.
    struct sources {
        const location& own_location;
        const discovery::directory& directory;
        cold_gate& gate;
        const remote_load& remote;
        const flow_tracker& flows;
        const route_usage& usage;
        const target_speeds& speeds;
        const demand_by_service& demands;
    };

    explicit opening_placement(const sources& from);

    void set_settings(const admission_settings& settings);

    // The service that the weights choose for the flow; null if the route has none.
    const discovery::pool* choose_pool(const discovery::route& route, const segment& packet) const;
    placement_outcome place(const segment& packet, const discovery::route& route,
                            clock::time_point now);
    void on_placed(const placement_outcome& outcome);
    // A request began on an open flow to a target of the service.
    void on_established_request(const discovery::target& target, clock::time_point now);

    bool accepts_flows(const discovery::target& target, clock::time_point now) const {
        return load_estimate_.accepts_flows(target, now);
    }
    target_usage usage_of(const discovery::target& target, clock::time_point now) const {
        return load_estimate_.usage_of(target, now);
    }
    service_usage usage_of(std::string_view service, clock::time_point now);
    const service_standing& standing_of(std::string_view service, clock::time_point now);

private:
    enum class service_role { chosen, overflow };

    struct eligible_targets {
        std::vector<candidate> candidates;
        bool has_held_back_cold_target = false;
    };
    // What admission allows the opening.
    struct allowance {
        service_usage usage;
        double capacity_fraction = 1;
        double requests_per_slot = open_requests_per_slot;
        admission_ground ground = admission_ground::none;
    };
    struct zone_plan {
        std::vector<zone_share> shares;
        clock::time_point valid_until;
    };

    placement_outcome place_on(const discovery::pool& pool, service_role role,
                               const segment& packet, const discovery::route& route,
                               clock::time_point now);
    std::vector<const discovery::pool*> overflow_pools(const discovery::route& route,
                                                       std::string_view chosen,
                                                       clock::time_point now);
    allowance allow(const discovery::pool& pool, service_role role, const segment& packet,
                    const discovery::route& route, clock::time_point now);
    route_claim claim_of(const discovery::pool& pool, const route_standing& standing,
                         const service_standing& service, clock::time_point now) const;
    double heavy_caller_fraction(const flow_key& flow) const;
    double lower_priority_fraction(std::string_view service, const discovery::route& route,
                                   clock::time_point now) const;
    eligible_targets find_eligible_targets(const discovery::pool& pool,
                                           const discovery::route& route, const allowance& allowed,
                                           std::uint64_t flow_hash, clock::time_point now);
    // The targets that are considered for an opening, those of `preferred_zone` first.
    std::vector<const discovery::target*> sample_pool(const discovery::pool& pool,
                                                      const discovery::route& route,
                                                      std::string_view preferred_zone,
                                                      std::uint64_t flow_hash) const;
    std::string_view preferred_zone(const discovery::pool& pool, std::uint64_t flow_hash,
                                    clock::time_point now);
    std::vector<zone_share> plan_zones(const discovery::pool& pool, clock::time_point now);
    std::string_view region_of(std::string_view zone) const;
    bool is_allowed(const discovery::route& route, std::string_view zone) const;
    local_and_remote_demand demand_of(std::string_view service, clock::time_point now) const;

    sources from_;
    admission_settings settings_;
    load_estimate load_estimate_;
    service_shares shares_;
    load::demand established_at_home_;  // requests on open flows of the own zone's targets
    std::map<std::string, zone_plan, std::less<>> zone_plans_;  // by service
};

}  // namespace bramleytrack::steering
