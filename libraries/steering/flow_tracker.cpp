#include "steering/flow_tracker.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

constexpr clock::duration expiry_interval{500};
// An average over about eight answers reflects within a second that a target has become slow.
constexpr double response_time_weight = 0.125;
constexpr int max_ejection_doublings = 2;
constexpr int min_retransmissions_of_silent_flow = 2;

// Serial number arithmetic (RFC 1982): sequence numbers wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

held_flow to_held_flow(const flow_key& key, const flow_state& flow) {
    return {.flow = key,
            .holder = flow.token,
            .acknowledged = flow.acknowledged,
            .next_sequence = flow.next_sequence};
}

}  // namespace

const flow_state* flow_tracker::find(const flow_key& key) const {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

std::optional<routing_token> flow_tracker::find_holder(const segment& packet) const {
    const auto* flow = find(packet.flow);
    const bool is_known = flow != nullptr && flow->is_holder_known &&
                          to_held_flow(packet.flow, *flow).includes(packet);
    return is_known ? std::optional{flow->token} : reported_holders_.find(packet);
}

std::optional<routing_token> flow_tracker::find_token_of_recent_opening(
    const segment& retransmission, clock::time_point now) const {
    const auto* flow = find(retransmission.flow);
    const bool is_same = flow != nullptr && !flow->is_established && flow->token != 0 &&
                         flow->opening_sequence == retransmission.sequence;
    const bool is_too_early =
        is_same && now - flow->opened_at < limits_.min_retransmission_interval;
    return is_too_early ? std::optional{flow->token} : std::nullopt;
}

bool flow_tracker::is_copy_of_open_flow(const segment& retransmission,
                                        clock::time_point now) const {
    const auto* flow = find(retransmission.flow);
    return flow != nullptr && flow->is_established && flow->is_holder_known &&
           flow->opening_sequence == retransmission.sequence &&
           now - flow->opened_at < limits_.opening_lifetime;
}

std::optional<routing_token> flow_tracker::record_unanswered_opening(const flow_key& key,
                                                                     clock::time_point now) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.is_established ||
        now - found->second.opened_at < limits_.min_retransmission_interval) {
        return std::nullopt;
    }
    auto& health = health_[found->second.token];
    // The target has responded to other flows since, so a single packet was lost.
    if (health.last_response_at > found->second.opened_at) {
        return std::nullopt;
    }
    const int doublings = std::min(health.unanswered_openings, max_ejection_doublings);
    ++health.unanswered_openings;
    health.ejected_until =
        now + std::min(limits_.max_ejection_time, limits_.ejection_time * (1 << doublings));
    return found->second.token;
}

void flow_tracker::record_opening(const segment& opening, routing_token token,
                                  clock::time_point now, std::size_t usage) {
    const auto found = flows_.find(opening.flow);
    if (found == flows_.end() && flows_.size() >= limits_.max_flows) {
        return;
    }
    auto& flow = found == flows_.end() ? flows_[opening.flow] : found->second;
    const auto other_target = find_other_target(opening, flow, token, now);
    if (flow.token != 0) {
        release(opening.flow, flow);
    }
    flow = {.token = token,
            .usage = usage,
            .opening_sequence = opening.sequence,
            .next_sequence = opening.sequence,
            .acknowledged = 0,
            .opened_at = now,
            .request_at = {},
            .last_packet_at = now,
            .is_established = false,
            .is_holder_known = false,
            .other_target = other_target,
            .has_open_request = false,
            .is_request_sent = false};
    auto& health = health_[token];
    ++health.flows;
    health.last_opening_at = now;
    begin_request(opening.flow, flow);
    openings_to_check_for_request_.emplace_back(opening.flow, now);
    openings_to_check_for_response_.emplace_back(opening.flow, now);
}

std::optional<routing_token> flow_tracker::find_other_target(const segment& opening,
                                                             const flow_state& recorded,
                                                             routing_token token,
                                                             clock::time_point now) const {
    const bool is_same_opening = recorded.token != 0 && !recorded.is_established &&
                                 recorded.opening_sequence == opening.sequence;
    if (!is_same_opening) {
        return opening.copy > 0 ? std::optional{routing_token{0}} : std::nullopt;
    }
    const bool may_accept = recorded.token != token && !is_known_dead(recorded.token, now);
    return may_accept ? std::optional{recorded.token} : recorded.other_target;
}

std::vector<routing_token> flow_tracker::take_abandoned_openings(clock::time_point now) {
    std::vector<routing_token> result;
    while (!openings_to_check_for_response_.empty() &&
           now - openings_to_check_for_response_.front().second >=
               limits_.opening_response_timeout) {
        const auto& [key, opened_at] = openings_to_check_for_response_.front();
        const auto* flow = find(key);
        const bool is_abandoned =
            flow != nullptr && !flow->is_established && flow->opened_at == opened_at;
        if (is_abandoned && health(flow->token).last_response_at <= opened_at) {
            result.push_back(flow->token);
        }
        openings_to_check_for_response_.pop_front();
    }
    return result;
}

observation flow_tracker::record_packet(const segment& packet, clock::time_point now,
                                        std::size_t usage) {
    observation result;
    const bool is_end = packet.is_reset || packet.is_closing;
    auto* record = find_or_create(packet, usage, is_end, now);
    if (record == nullptr) {
        return result;
    }
    auto& flow = *record;
    flow.last_packet_at = now;
    if (!flow.is_holder_known && flow.is_established) {
        flow.is_holder_known = reported_holders_.take(packet);
    }
    if (!flow.is_established) {
        flow.is_established = true;
        flow.is_holder_known = true;
        flow.acknowledged = packet.acknowledged;
        flow.next_sequence = packet.sequence;
        result.is_opening_accepted = true;
        result.opening_acceptance_time = now - flow.opened_at;
        record_response(health_[flow.token], now);
    }
    if (packet.length > 0) {
        record_data(flow, packet, result, now);
    } else if (!is_end) {
        record_acknowledgement(flow, packet, result, now);
    }
    if (is_after(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
    }
    if (is_end) {
        release(packet.flow, flow);
        flows_.erase(packet.flow);
        return result;
    }
    report_if_opened_twice(packet.flow, flow, now);
    return result;
}

// Returns the record of the packet's flow. Creates one unless the packet ends the flow or the table
// is full.
flow_state* flow_tracker::find_or_create(const segment& packet, std::size_t usage, bool is_end,
                                         clock::time_point now) {
    auto found = flows_.find(packet.flow);
    if (found != flows_.end() && found->second.token == packet.token) {
        return &found->second;
    }
    if (found == flows_.end()) {
        if (is_end || flows_.size() >= limits_.max_flows) {
            return nullptr;
        }
        // The flow was opened through another instance.
        found = flows_.emplace(packet.flow, flow_state{}).first;
        found->second.opened_at = now;
    } else {
        release(packet.flow, found->second);
        // Either a target that the opening or an earlier copy was sent to has accepted it, or this
        // is another flow of the same caller's port, opened through another instance.
        found->second.is_holder_known = !found->second.is_established;
        found->second.other_target =
            found->second.is_established ? std::nullopt : std::optional{found->second.token};
    }
    auto& flow = found->second;
    if (!flow.is_established) {
        flow.acknowledged = packet.acknowledged;
        flow.next_sequence = packet.sequence;
    }
    flow.token = packet.token;
    flow.usage = usage;
    flow.is_established = true;
    ++health_[flow.token].flows;
    return &flow;
}

void flow_tracker::record_data(flow_state& flow, const segment& packet, observation& result,
                               clock::time_point now) {
    const auto end = packet.sequence + packet.length;
    if (!is_after(end, flow.next_sequence)) {
        record_retransmission(flow, result, now);
        return;
    }
    flow.next_sequence = end;
    flow.retransmissions = 0;
    flow.is_counted_as_silent = false;
    // Data that acknowledges more than before begins the next request, even if the previous answer
    // was acknowledged through another instance. Other data belongs to the open request.
    const bool is_next = is_after(packet.acknowledged, flow.acknowledged);
    if (flow.is_request_sent && !is_next) {
        return;
    }
    // The first request is already counted by the flow's opening.
    result.is_request_begun = !flow.has_open_request;
    begin_request(packet.flow, flow);
    flow.is_request_sent = true;
    flow.request_at = now;
}

void flow_tracker::record_retransmission(flow_state& flow, observation& result,
                                         clock::time_point now) {
    auto& health = health_[flow.token];
    ++flow.retransmissions;
    result.retransmissions = flow.retransmissions;
    const bool has_responded = health.last_response_at > flow.request_at;
    const auto waited = now - flow.request_at;
    result.is_target_suspect = !has_responded && waited >= limits_.min_retransmission_interval;
    result.is_target_dead = result.is_target_suspect && now < health.dead_until;
    if (flow.retransmissions < min_retransmissions_of_silent_flow || has_responded ||
        waited < limits_.min_silence) {
        return;
    }
    health.silent_flows += flow.is_counted_as_silent ? 0 : 1;
    flow.is_counted_as_silent = true;
    result.is_target_silent =
        health.silent_flows >= limits_.min_silent_flows && path_.is_healthy(now);
    result.is_target_dead =
        result.is_target_dead ||
        (result.is_target_silent && health.silent_flows >= limits_.min_silent_flows_of_dead_target);
    if (result.is_target_silent) {
        health.ejected_until = std::max(health.ejected_until, now + limits_.ejection_time);
    }
}

// Callers send an acknowledgement without data only when something from the target has just
// arrived. An acknowledgement that comes with data proves nothing: the packet may have arrived
// long before.
void flow_tracker::record_acknowledgement(flow_state& flow, const segment& packet,
                                          observation& result, clock::time_point now) {
    auto& health = health_[flow.token];
    record_response(health, now);
    if (!flow.is_request_sent) {
        return;
    }
    result.is_request_answered = true;
    result.answer_time = now - flow.request_at;
    path_.on_answer(flow.retransmissions > 0, now);
    const auto sample = static_cast<double>(result.answer_time.count());
    health.answer_ms +=
        health.answer_ms == 0 ? sample : (sample - health.answer_ms) * response_time_weight;
    end_request(packet.flow, flow);
}

void flow_tracker::remove_flow(const flow_key& key) {
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

// Stops counting openings that no request has followed. After a power failure of all instances,
// openings wait in their sockets during the start until most callers have given up. Counted as open
// requests they would use up the targets' capacity, and new callers would be rejected although
// targets are idle.
void flow_tracker::end_openings_without_request(clock::time_point now) {
    while (!openings_to_check_for_request_.empty() &&
           now - openings_to_check_for_request_.front().second >= limits_.max_first_request_delay) {
        const auto& [key, opened_at] = openings_to_check_for_request_.front();
        const auto found = flows_.find(key);
        if (found != flows_.end() && !found->second.is_request_sent &&
            found->second.opened_at <= opened_at) {
            end_request(key, found->second);
        }
        openings_to_check_for_request_.pop_front();
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
        if (now - flow.last_packet_at > limits_.open_request_idle_lifetime) {
            end_request(each->first, flow);
        }
        const auto lifetime =
            flow.is_established ? limits_.idle_lifetime : limits_.opening_lifetime;
        if (now - flow.last_packet_at < lifetime) {
            ++each;
            continue;
        }
        release(each->first, flow);
        each = flows_.erase(each);
    }
    callers_.expire(now);
    reported_holders_.expire(now);
    std::erase_if(health_, [this, now](const auto& each) {
        const auto& health = each.second;
        const bool is_considered_dead =
            now < std::max(health.reported_dead_until, health.dead_until);
        return health.flows == 0 && !is_considered_dead &&
               now - health.last_opening_at > limits_.idle_lifetime;
    });
}

const target_health& flow_tracker::health(routing_token token) const {
    static const target_health no_health;
    const auto found = health_.find(token);
    return found == health_.end() ? no_health : found->second;
}

void flow_tracker::begin_request(const flow_key& key, flow_state& flow) {
    if (flow.has_open_request) {
        return;
    }
    flow.has_open_request = true;
    ++health_[flow.token].open_requests;
    if (flow.usage >= open_by_usage_.size()) {
        open_by_usage_.resize(flow.usage + 1);
    }
    ++open_by_usage_[flow.usage];
    callers_.on_request_begun(key.caller.address);
}

void flow_tracker::end_request(const flow_key& key, flow_state& flow) {
    flow.is_request_sent = false;
    if (!flow.has_open_request) {
        return;
    }
    flow.has_open_request = false;
    --health_[flow.token].open_requests;
    --open_by_usage_[flow.usage];
    callers_.on_request_ended(key.caller.address);
}

void flow_tracker::release(const flow_key& key, flow_state& flow) {
    --health_[flow.token].flows;
    end_request(key, flow);
}

bool flow_tracker::is_known_dead(routing_token token, clock::time_point now) const {
    const auto& each = health(token);
    return now < std::max(each.reported_dead_until, each.dead_until);
}

// A dead target accepts nothing, so most openings that were repeated need no report.
void flow_tracker::report_if_opened_twice(const flow_key& key, flow_state& flow,
                                          clock::time_point now) {
    const auto other = std::exchange(flow.other_target, std::nullopt);
    if (other.has_value() && flow.is_holder_known && !is_known_dead(*other, now) &&
        opened_twice_.size() < limits_.max_unreported_flows) {
        opened_twice_.push_back(to_held_flow(key, flow));
    }
}

void flow_tracker::record_reached(routing_token token) {
    const auto found = health_.find(token);
    if (found != health_.end()) {
        found->second.reported_dead_until = {};
        found->second.dead_until = {};
    }
}

void flow_tracker::record_response(target_health& health, clock::time_point now) {
    health.reported_dead_until = {};
    health.dead_until = {};
    health.unanswered_openings = 0;
    health.silent_flows = 0;
    health.ejected_until = {};
    health.last_response_at = now;
    path_.on_response(now);
}

}  // namespace bramleytrack::steering
