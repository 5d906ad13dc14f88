#include "steering/flow_watch.h"

#include <algorithm>

namespace bramleytrack::steering {
namespace {

constexpr clock::duration expiry_interval{500};
// A moving average over about eight answers follows a target that turns slow within a second.
constexpr double answer_weight = 0.125;
constexpr int max_shun_doublings = 2;

// Serial number arithmetic (RFC 1982): sequence numbers wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

const flow_state* flow_watch::find(const flow_key& key) const {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

void flow_watch::note_unanswered(const flow_key& key, clock::time_point now) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.is_established) {
        return;
    }
    auto& signs = signs_[found->second.token];
    // A target that answered others meanwhile lost one packet, no more.
    if (signs.answered_at > found->second.opened_at) {
        return;
    }
    const int doublings = std::min(signs.unanswered, max_shun_doublings);
    ++signs.unanswered;
    ++openings_without_answer_;
    signs.shunned_until = now + std::min(limits_.longest_shun, limits_.shun_for * (1 << doublings));
}

void flow_watch::note_opening(const segment& opening, routing_token token, clock::time_point now) {
    const auto found = flows_.find(opening.flow);
    if (found == flows_.end() && flows_.size() >= limits_.max_flows) {
        return;
    }
    auto& flow = found == flows_.end() ? flows_[opening.flow] : found->second;
    const bool is_same = flow.token != 0 && flow.opening_sequence == opening.sequence;
    const int copies = is_same ? flow.copies + 1 : 0;
    if (flow.token != 0) {
        release(flow);
    }
    flow = {.token = token,
            .opening_sequence = opening.sequence,
            .next_sequence = opening.sequence,
            .acknowledged = 0,
            .opened_at = now,
            .request_at = {},
            .seen_at = now,
            .is_established = false,
            .has_open_request = true,
            .is_request_sent = false,
            .copies = copies};
    auto& signs = signs_[token];
    ++signs.flows;
    ++signs.open_requests;
    signs.opened_at = now;
}

observation flow_watch::note_packet(const segment& content, clock::duration objective, int slots,
                                    clock::time_point now) {
    observation result;
    const bool is_end = content.is_reset || content.is_closing;
    auto found = flows_.find(content.flow);
    if (found == flows_.end()) {
        if (is_end || flows_.size() >= limits_.max_flows) {
            return result;
        }
        // The flow was opened through another instance.
        found = flows_.emplace(content.flow, flow_state{}).first;
        found->second.token = content.token;
        found->second.is_established = true;
        found->second.next_sequence = content.sequence;
        found->second.acknowledged = content.acknowledged;
        ++signs_[content.token].flows;
    }
    auto& flow = found->second;
    if (flow.token != content.token) {
        release(flow);
        flow.token = content.token;
        flow.has_open_request = false;
        flow.is_request_sent = false;
        ++signs_[flow.token].flows;
    }
    flow.seen_at = now;
    auto& signs = signs_[flow.token];
    if (!flow.is_established) {
        flow.is_established = true;
        flow.acknowledged = content.acknowledged;
        flow.next_sequence = content.sequence;
        result.is_answer_to_opening = true;
        result.opening_took = now - flow.opened_at;
        note_life(signs, now);
    }
    if (is_after(content.acknowledged, flow.acknowledged)) {
        flow.acknowledged = content.acknowledged;
        note_life(signs, now);
        if (flow.is_request_sent) {
            const int open = signs.open_requests;
            flow.has_open_request = false;
            flow.is_request_sent = false;
            --signs.open_requests;
            result.is_answer = true;
            result.answer_took = now - flow.request_at;
            const auto took = static_cast<double>(result.answer_took.count());
            if (objective > clock::duration{0}) {
                signs.limit.on_answer(result.answer_took, objective, open, slots);
            }
            signs.answer_ms +=
                signs.answer_ms == 0 ? took : (took - signs.answer_ms) * answer_weight;
        }
    }
    if (content.length > 0) {
        const auto end = content.sequence + content.length;
        if (is_after(end, flow.next_sequence)) {
            flow.next_sequence = end;
            if (!flow.is_request_sent) {
                flow.is_request_sent = true;
                flow.request_at = now;
                signs.open_requests += flow.has_open_request ? 0 : 1;
                flow.has_open_request = true;
            }
        } else {
            result.is_retransmission = true;
        }
    }
    if (is_end) {
        release(flow);
        flows_.erase(found);
    }
    return result;
}

void flow_watch::expire(clock::time_point now) {
    if (now < next_expiry_) {
        return;
    }
    next_expiry_ = now + expiry_interval;
    for (auto each = flows_.begin(); each != flows_.end();) {
        auto& flow = each->second;
        if (flow.has_open_request && now - flow.seen_at > limits_.request_silence) {
            --signs_[flow.token].open_requests;
            flow.has_open_request = false;
            flow.is_request_sent = false;
        }
        const auto lifetime =
            flow.is_established ? limits_.idle_lifetime : limits_.opening_lifetime;
        if (now - flow.seen_at < lifetime) {
            ++each;
            continue;
        }
        release(flow);
        each = flows_.erase(each);
    }
    std::erase_if(signs_, [this, now](const auto& each) {
        return each.second.flows == 0 && now - each.second.opened_at > limits_.idle_lifetime;
    });
}

const target_signs& flow_watch::signs(routing_token token) const {
    static const target_signs unknown;
    const auto found = signs_.find(token);
    return found == signs_.end() ? unknown : found->second;
}

void flow_watch::release(const flow_state& flow) {
    auto& signs = signs_[flow.token];
    --signs.flows;
    if (flow.has_open_request) {
        --signs.open_requests;
    }
}

void flow_watch::note_life(target_signs& signs, clock::time_point now) {
    signs.unanswered = 0;
    signs.shunned_until = {};
    signs.answered_at = now;
    answered_at_ = now;
    openings_without_answer_ = 0;
}

}  // namespace bramleytrack::steering
