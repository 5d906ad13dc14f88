// Routing by token: what happens to each packet of a caller, decided from the packet alone and from
// what the directory holds.
//
// A target's packets carry a token that callers return. Whoever forwards a packet writes the
// target's token into it, so that any instance routes every later packet of the flow without a
// record of the flow, a hop, or an agreement with peers; nothing is lost when an instance ends.
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
    // A target that was found dead is taken for dead so long, unless it shows life. Dead targets
    // leave the list after some two seconds.
    clock::duration death_lifetime{3'000};
    // A route that isn't known may have been added since: callers are refused only on word that is
    // younger than the bound for a change of the configuration.
    clock::duration refusal_age{3'000};
};

// Where this instance is.
struct place {
    std::string zone;
    std::map<std::string, std::string, std::less<>> regions;  // by availability zone
};

using demand_by_service = std::map<std::string, service_demand, std::less<>>;

// Told of what the packets show, for the histograms.
class flow_observer {
public:
    flow_observer() = default;
    flow_observer(const flow_observer&) = delete;
    flow_observer& operator=(const flow_observer&) = delete;
    virtual ~flow_observer() = default;

    virtual void on_opening_answered(const discovery::target& by, clock::duration took) = 0;
    virtual void on_answer(const discovery::target& by, clock::duration took) = 0;
    virtual void on_decision(std::string_view service, const decision& made) = 0;
};

class steering {
public:
    steering(place here, const discovery::directory& known, cold_gate& cold,
             const remote_load& loads, event_log& log, flow_observer& observer,
             steering_limits limits = {});

    decision on_segment(const segment& content, const directory_state& state,
                        clock::time_point now);
    // Resets of other flows than those of the packets that brought them about, for the daemon to
    // send.
    std::vector<reset> take_resets() { return std::exchange(resets_, {}); }
    // Targets that left something unanswered since this was last asked, for the daemon to check.
    std::vector<routing_token> take_suspects(clock::time_point now);

    // The target can't be reached since `probed_at`: ends its flows, unless it showed life since.
    void on_target_dead(const discovery::target& target, clock::time_point probed_at,
                        clock::time_point now);
    // A peer says so: it gets no new flows until then.
    void on_target_reported_dead(const discovery::target& target, clock::time_point until);
    void on_target_reached(const discovery::target& target) { flows_.note_reached(target.token); }
    void expire(clock::time_point now);

    const flow_tracker& flows() const { return flows_; }
    // What callers ask of each service through this instance.
    const demand_by_service& demands() const { return demands_; }
    // What is asked of the service and its targets, for the metrics. Admission of one flow leaves
    // out what its route or a cold start bars, and may count shunned targets.
    service_usage use_of(std::string_view service, clock::time_point now);

private:
    decision on_opening(const segment& content, const directory_state& state,
                        clock::time_point now);
    // The targets that may take a flow now, and what is asked of all together.
    struct eligible_targets {
        std::vector<candidate> candidates;
        service_usage use;
        bool is_any_cold = false;   // and barred for that reason alone
        double capacity_share = 1;  // that this flow may use
    };

    const discovery::target* find_recent_opening(const segment& content,
                                                 clock::time_point now) const;
    static decision turn_away(const segment& content, placement_failure reason, bool is_any_cold,
                              bool is_fresh);
    decision on_later_packet(const segment& content, const directory_state& state,
                             clock::time_point now);
    void end_flows_of(const discovery::target& target, clock::time_point now);
    bool is_left_by_its_route(const segment& content, const directory_state& state,
                              clock::time_point now) const;
    std::optional<result_code> hopeless(const discovery::target& target,
                                        const discovery::route* route,
                                        const observation& seen) const;
    const discovery::pool* pool_of(const discovery::route& route, std::uint64_t flow_hash) const;
    double capacity_share(const discovery::pool& pool, const discovery::route& route,
                          const flow_key& flow, clock::time_point now) const;
    eligible_targets eligible(const discovery::pool& pool, const discovery::route& route,
                              const segment& content, clock::time_point now);
    // The targets that an opening looks at, those of the own zone first.
    std::vector<const discovery::target*> looked_at(const discovery::pool& pool,
                                                    const discovery::route& route,
                                                    std::uint64_t flow_hash) const;
    std::string_view region_of(std::string_view zone) const;
    bool is_allowed(const discovery::route& route, std::string_view zone) const;
    service_demand_split wants_of(std::string_view service, clock::time_point now) const;

    place place_;
    const discovery::directory& known_;
    cold_gate& cold_;
    const remote_load& loads_;
    flow_tracker flows_;
    load_estimate load_estimate_;
    demand_by_service demands_;  // of services of the catalogue
    std::vector<reset> resets_;
    std::vector<routing_token> suspects_;
    decision_log log_;
    flow_observer& observer_;
    steering_limits limits_;
};

}  // namespace bramleytrack::steering
