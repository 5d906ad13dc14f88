// Routing by token: decides what happens to each packet of a caller, from the packet and the
// directory alone.
//
// A target's packets carry a token that callers return. The instance that forwards a packet writes
// the target's token into it. Any instance can therefore route every later packet of the flow
// without per-flow state, an extra hop or coordination with peers, and no flow is lost when an
// instance ends.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/event_log.h"
#include "base/result_code.h"
#include "discovery/directory.h"
#include "steering/admission.h"
#include "steering/cold_gate.h"
#include "steering/decision.h"
#include "steering/decision_log.h"
#include "steering/flow_tracker.h"
#include "steering/load_estimate.h"
#include "steering/placement.h"
#include "steering/remote_load.h"
#include "steering/segment.h"
#include "steering/service_demand.h"

namespace bramleytrack::steering {

struct steering_limits {
    // How long a target that was found dead counts as dead, unless it responds. The entries of dead
    // targets are removed after about two seconds.
    clock::duration dead_verdict_lifetime{3'000};
    // A route or target that the directory does not hold may have been added since it was
    // confirmed. Callers are refused only while the confirmation is younger than the time within
    // which a configuration change must reach every instance.
    clock::duration max_refusal_staleness{3'000};
};

// The location of this instance.
struct location {
    std::string zone;
    std::map<std::string, std::string, std::less<>> regions;  // by zone
};

using demand_by_service = std::map<std::string, service_demand, std::less<>>;

// Receives measurements and decisions, for the metrics.
class flow_observer {
public:
    flow_observer() = default;
    flow_observer(const flow_observer&) = delete;
    flow_observer& operator=(const flow_observer&) = delete;
    virtual ~flow_observer() = default;

    virtual void on_opening_answered(const discovery::target& target, clock::duration latency) = 0;
    virtual void on_answer(const discovery::target& target, clock::duration latency) = 0;
    virtual void on_decision(std::string_view service, const decision& outcome) = 0;
};

class steering {
public:
    steering(location own_location, const discovery::directory& directory, cold_gate& gate,
             const remote_load& remote, event_log& log, flow_observer& observer,
             steering_limits limits = {});

    decision on_segment(const segment& packet, const directory_state& state, clock::time_point now);
    // Returns resets for flows other than the one whose packet caused them, for the daemon to send.
    std::vector<reset> take_resets() { return std::exchange(resets_, {}); }
    // Returns targets that have left packets unanswered since the last call, for the daemon to
    // probe.
    std::vector<routing_token> take_suspects(clock::time_point now);

    // The target was found unreachable by a probe sent at `probed_at`. Ends its flows, unless it
    // has responded since.
    void on_target_dead(const discovery::target& target, clock::time_point probed_at,
                        clock::time_point now);
    // A peer reported the target dead: it gets no new flows until then, unless it responds.
    void on_target_reported_dead(const discovery::target& target, clock::time_point until);
    void on_target_reached(const discovery::target& target) { flows_.record_reached(target.token); }
    void expire(clock::time_point now);

    const flow_tracker& flows() const { return flows_; }
    // The demand for each service through this instance.
    const demand_by_service& demands() const { return demands_; }
    // The usage of the service and its targets, for the metrics. Admission of a single flow leaves
    // out targets that its route does not allow or that are held back as cold, and may count
    // ejected targets.
    service_usage usage_of(std::string_view service, clock::time_point now);

private:
    decision on_opening(const segment& packet, const directory_state& state, clock::time_point now);
    // The targets that a flow may be placed on now, and the usage of the whole service.
    struct eligible_targets {
        std::vector<candidate> candidates;
        service_usage usage;
        bool has_held_back_cold_target = false;  // that is otherwise eligible
        double capacity_fraction = 1;            // of the capacity that this flow may use
    };

    const discovery::target* find_target_of_recent_opening(const segment& packet,
                                                           clock::time_point now) const;
    static decision on_placement_failure(const segment& packet, placement_failure reason,
                                         bool has_held_back_cold_target, bool is_state_fresh);
    decision on_established_packet(const segment& packet, const directory_state& state,
                                   clock::time_point now);
    void end_flows_of(const discovery::target& target, clock::time_point now);
    bool is_ended_by_route_removal(const segment& packet, const directory_state& state,
                                   clock::time_point now) const;
    std::optional<result_code> reset_reason(const discovery::target& target,
                                            const discovery::route* route,
                                            const observation& observed) const;
    const discovery::pool* choose_pool(const discovery::route& route,
                                       std::uint64_t flow_hash) const;
    double capacity_fraction(const discovery::pool& pool, const discovery::route& route,
                             const flow_key& flow, clock::time_point now) const;
    eligible_targets find_eligible_targets(const discovery::pool& pool,
                                           const discovery::route& route, const segment& packet,
                                           clock::time_point now);
    // The targets that are considered for an opening, those of the local zone first.
    std::vector<const discovery::target*> sample_pool(const discovery::pool& pool,
                                                      const discovery::route& route,
                                                      std::uint64_t flow_hash) const;
    std::string_view region_of(std::string_view zone) const;
    bool is_allowed(const discovery::route& route, std::string_view zone) const;
    local_and_remote_demand demand_of(std::string_view service, clock::time_point now) const;

    location location_;
    const discovery::directory& directory_;
    cold_gate& cold_gate_;
    const remote_load& remote_load_;
    flow_tracker flows_;
    load_estimate load_estimate_;
    demand_by_service demands_;  // by name of a service of the catalogue
    std::vector<reset> resets_;
    std::vector<routing_token> suspects_;
    decision_log log_;
    flow_observer& observer_;
    steering_limits limits_;
};

}  // namespace bramleytrack::steering
