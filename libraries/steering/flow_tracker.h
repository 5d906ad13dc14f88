// Infers the health and load of targets from callers' packets: openings that are not accepted, open
// requests and answer times. It reads only headers, and only of the packets that reach this
// instance.
//
// A target accepts an opening, answers a request, and responds with any packet, of which these are
// two kinds. A retransmitted opening packet means that the target chosen before has not accepted
// the flow; the first other packet of the flow means that it has. Data from the caller begins a
// request. An acknowledgement without data means that something from the target has just reached
// the caller; it is taken for the answer to the open request.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "steering/caller_shares.h"
#include "steering/held_flow.h"
#include "steering/path_health.h"
#include "steering/reported_holders.h"
#include "steering/segment.h"

namespace bramleytrack::steering {

// The health of one target, as inferred from the packets that this instance forwards.
struct target_health {
    int flows = 0;  // that this instance has seen and that are not closed
    // Pending openings, and requests without an acknowledged answer. An opening counts as the
    // request that follows it; otherwise flows that arrive together would all find the target idle.
    int open_requests = 0;
    // Moving average, from the request's first byte to the acknowledgement of its answer.
    double answer_ms = 0;
    int unanswered_openings = 0;  // retransmitted openings since its last response
    // How often, since the target's last response, a flow's data was retransmitted twice. A flow
    // counts once until it sends new data, and may then count again. A live target acknowledges the
    // first retransmission however slow its answers are, so a second one means that nothing reaches
    // the target. For a single flow, the data and both retransmissions may also have been lost.
    int silent_flows = 0;
    clock::time_point ejected_until;
    clock::time_point reported_dead_until;  // by peers; gets no new flows until then
    clock::time_point dead_until;           // found dead here; its flows are ended
    clock::time_point last_response_at;     // when a caller's packet last showed a response
    clock::time_point last_opening_at;      // when an opening was last placed on it
};

struct flow_state {
    routing_token token = 0;
    std::size_t usage = 0;  // index of the route's use of the target's service, see route_usage
    std::uint32_t opening_sequence = 0;
    std::uint32_t next_sequence = 0;  // after the newest data that was forwarded
    std::uint32_t acknowledged = 0;
    clock::time_point opened_at;  // newest opening packet, or else first packet seen here
    // When the first byte of the newest request was forwarded; stays when the request ends.
    clock::time_point request_at;
    clock::time_point last_packet_at;
    bool is_established = false;
    // `token` is that of the target that holds the flow. Either this instance has seen the opening
    // and the first packet after it, which is sent in response to the target's acceptance, so that
    // its token and its acknowledgement are of one target; or a peer has, and has reported it.
    bool is_holder_known = false;
    // Another target that the same opening was sent to, and that may accept it too; 0 if another
    // instance has chosen it.
    std::optional<routing_token> other_target;
    bool has_open_request = false;      // counted in target_health::open_requests
    bool is_request_sent = false;       // a request was forwarded and has not ended
    bool is_counted_as_silent = false;  // in target_health::silent_flows, since the newest data
    int retransmissions = 0;            // since the newest data was forwarded
};

// What a packet of an established flow showed.
struct observation {
    bool is_opening_accepted = false;  // the target accepted the flow
    clock::duration opening_acceptance_time{0};
    // A request began while none was counted as open. Stays false for the request that the flow's
    // opening counts, and while an earlier request still counts as open because this instance saw
    // no acknowledgement without data for it, for example when the next request acknowledged it.
    bool is_request_begun = false;
    bool is_request_answered = false;  // the target answered the open request
    clock::duration answer_time{0};
    // Retransmissions since the flow's newest data, with this packet; 0 if it is none.
    int retransmissions = 0;
    // The caller retransmits data, and the target has not responded to any flow since the first
    // byte of this flow's newest request, at least min_retransmission_interval ago.
    bool is_target_suspect = false;
    // The caller retransmits for at least the second time, min_silent_flows is reached, and this
    // instance's path to other targets is sound.
    bool is_target_silent = false;
    // All of the target's flows are to be ended, including idle ones: either
    // min_silent_flows_of_dead_target is reached as well, or the target is suspect, which takes one
    // retransmission, while it counts as dead (target_health::dead_until).
    bool is_target_dead = false;
};

struct flow_tracker_limits {
    // How long a target is ejected after it left an opening unanswered or was found silent: each
    // opening placed on it would cost its caller the 200 ms until the retransmission. Doubles with
    // each further unanswered opening, up to max_ejection_time. The entries of dead targets are
    // removed after about two seconds.
    clock::duration ejection_time{1'500};
    clock::duration max_ejection_time{6'000};
    // The count in target_health::silent_flows from which a target is considered silent. One flow
    // may have lost its data and both retransmissions in transit.
    int min_silent_flows = 2;
    // One more than for resetting a single flow, since it ends all flows of the target.
    int min_silent_flows_of_dead_target = 3;
    // Callers send the second retransmission 600 ms after the original. If all three arrive closer
    // together, they were queued in this instance's socket while the process was paused, and the
    // target has not received any of them before.
    clock::duration min_silence{500};
    // Callers send the first retransmission of a packet after 200 ms. One that arrives sooner was
    // queued in this instance's socket together with the original, and indicates nothing about the
    // target.
    clock::duration min_retransmission_interval{100};
    // A caller sends its request as soon as the target has accepted the opening. An opening without
    // a request by then no longer counts as an open request: its caller has given up, or its target
    // is dead.
    clock::duration max_first_request_delay{250};
    // A caller's next packet follows as soon as its opening is accepted, within a few milliseconds.
    // A caller that the target refused sends nothing more on that flow, not even a retransmission.
    clock::duration opening_response_timeout{50};
    // How long an opening that is not accepted is kept: callers give up after 1.4 s.
    clock::duration opening_lifetime{1'500};
    clock::duration idle_lifetime{15'000};
    // A request is no longer counted after its caller has been silent for this long. A caller
    // retransmits unacknowledged data within 1.6 s, so after a longer silence its packets may pass
    // through another instance. The other case is a request that the target has acknowledged and
    // still works on: the target then seems to have more capacity than it has, and the answer is
    // not measured.
    clock::duration open_request_idle_lifetime{2'000};
    // 11 million flows on 610 instances are 18,000 on each. The limit bounds memory during a flood
    // of openings.
    std::size_t max_flows = 60'000;
    // Flows that wait to be reported to the peers.
    std::size_t max_unreported_flows = 1'000;
};

class flow_tracker {
public:
    explicit flow_tracker(flow_tracker_limits limits = {}) : limits_{limits} {}

    // Returns the flow's record, or null if this instance has not seen it.
    const flow_state* find(const flow_key& key) const;

    // Returns the token of the target that holds the packet's flow, or nothing if this instance
    // doesn't know it.
    //
    // Of several targets that accept the same opening, the one whose sequence number the caller
    // acknowledges holds the flow. Callers return the token that they received last, which is that
    // of another target if its acceptance arrives after the flow has opened.
    std::optional<routing_token> find_holder(const segment& packet) const;

    // Returns the flows that have opened since the last call and that another target may have
    // accepted too, for the peers.
    std::vector<held_flow> take_flows_opened_twice() { return std::exchange(opened_twice_, {}); }
    // A peer has seen where the flow opened.
    void record_reported_holder(const held_flow& report, clock::time_point now) {
        reported_holders_.add(report, now);
    }

    // Counts an opening packet of the caller, whether it is accepted or not.
    void record_attempt(const flow_key& key, clock::time_point now) {
        callers_.on_attempt(key.caller.address, now);
    }
    // Returns the token of the target on which the opening of this retransmission was placed, if
    // that was so recent that both must have been queued in this instance's socket.
    std::optional<routing_token> find_token_of_recent_opening(const segment& retransmission,
                                                              clock::time_point now) const;
    // Whether the retransmission is of an opening that a target has accepted since.
    bool is_copy_of_open_flow(const segment& retransmission, clock::time_point now) const;
    // An opening packet was retransmitted. Ejects the target that was chosen for the packet before
    // and returns its token, unless it has accepted the flow, has responded to other flows since,
    // got the packet less than min_retransmission_interval ago, or the flow has no record here.
    std::optional<routing_token> record_unanswered_opening(const flow_key& key,
                                                           clock::time_point now);
    // `usage` is the route_usage::index under which the flow's requests are counted.
    void record_opening(const segment& opening, routing_token token, clock::time_point now,
                        std::size_t usage = 0);
    observation record_packet(const segment& packet, clock::time_point now, std::size_t usage = 0);
    // The open requests of a route to a service.
    int open_requests_of(std::size_t usage) const {
        return usage < open_by_usage_.size() ? open_by_usage_[usage] : 0;
    }
    // Returns the target of each opening that no packet of its caller has followed, once per
    // opening.
    //
    // When a target's process has ended, its machine refuses each opening. The refusal goes to the
    // caller only, which opens another flow, through another instance, and is refused again. All
    // that an instance sees of this is an opening that nothing follows.
    std::vector<routing_token> take_abandoned_openings(clock::time_point now);
    // Removes a flow whose caller has been sent a reset.
    void remove_flow(const flow_key& key);
    // Removes the target's established flows and returns the resets for their callers.
    std::vector<reset> end_flows_of(routing_token token);
    // The target was found dead; it counts as dead until then, unless it responds before.
    void record_dead(routing_token token, clock::time_point until) {
        health_[token].dead_until = until;
    }
    void record_reported_dead(routing_token token, clock::time_point until) {
        health_[token].reported_dead_until = until;
    }
    // The target responded to a probe.
    void record_reached(routing_token token);
    void expire(clock::time_point now);

    const target_health& health(routing_token token) const;
    const std::unordered_map<routing_token, target_health>& all_target_health() const {
        return health_;
    }
    const caller_shares& callers() const { return callers_; }
    std::size_t size() const { return flows_.size(); }
    const path_health& path() const { return path_; }

private:
    flow_state* find_or_create(const segment& packet, std::size_t usage, bool is_end,
                               clock::time_point now);
    void record_data(flow_state& flow, const segment& packet, observation& result,
                     clock::time_point now);
    void record_retransmission(flow_state& flow, observation& result, clock::time_point now);
    void record_acknowledgement(flow_state& flow, const segment& packet, observation& result,
                                clock::time_point now);
    void begin_request(const flow_key& key, flow_state& flow);
    void end_request(const flow_key& key, flow_state& flow);
    void release(const flow_key& key, flow_state& flow);
    void end_openings_without_request(clock::time_point now);
    void record_response(target_health& health, clock::time_point now);
    // Whether this instance or peers found the target dead lately.
    bool is_known_dead(routing_token token, clock::time_point now) const;
    // The target that the opening was sent to before, when it is sent to that of `token`.
    std::optional<routing_token> find_other_target(const segment& opening,
                                                   const flow_state& recorded, routing_token token,
                                                   clock::time_point now) const;
    void report_if_opened_twice(const flow_key& key, flow_state& flow, clock::time_point now);

    flow_tracker_limits limits_;
    std::unordered_map<flow_key, flow_state, flow_key_hash> flows_;
    // The openings of the last max_first_request_delay, oldest first, including those that a
    // request has followed.
    std::deque<std::pair<flow_key, clock::time_point>> openings_to_check_for_request_;
    // The openings of the last opening_response_timeout, oldest first, including accepted ones.
    std::deque<std::pair<flow_key, clock::time_point>> openings_to_check_for_response_;
    std::unordered_map<routing_token, target_health> health_;
    std::vector<int> open_by_usage_;  // open requests, by flow_state::usage
    caller_shares callers_;
    path_health path_;
    std::vector<held_flow> opened_twice_;  // not yet reported
    reported_holders reported_holders_;
    clock::time_point next_expiry_;
};

}  // namespace bramleytrack::steering
