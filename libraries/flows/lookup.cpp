#include "flows/lookup.h"

#include <algorithm>

#include "routing/candidates.h"

namespace bramleytrack::flows {
namespace {

using wire::packet_kind;

// Queries are retransmitted after this time, because a query or its answer may be lost.
constexpr clock::duration retransmit_interval{200};
// A target that holds the flow does not answer the probe. After this time, many times the round
// trip, silence counts as holding the flow if every other candidate is ruled out.
constexpr clock::duration probe_timeout{100};
// This instance may have an old configuration without the target on which a peer with the new one
// has placed the flow, and a reset would break a live flow. Two heartbeats suffice to announce the
// new version, so a flow that is found nowhere is reset only after them.
constexpr clock::duration reset_delay{2 * membership::heartbeat_interval};
// Covers lost heartbeats of two owners: by then each peer is either declared dead or has sent a
// heartbeat.
constexpr clock::duration lookup_timeout{3'000};
constexpr clock::duration retry_after{1'000};

bool is_opening_packet(const wire::forward& forwarded) {
    return forwarded.content.kind == packet_kind::open;
}

}  // namespace

void lookup::start(wire::forward forwarded, clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    if (lookups_.contains(key)) {
        shared_.out.drop(forwarded.content, result_code::flow_in_doubt);
        return;
    }
    if (lookups_.size() >= max_lookups) {
        fail_packet(forwarded);
        return;
    }
    pending_lookup added;
    added.undecided = candidates(forwarded);
    added.configuration_version = shared_.configuration.version;
    added.held_packet = std::move(forwarded);
    added.started_at = now;
    added.stage_started_at = now;
    lookups_.emplace(key, std::move(added));
    query_undecided(key, now);
    evaluate(key, now);
}

std::vector<lookup::candidate> lookup::candidates(const wire::forward& forwarded) const {
    std::vector<candidate> result;
    add_candidates(shared_.configuration, forwarded, result);
    for (const auto& each : shared_.previous.all()) {
        add_candidates(each.content, forwarded, result);
    }
    return result;
}

// After a service address was reassigned, a packet of an older flow would be looked up among the
// targets of the new service only: the flow would end, or its packets would reach a target of
// another service. So the service that had the address under `configuration` is included.
void lookup::add_candidates(const configuration::configuration& configuration,
                            const wire::forward& forwarded, std::vector<candidate>& result) const {
    const auto key = routing::key_of(forwarded.content);
    const auto* at_address =
        configuration.find_service_by_address(forwarded.content.service_address);
    std::vector<std::string_view> services{forwarded.service_name};
    if (at_address != nullptr && at_address->name != forwarded.service_name &&
        !is_opening_packet(forwarded)) {
        services.emplace_back(at_address->name);
    }
    for (const auto service : services) {
        for (const auto* each : routing::candidates_of(configuration, service, key)) {
            const auto* current = shared_.configuration.find_target(each->name);
            const bool is_served = current != nullptr && current->service == service &&
                                   shared_.configuration.is_zone_in(current->zone);
            const bool is_new =
                std::ranges::find(result, each->name, &candidate::target) == result.end();
            if (is_served && is_new && result.size() < max_queried_candidates) {
                result.push_back({.target = each->name});
            }
        }
    }
}

void lookup::query_undecided(routing::flow_key key, clock::time_point now) {
    auto& state = lookups_.at(key);
    state.queried_at = now;
    wire::flow_query query;
    query.content = state.held_packet;
    query.content.content.payload.clear();
    query.ask_target = state.targets_probed_at.has_value();
    const auto undecided = state.undecided;
    for (const auto& each : undecided) {
        if (!lookups_.contains(key)) {
            return;  // a local answer has ended the lookup
        }
        query.content.target = each.target;
        send_query_(query, now);
    }
}

void lookup::on_answer(const wire::flow_query_answer& answer, clock::time_point now) {
    const auto key = routing::key_of(answer.content.content);
    const auto found = lookups_.find(key);
    if (found == lookups_.end()) {
        return;
    }
    if (answer.is_known) {
        finish(key, answer.target, now);
        return;
    }
    auto& undecided = found->second.undecided;
    const auto each = std::ranges::find(undecided, answer.content.target, &candidate::target);
    if (each == undecided.end()) {
        return;
    }
    each->has_answered = true;
    if (answer.is_certain) {
        undecided.erase(each);
    }
    evaluate(key, now);
}

void lookup::evaluate(routing::flow_key key, clock::time_point now) {
    const auto found = lookups_.find(key);
    if (found == lookups_.end()) {
        return;
    }
    auto& state = found->second;
    if (state.undecided.empty() && query_remaining_targets(key, now)) {
        return;
    }
    if (state.undecided.empty()) {
        state.ruled_out_at = state.ruled_out_at.value_or(now);
        if (is_opening_packet(state.held_packet) || now - *state.ruled_out_at >= reset_delay) {
            finish(key, std::nullopt, now);
        }
        return;
    }
    if (!state.targets_probed_at) {
        const bool have_all_answered =
            std::ranges::all_of(state.undecided, &candidate::has_answered);
        if (have_all_answered || now - state.stage_started_at >= retransmit_interval) {
            state.targets_probed_at = now;
            query_undecided(key, now);
        }
        return;
    }
    const bool is_last = state.undecided.size() == 1 && !is_opening_packet(state.held_packet);
    if (is_last && now - *state.targets_probed_at >= probe_timeout) {
        finish(key, state.undecided.front().target, now);
    }
}

bool lookup::query_remaining_targets(routing::flow_key key, clock::time_point now) {
    auto& state = lookups_.at(key);
    if (is_opening_packet(state.held_packet) || !state.queried_targets.empty()) {
        return false;
    }
    for (const auto& each : candidates(state.held_packet)) {
        state.queried_targets.push_back(each.target);
    }
    for (const auto& each : shared_.configuration.targets) {
        const bool is_queried =
            std::ranges::find(state.queried_targets, each.name) != state.queried_targets.end();
        const bool is_served = each.service == state.held_packet.service_name &&
                               shared_.configuration.is_zone_in(each.zone);
        if (is_served && !is_queried && state.undecided.size() < max_queried_targets) {
            state.undecided.push_back({.target = each.name});
        }
    }
    if (state.undecided.empty()) {
        return false;
    }
    state.targets_probed_at.reset();
    state.stage_started_at = now;
    query_undecided(key, now);
    evaluate(key, now);
    return true;
}

void lookup::on_tick(clock::time_point now) {
    std::vector<routing::flow_key> keys;
    keys.reserve(lookups_.size());
    std::ranges::transform(lookups_, std::back_inserter(keys),
                           [](const auto& entry) { return entry.first; });
    std::ranges::sort(keys);  // deterministic order
    for (const auto key : keys) {
        auto& state = lookups_.at(key);
        if (now - state.started_at >= lookup_timeout) {
            fail_packet(state.held_packet);
            lookups_.erase(key);
            continue;
        }
        const bool is_changed = state.configuration_version != shared_.configuration.version;
        // If a zone is taken out during the lookup of a copy of an opening packet, the target that
        // holds the flow is no longer a candidate, and the flow would be opened at a second target.
        if (is_changed && is_opening_packet(state.held_packet)) {
            fail_packet(state.held_packet);
            lookups_.erase(key);
            continue;
        }
        if (is_changed) {
            auto held_packet = std::move(state.held_packet);
            lookups_.erase(key);
            start(std::move(held_packet), now);
            continue;
        }
        if (!state.undecided.empty() && now - state.queried_at >= retransmit_interval) {
            query_undecided(key, now);
        }
        evaluate(key, now);
    }
}

void lookup::finish(routing::flow_key key, std::optional<std::string> target,
                    clock::time_point now) {
    auto held_packet = std::move(lookups_.at(key).held_packet);
    lookups_.erase(key);
    shared_.out.log(log_event{"flow_looked_up"}
                        .with("service", held_packet.service_name)
                        .with("caller", held_packet.content.caller)
                        .with("flow", held_packet.content.flow)
                        .with("target", target.value_or("none")));
    on_result_(std::move(held_packet), std::move(target), now);
}

// A request that the previous owner dispatched may have run, so its outcome is unknown.
void lookup::fail_packet(const wire::forward& forwarded) {
    if (is_opening_packet(forwarded)) {
        shared_.out.refuse(forwarded.content, result_code::flow_in_doubt, retry_after);
    } else if (forwarded.content.kind == packet_kind::request) {
        shared_.out.answer_unknown(forwarded.content, result_code::flow_in_doubt);
    } else {
        shared_.out.drop(forwarded.content, result_code::flow_in_doubt);
    }
}

bool lookup::is_opening(routing::flow_key key) const {
    const auto found = lookups_.find(key);
    return found != lookups_.end() && is_opening_packet(found->second.held_packet);
}

std::optional<wire::forward> lookup::abandon(routing::flow_key key) {
    const auto found = lookups_.find(key);
    if (found == lookups_.end()) {
        return std::nullopt;
    }
    auto held_packet = std::move(found->second.held_packet);
    lookups_.erase(found);
    return held_packet;
}

}  // namespace bramleytrack::flows
