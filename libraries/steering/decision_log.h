// The log lines of decisions about packets: what was decided, by which inputs, and how old those
// were.
//
// Whoever looks for the cause of a failed request has only these lines, see docs/OPERATIONS.md.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "discovery/directory.h"
#include "steering/admission.h"
#include "steering/decision.h"
#include "steering/flow_tracker.h"
#include "steering/rejection_summary.h"

namespace bramleytrack::steering {

// What an opening packet was decided by.
struct opening_facts {
    const segment& content;
    const directory_state& state;
    std::string_view service;                 // "none" without a route
    const discovery::route* route = nullptr;  // nothing when none is known
    const decision& made;
    std::size_t candidates = 0;  // targets that could have taken the flow
    double capacity_share = 1;   // less than 1 for a route or caller that yields to others
    const service_usage& use;
};

class decision_log {
public:
    // `zone` is this instance's.
    decision_log(event_log& log, const discovery::directory& known, const flow_tracker& flows,
                 std::string zone)
        : log_{log}, known_{known}, flows_{flows}, zone_{std::move(zone)} {}

    void opening(const opening_facts& facts, clock::time_point now);
    // Sums up the openings that were turned away and had no line, once a second.
    void report(clock::time_point now) { left_out_.report(log_, zone_, now); }
    // A later packet that wasn't forwarded.
    void packet(const segment& content, const decision& made, clock::time_point now);
    // All flows of a target are ended, since it has died or can't be reached.
    void target_dead(const discovery::target& target, const target_health& health,
                     std::size_t flows, clock::time_point now);
    // One of them, which sent nothing just now.
    void flow_ended(const flow_key& flow, const discovery::target& target, clock::time_point now);
    // A copy of an opening packet came: the target that was chosen before hasn't answered.
    void unanswered(const segment& content, clock::time_point now);
    // Nothing is written for an answer that met its objective.
    void answer(const segment& content, const discovery::target& target, clock::duration objective,
                clock::duration took, clock::time_point now);

private:
    event_log& log_;
    const discovery::directory& known_;
    const flow_tracker& flows_;
    std::string zone_;
    rejection_summary left_out_;
};

}  // namespace bramleytrack::steering
