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
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/event_log.h"
#include "base/result_code.h"
#include "discovery/directory.h"
#include "steering/admission_settings.h"
#include "steering/cold_gate.h"
#include "steering/decision.h"
#include "steering/decision_log.h"
#include "steering/flow_tracker.h"
#include "steering/opening_lifetime.h"
#include "steering/opening_placement.h"
#include "steering/opening_queue.h"
#include "steering/remote_load.h"
#include "steering/route_usage.h"
#include "steering/segment.h"
#include "steering/target_speeds.h"
#include "steering/wait_outcome.h"

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
    // A packet's token names another target than the one that holds the packet's flow.
    virtual void on_token_mismatch() {}
    // An opening left the queue.
    virtual void on_wait_ended(std::string_view /*service*/, std::string_view /*route*/,
                               wait_outcome /*outcome*/, clock::duration /*waited*/) {}
    // An opening was placed on another service of its route's split than the weights chose.
    virtual void on_overflow(std::string_view /*from*/, std::string_view /*to*/) {}
};

// An opening that has left the queue, and what is to be done with it.
struct released_opening {
    std::vector<std::uint8_t> datagram;
    decision outcome;
};

class steering {
public:
    steering(location own_location, const discovery::directory& directory, cold_gate& gate,
             const remote_load& remote, event_log& log, flow_observer& observer,
             steering_limits limits = {});

    // Openings that wait are placed by the newest settings from then on.
    void set_admission(const admission_settings& settings);

    // `datagram` is the packet as it was received; it is kept while an opening waits.
    decision on_segment(const segment& packet, const directory_state& state, clock::time_point now,
                        std::span<const std::uint8_t> datagram = {});
    // Places openings that wait where there is capacity by now, and ends the waits that are over.
    void release_waiting(const directory_state& state, clock::time_point now);
    // Places or refuses all openings that wait: the instance stops.
    void end_waiting(const directory_state& state, clock::time_point now);
    // Returns the openings that have left the queue since the last call.
    std::vector<released_opening> take_released() { return std::exchange(released_, {}); }
    bool has_waiting() const { return waiting_.has_entries(); }
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
    void on_speed_report(std::string_view peer, const target_speed_report& report,
                         clock::time_point now) {
        if (admission_.capacity_shares || admission_.zone_balance) {
            speeds_.on_report(peer, report, now);
        }
    }
    void on_target_reached(const discovery::target& target) { flows_.record_reached(target.token); }
    // Returns the flows that have opened since the last call and that another target may have
    // accepted too, for the daemon to report to the peers of its zone.
    std::vector<held_flow> take_flows_opened_twice() { return flows_.take_flows_opened_twice(); }
    // A peer has reported where a flow is open.
    void on_holder_reported(const held_flow& report, clock::time_point now) {
        flows_.record_reported_holder(report, now);
    }
    void expire(clock::time_point now);

    const flow_tracker& flows() const { return flows_; }
    // The demand for each service through this instance.
    const demand_by_service& demands() const { return demands_; }
    const route_usage& usage() const { return usage_; }
    const target_speeds& speeds() const { return speeds_; }
    const admission_settings& admission() const { return admission_; }
    // How the routes stand at the service, for the metrics.
    const service_standing& standing_of(std::string_view service, clock::time_point now) {
        return placement_.standing_of(service, now);
    }
    // Requests of the route that are open on the service through this instance.
    int open_requests_of(std::string_view service, std::string_view route) const;
    std::size_t waiting_of(std::string_view service, std::string_view route) const {
        return waiting_.size_of(service, route);
    }
    // The usage of the service and its targets, for the metrics. Admission of a single flow leaves
    // out targets that its route does not allow or that are held back as cold, and may count
    // ejected targets.
    service_usage usage_of(std::string_view service, clock::time_point now) {
        return placement_.usage_of(service, now);
    }

private:
    decision on_opening(const segment& packet, const directory_state& state, clock::time_point now,
                        std::span<const std::uint8_t> datagram);
    // Places the opening if a target has capacity for it.
    decision try_to_place(const segment& packet, const discovery::route& route,
                          const directory_state& state, placement_outcome& placement,
                          clock::time_point now);
    decision hold_or_refuse(const segment& packet, const discovery::route& route,
                            const placement_outcome& placement,
                            std::span<const std::uint8_t> datagram, clock::time_point now);
    void release_waiting_of(std::string_view service, const directory_state& state,
                            clock::time_point now);
    bool try_to_release(const waiting_opening& opening, const directory_state& state,
                        clock::time_point now);
    void end_wait(const waiting_opening& opening, wait_outcome outcome, const decision& decided,
                  clock::time_point now);
    // Refuses the openings whose wait is over. Drops those that are too late even for that.
    void end_expired_waits(clock::time_point now);
    void record_opening(const segment& packet, const directory_state& state,
                        const discovery::route* route, const decision& outcome,
                        const placement_outcome& placement, clock::duration waited,
                        clock::time_point now);
    void learn_from_answer(const discovery::target& target, std::size_t usage,
                           clock::duration answer_time, clock::time_point now);
    std::size_t usage_index(std::string_view service, const discovery::route* route);

    const discovery::target* find_target_of_recent_opening(const segment& packet,
                                                           clock::time_point now) const;
    static decision on_placement_failure(const segment& packet, placement_failure reason,
                                         bool has_held_back_cold_target, bool is_state_fresh);
    decision on_established_packet(const segment& received, const directory_state& state,
                                   clock::time_point now);
    // Returns the packet with the token of the target that holds its flow, if that is known.
    segment with_token_of_holder(const segment& packet, clock::time_point now);
    void end_flows_of(const discovery::target& target, clock::time_point now);
    bool is_ended_by_route_removal(const segment& packet, const directory_state& state,
                                   clock::time_point now) const;
    std::optional<result_code> reset_reason(const discovery::target& target,
                                            const discovery::route* route,
                                            const observation& observed) const;

    location location_;
    const discovery::directory& directory_;
    cold_gate& cold_gate_;
    flow_tracker flows_;
    route_usage usage_;
    target_speeds speeds_;
    demand_by_service demands_;  // by name of a service of the catalogue
    admission_settings admission_;
    opening_placement placement_;
    opening_queue waiting_;
    std::vector<released_opening> released_;
    bool is_stopping_ = false;  // openings no longer wait
    std::vector<reset> resets_;
    std::vector<routing_token> suspects_;
    decision_log log_;
    flow_observer& observer_;
    steering_limits limits_;
};

}  // namespace bramleytrack::steering
