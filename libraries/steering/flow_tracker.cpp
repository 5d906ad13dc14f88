#include "steering/flow_tracker.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

constexpr clock::duration expiry_interval{500};
// A moving average over about eight answers follows a target that turns slow within a second.
constexpr double answer_weight = 0.125;
constexpr int max_shun_doublings = 2;
constexpr int repeats_of_silence = 2;

// Serial number arithmetic (RFC 1982): sequence numbers wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

const flow_state* flow_tracker::find(const flow_key& key) const {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

std::optional<routing_token> flow_tracker::find_recent_opening(const segment& copy,
                                                               clock::time_point now) const {
    const auto* flow = find(copy.flow);
    const bool is_same = flow != nullptr && !flow->is_established && flow->token != 0 &&
                         flow->opening_sequence == copy.sequence;
    const bool is_early = is_same && now - flow->opened_at < limits_.least_copy_interval;
    return is_early ? std::optional{flow->token} : std::nullopt;
}

std::optional<routing_token> flow_tracker::note_unanswered(const flow_key& key,
                                                           clock::time_point now) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.is_established ||
        now - found->second.opened_at < limits_.least_copy_interval) {
        return std::nullopt;
    }
    auto& health = health_[found->second.token];
    // A target that answered others meanwhile lost one packet, no more.
    if (health.answered_at > found->second.opened_at) {
        return std::nullopt;
    }
    const int doublings = std::min(health.unanswered, max_shun_doublings);
    ++health.unanswered;
    health.ejected_until =
        now + std::min(limits_.max_ejection_time, limits_.ejection_time * (1 << doublings));
    return found->second.token;
}

void flow_tracker::note_opening(const segment& opening, routing_token token,
                                clock::time_point now) {
    const auto found = flows_.find(opening.flow);
    if (found == flows_.end() && flows_.size() >= limits_.max_flows) {
        return;
    }
    auto& flow = found == flows_.end() ? flows_[opening.flow] : found->second;
    if (flow.token != 0) {
        release(opening.flow, flow);
    }
    flow = {.token = token,
            .opening_sequence = opening.sequence,
            .next_sequence = opening.sequence,
            .acknowledged = 0,
            .opened_at = now,
            .request_at = {},
            .seen_at = now,
            .is_established = false,
            .has_open_request = false,
            .is_request_sent = false};
    auto& health = health_[token];
    ++health.flows;
    health.opened_at = now;
    begin_request(opening.flow, flow);
    openings_.emplace_back(opening.flow, now);
    fresh_openings_.emplace_back(opening.flow, now);
}

std::vector<routing_token> flow_tracker::take_abandoned_openings(clock::time_point now) {
    std::vector<routing_token> result;
    while (!fresh_openings_.empty() &&
           now - fresh_openings_.front().second >= limits_.opening_answered_within) {
        const auto& [key, opened_at] = fresh_openings_.front();
        const auto* flow = find(key);
        const bool is_unfollowed =
            flow != nullptr && !flow->is_established && flow->opened_at == opened_at;
        if (is_unfollowed && health(flow->token).answered_at <= opened_at) {
            result.push_back(flow->token);
        }
        fresh_openings_.pop_front();
    }
    return result;
}

observation flow_tracker::note_packet(const segment& content, clock::time_point now) {
    observation result;
    const bool is_end = content.is_reset || content.is_closing;
    auto* known = find_or_adopt(content, is_end, now);
    if (known == nullptr) {
        return result;
    }
    auto& flow = *known;
    flow.seen_at = now;
    if (!flow.is_established) {
        flow.is_established = true;
        flow.acknowledged = content.acknowledged;
        flow.next_sequence = content.sequence;
        result.is_answer_to_opening = true;
        result.opening_took = now - flow.opened_at;
        note_response(health_[flow.token], now);
    }
    if (content.length > 0) {
        note_data(flow, content, result, now);
    } else if (!is_end) {
        note_acknowledgement(flow, content, result, now);
    }
    if (is_after(content.acknowledged, flow.acknowledged)) {
        flow.acknowledged = content.acknowledged;
    }
    if (is_end) {
        release(content.flow, flow);
        flows_.erase(content.flow);
    }
    return result;
}

// The record of the packet's flow; nothing when there is none and none is worth making.
flow_state* flow_tracker::find_or_adopt(const segment& content, bool is_end,
                                        clock::time_point now) {
    auto found = flows_.find(content.flow);
    if (found != flows_.end() && found->second.token == content.token) {
        return &found->second;
    }
    if (found == flows_.end()) {
        if (is_end || flows_.size() >= limits_.max_flows) {
            return nullptr;
        }
        // The flow was opened through another instance.
        found = flows_.emplace(content.flow, flow_state{}).first;
        found->second.opened_at = now;
        found->second.acknowledged = content.acknowledged;
        found->second.next_sequence = content.sequence;
    } else {
        release(content.flow, found->second);
    }
    auto& flow = found->second;
    flow.token = content.token;
    flow.is_established = true;
    ++health_[flow.token].flows;
    return &flow;
}

void flow_tracker::note_data(flow_state& flow, const segment& content, observation& result,
                             clock::time_point now) {
    const auto end = content.sequence + content.length;
    if (!is_after(end, flow.next_sequence)) {
        note_repeat(flow, result, now);
        return;
    }
    flow.next_sequence = end;
    flow.repeats = 0;
    flow.counts_as_silent = false;
    // What acknowledges more than before is the next request, though the answer to the one before
    // was acknowledged through another instance. Other data belongs to the request that is open.
    const bool is_next = is_after(content.acknowledged, flow.acknowledged);
    if (flow.is_request_sent && !is_next) {
        return;
    }
    // The opening counted as the request that follows it.
    result.is_request_begun = !flow.has_open_request;
    begin_request(content.flow, flow);
    flow.is_request_sent = true;
    flow.request_at = now;
}

void flow_tracker::note_repeat(flow_state& flow, observation& result, clock::time_point now) {
    auto& health = health_[flow.token];
    ++flow.repeats;
    result.repeats = flow.repeats;
    const bool has_shown_life = health.answered_at > flow.request_at;
    const auto waited = now - flow.request_at;
    result.is_target_suspect = !has_shown_life && waited >= limits_.least_copy_interval;
    result.is_target_dead = result.is_target_suspect && now < health.dead_until;
    if (flow.repeats < repeats_of_silence || has_shown_life || waited < limits_.least_silence) {
        return;
    }
    health.silent_flows += flow.counts_as_silent ? 0 : 1;
    flow.counts_as_silent = true;
    result.is_target_silent =
        health.silent_flows >= limits_.min_silent_flows && path_.is_healthy(now);
    result.is_target_dead =
        result.is_target_dead ||
        (result.is_target_silent && health.silent_flows >= limits_.min_silent_flows_of_dead);
    if (result.is_target_silent) {
        health.ejected_until = std::max(health.ejected_until, now + limits_.ejection_time);
    }
}

// Callers acknowledge without data only when something of the target has just arrived. An
// acknowledgement that comes with data is no such sign: the answer may have come long before.
void flow_tracker::note_acknowledgement(flow_state& flow, const segment& content,
                                        observation& result, clock::time_point now) {
    auto& health = health_[flow.token];
    note_response(health, now);
    if (!flow.is_request_sent) {
        return;
    }
    result.is_answer = true;
    result.answer_took = now - flow.request_at;
    path_.on_answer(flow.repeats > 0, now);
    const auto took = static_cast<double>(result.answer_took.count());
    health.answer_ms += health.answer_ms == 0 ? took : (took - health.answer_ms) * answer_weight;
    end_request(content.flow, flow);
}

void flow_tracker::forget(const flow_key& key) {
    const auto found = flows_.find(key);
    if (found != flows_.end()) {
        release(key, found->second);
        flows_.erase(found);
    }
}

std::vector<reset> flow_tracker::end_flows_of(routing_token token) {
    std::vector<reset> result;
    for (auto each = flows_.begin(); each != flows_.end();) {
        auto& [key, flow] = *each;
        if (flow.token != token || !flow.is_established) {
            ++each;
            continue;
        }
        result.push_back({.flow = key, .sequence = flow.acknowledged});
        release(key, flow);
        each = flows_.erase(each);
    }
    return result;
}

// Failure: all instances lost power, and while they start, openings wait in their sockets until
// most callers have given up. Counted as requests, they fill the targets' room, and callers that
// come now are refused by targets that are idle.
void flow_tracker::end_openings_without_request(clock::time_point now) {
    while (!openings_.empty() && now - openings_.front().second >= limits_.request_follows) {
        const auto& [key, opened_at] = openings_.front();
        const auto found = flows_.find(key);
        if (found != flows_.end() && !found->second.is_request_sent &&
            found->second.opened_at <= opened_at) {
            end_request(key, found->second);
        }
        openings_.pop_front();
    }
}

void flow_tracker::expire(clock::time_point now) {
    end_openings_without_request(now);
    if (now < next_expiry_) {
        return;
    }
    next_expiry_ = now + expiry_interval;
    for (auto each = flows_.begin(); each != flows_.end();) {
        auto& flow = each->second;
        if (now - flow.seen_at > limits_.request_silence) {
            end_request(each->first, flow);
        }
        const auto lifetime =
            flow.is_established ? limits_.idle_lifetime : limits_.opening_lifetime;
        if (now - flow.seen_at < lifetime) {
            ++each;
            continue;
        }
        release(each->first, flow);
        each = flows_.erase(each);
    }
    callers_.expire(now);
    std::erase_if(health_, [this, now](const auto& each) {
        const auto& health = each.second;
        const bool is_doubted = now < std::max(health.reported_dead_until, health.dead_until);
        return health.flows == 0 && !is_doubted && now - health.opened_at > limits_.idle_lifetime;
    });
}

const target_health& flow_tracker::health(routing_token token) const {
    static const target_health unknown;
    const auto found = health_.find(token);
    return found == health_.end() ? unknown : found->second;
}

void flow_tracker::begin_request(const flow_key& key, flow_state& flow) {
    if (flow.has_open_request) {
        return;
    }
    flow.has_open_request = true;
    ++health_[flow.token].open_requests;
    callers_.on_request_begun(key.caller.address);
}

void flow_tracker::end_request(const flow_key& key, flow_state& flow) {
    flow.is_request_sent = false;
    if (!flow.has_open_request) {
        return;
    }
    flow.has_open_request = false;
    --health_[flow.token].open_requests;
    callers_.on_request_ended(key.caller.address);
}

void flow_tracker::release(const flow_key& key, flow_state& flow) {
    --health_[flow.token].flows;
    end_request(key, flow);
}

void flow_tracker::note_reached(routing_token token) {
    const auto found = health_.find(token);
    if (found != health_.end()) {
        found->second.reported_dead_until = {};
        found->second.dead_until = {};
    }
}

void flow_tracker::note_response(target_health& health, clock::time_point now) {
    health.reported_dead_until = {};
    health.dead_until = {};
    health.unanswered = 0;
    health.silent_flows = 0;
    health.ejected_until = {};
    health.answered_at = now;
    path_.on_response(now);
}

}  // namespace bramleytrack::steering
