// What the callers' packets tell about targets: openings that weren't answered, requests that are
// open, and how long answers take. Only headers are read, and only this instance's share of them.
//
// A copy of an opening packet says that the target chosen before didn't answer. The first other
// packet of the flow says that it did. Data of the caller begins a request; an acknowledgement
// without data says that something of the target has just arrived.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "steering/caller_shares.h"
#include "steering/path_health.h"
#include "steering/segment.h"

namespace bramleytrack::steering {

// How one target does, as far as the packets here tell.
struct target_health {
    int flows = 0;  // seen here and not closed
    // Openings under way, and requests of which nothing was acknowledged. An opening counts as the
    // request that follows it, or flows that arrive together would all find the target idle.
    int open_requests = 0;
    double answer_ms = 0;  // moving average from a request's first byte to its answer's
    int unanswered = 0;    // openings in a row without an answer
    // Flows whose data was sent a third time, since the last sign of life. A target that lives
    // acknowledges the second copy, however slow its answer is, so a third one means that nothing
    // reaches it; one flow alone may have lost both copies on the way.
    int silent_flows = 0;
    clock::time_point ejected_until;
    clock::time_point reported_dead_until;  // by peers: gets no new flows
    clock::time_point dead_until;           // found out here: its flows are ended
    clock::time_point answered_at;          // last sign of life
    clock::time_point opened_at;            // last opening that was placed on it
};

struct flow_state {
    routing_token token = 0;
    std::uint32_t opening_sequence = 0;
    std::uint32_t next_sequence = 0;  // after the newest data that was forwarded
    std::uint32_t acknowledged = 0;
    clock::time_point opened_at;   // newest opening packet, or first other packet, here
    clock::time_point request_at;  // first byte of the request that is open
    clock::time_point seen_at;
    bool is_established = false;
    bool has_open_request = false;  // counted in target_health::open_requests
    bool is_request_sent = false;   // its first byte went by; request_at holds then
    bool counts_as_silent = false;  // in target_health::silent_flows
    int repeats = 0;                // of the newest data
};

// What a packet of an established flow was.
struct observation {
    bool is_answer_to_opening = false;  // the target took the flow
    clock::duration opening_took{0};
    bool is_request_begun = false;  // one that the flow's opening didn't count for
    bool is_answer = false;         // the target answered a request
    clock::duration answer_took{0};
    int repeats = 0;  // how often the caller has sent this data before
    // The caller repeats its data, and nothing shows that the target has had it.
    bool is_target_suspect = false;
    bool is_target_silent = false;  // see target_health::silent_flows
    // So many flows found it silent that all of its flows are lost, also those that ask for nothing
    // now.
    bool is_target_dead = false;
};

struct flow_tracker_limits {
    // A target that left an opening unanswered gets no others for so long: each would cost its
    // caller 200 ms until the copy. Dead targets leave the list after some two seconds.
    clock::duration ejection_time{1'500};
    clock::duration max_ejection_time{6'000};
    int min_silent_flows = 2;
    // One more than for a single flow, as all flows of the target are ended on this word.
    int min_silent_flows_of_dead = 3;
    // Callers send a third copy 600 ms after the first packet. Copies that come closer together
    // have waited in this instance's socket while it stood still, and the target never had them.
    clock::duration least_silence{500};
    // Callers send copies of anything 200 ms after it and later. Copies that come sooner have
    // waited in this instance's socket together with it, and say nothing about its target.
    clock::duration least_copy_interval{100};
    // A caller sends its request as soon as the target has answered the opening. When none has come
    // by then, the opening holds no slot: its caller has given up, or its target is dead.
    clock::duration request_follows{250};
    // A caller goes on as soon as its opening is answered, a few milliseconds after it. One that
    // was refused by the target sends nothing more on that flow, no copy either.
    clock::duration opening_answered_within{50};
    // An opening without an answer is forgotten then: callers give it up after 1.4 s.
    clock::duration opening_lifetime{1'500};
    clock::duration idle_lifetime{15'000};
    // A caller whose data isn't acknowledged repeats it within 1.6 s; one that doesn't sends
    // through another instance by now, and its request isn't this one's to count.
    clock::duration request_silence{2'000};
    // 11 million flows on 610 instances are 18,000 each; a flood of openings must not grow it more.
    std::size_t max_flows = 60'000;
};

class flow_tracker {
public:
    explicit flow_tracker(flow_tracker_limits limits = {}) : limits_{limits} {}

    // The flow as seen here, if it was.
    const flow_state* find(const flow_key& key) const;

    // An opening packet came, whatever becomes of it.
    void note_attempt(const flow_key& key, clock::time_point now) {
        callers_.on_attempt(key.caller.address, now);
    }
    // The token of the target that got this very opening so short a time ago that the copy must
    // have waited in this instance's socket; nothing otherwise.
    std::optional<routing_token> find_recent_opening(const segment& copy,
                                                     clock::time_point now) const;
    // The target chosen for an earlier copy of this opening packet didn't answer. Returns its token
    // unless it answered others meanwhile, or nothing is known of the flow.
    std::optional<routing_token> note_unanswered(const flow_key& key, clock::time_point now);
    void note_opening(const segment& opening, routing_token token, clock::time_point now);
    observation note_packet(const segment& content, clock::time_point now);
    // Targets of openings that their callers haven't gone on with, each once.
    //
    // Failure: a target's process has ended, and its machine refuses each opening. The refusal goes
    // to the caller, which opens another flow, through another instance, and is refused again; no
    // instance sees more than an opening that nothing follows.
    std::vector<routing_token> take_abandoned_openings(clock::time_point now);
    // The flow's caller was told that it is over.
    void forget(const flow_key& key);
    // Forgets the target's established flows and returns what their callers are to be told.
    std::vector<reset> end_flows_of(routing_token token);
    // The target was found dead, until it shows life again or that moment.
    void note_dead(routing_token token, clock::time_point until) {
        health_[token].dead_until = until;
    }
    void note_reported_dead(routing_token token, clock::time_point until) {
        health_[token].reported_dead_until = until;
    }
    // It was reached by other means than a caller's packet.
    void note_reached(routing_token token);
    void expire(clock::time_point now);

    const target_health& health(routing_token token) const;
    const std::unordered_map<routing_token, target_health>& all_target_health() const {
        return health_;
    }
    const caller_shares& callers() const { return callers_; }
    std::size_t size() const { return flows_.size(); }
    const path_health& path() const { return path_; }

private:
    flow_state* find_or_adopt(const segment& content, bool is_end, clock::time_point now);
    void note_data(flow_state& flow, const segment& content, observation& result,
                   clock::time_point now);
    void note_repeat(flow_state& flow, observation& result, clock::time_point now);
    void note_acknowledgement(flow_state& flow, const segment& content, observation& result,
                              clock::time_point now);
    void begin_request(const flow_key& key, flow_state& flow);
    void end_request(const flow_key& key, flow_state& flow);
    void release(const flow_key& key, flow_state& flow);
    void end_openings_without_request(clock::time_point now);
    void note_response(target_health& health, clock::time_point now);

    flow_tracker_limits limits_;
    std::unordered_map<flow_key, flow_state, flow_key_hash> flows_;
    // Openings by age, the oldest first; those that led to a request meanwhile are still here.
    std::deque<std::pair<flow_key, clock::time_point>> openings_;
    // The newest of them, which may still be answered in time.
    std::deque<std::pair<flow_key, clock::time_point>> fresh_openings_;
    std::unordered_map<routing_token, target_health> health_;
    caller_shares callers_;
    path_health path_;
    clock::time_point next_expiry_;
};

}  // namespace bramleytrack::steering
