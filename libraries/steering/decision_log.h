// Writes the log lines of decisions about packets: the decision, its inputs and their age.
//
// These lines are the only record from which the cause of a failed request can be found, see
// docs/OPERATIONS.md.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "discovery/directory.h"
#include "steering/admission.h"
#include "steering/decision.h"
#include "steering/flow_tracker.h"
#include "steering/opening_queue.h"
#include "steering/rejection_summary.h"
#include "steering/wait_outcome.h"

namespace bramleytrack::steering {

// The decision about an opening packet and its inputs.
struct opening_log_entry {
    const segment& packet;
    const directory_state& state;
    std::string_view service;                 // "none" without a route
    const discovery::route* route = nullptr;  // null without a route
    const decision& outcome;
    std::size_t candidates = 0;    // targets that were eligible for the flow
    double capacity_fraction = 1;  // below 1 for a lower-priority route or a heavy caller
    const service_usage& usage;
    admission_ground ground = admission_ground::none;
    clock::duration waited{0};  // in the opening queue
    std::string_view overflowed_from;
};

class decision_log {
public:
    // `zone` is this instance's zone.
    decision_log(event_log& log, const discovery::directory& directory, const flow_tracker& flows,
                 std::string zone)
        : log_{log}, directory_{directory}, flows_{flows}, zone_{std::move(zone)} {}

    void opening(const opening_log_entry& entry, clock::time_point now);
    // Writes a summary of the rejected openings that got no line of their own, once a second.
    void report_rejections(clock::time_point now) { unlogged_rejections_.report(log_, zone_, now); }
    // An opening left the queue.
    void opening_wait_ended(const waiting_opening& opening, wait_outcome outcome,
                            result_code reason, clock::time_point now);
    // A packet of an established flow that was not forwarded.
    void undelivered_packet(const segment& packet, const decision& outcome, clock::time_point now);
    // The packet's token names another target than `holder`, which holds the packet's flow.
    void token_mismatch(const segment& packet, routing_token holder, clock::time_point now);
    // All flows of a target were ended because it has died or is unreachable.
    void target_dead(const discovery::target& target, const target_health& health,
                     std::size_t flows, clock::time_point now);
    // One of those flows, ended without a packet of its own.
    void flow_ended(const flow_key& flow, const discovery::target& target, clock::time_point now);
    // An opening packet was retransmitted: the target that was chosen before has not accepted it.
    void unanswered_opening(const segment& packet, clock::time_point now);
    // Writes nothing if the answer met its latency objective.
    void late_answer(const segment& packet, const discovery::target& target,
                     clock::duration objective, clock::duration latency, clock::time_point now);

private:
    event_log& log_;
    const discovery::directory& directory_;
    const flow_tracker& flows_;
    std::string zone_;
    rejection_summary unlogged_rejections_;
};

}  // namespace bramleytrack::steering
