#include "steering/decision_log.h"

#include <cmath>

namespace bramleytrack::steering {
namespace {

std::int64_t age_of(clock::time_point since, clock::time_point now) {
    return since == clock::time_point{} ? -1 : (now - since).count();
}

std::string_view name_of_decision(const decision& outcome) {
    if (std::holds_alternative<forward>(outcome)) {
        return "forward";
    }
    if (std::holds_alternative<hold>(outcome)) {
        return "hold";
    }
    return std::holds_alternative<refuse>(outcome) ? "refuse" : "drop";
}

// Starts a line about a flow, which is identified by its two ends.
log_event flow_event(std::string_view name, const flow_key& flow) {
    log_event event{name};
    event.with("caller", to_string(flow.caller)).with("route_address", to_string(flow.route));
    return event;
}

}  // namespace

result_code reason_of(const decision& outcome) {
    if (const auto* refused = std::get_if<refuse>(&outcome)) {
        return refused->reason;
    }
    if (const auto* held = std::get_if<hold>(&outcome)) {
        return held->reason;
    }
    const auto* dropped = std::get_if<drop>(&outcome);
    return dropped != nullptr ? dropped->reason : result_code::ok;
}

void decision_log::opening(const opening_log_entry& entry, clock::time_point now) {
    const auto& packet = entry.packet;
    const bool is_forwarded = std::holds_alternative<forward>(entry.outcome);
    const bool is_heavy = !is_forwarded && flows_.callers().is_heavy(packet.flow.caller.address);
    if (!log_.admits(log_kind::opening, now)) {
        if (!is_forwarded && !std::holds_alternative<hold>(entry.outcome)) {
            unlogged_rejections_.add(entry.service, name_of_decision(entry.outcome),
                                     reason_of(entry.outcome), is_heavy);
        }
        return;
    }
    auto event = flow_event("opening", packet.flow);
    event.with("sequence", packet.sequence)
        .with("copy", packet.copy)
        .with("decision", name_of_decision(entry.outcome))
        .with("reason", name_of(reason_of(entry.outcome)))
        .with("route", entry.route == nullptr ? std::string{"none"} : entry.route->name)
        .with("version", directory_.current_catalogue().version)
        .with("confirmed_ms_ago", age_of(entry.state.confirmed, now))
        .with("candidates", static_cast<std::int64_t>(entry.candidates));
    if (const auto* chosen = std::get_if<forward>(&entry.outcome)) {
        const auto& health = flows_.health(chosen->to->token);
        event.with("target", chosen->to->entry.id)
            .with("target_zone", chosen->to->entry.zone)
            .with("target_revision", chosen->to->revision)
            .with("target_age_ms", age_of(chosen->to->changed_at, now))
            .with("open_requests", health.open_requests);
    } else {
        constexpr double percent = 100;
        event.with("caller_over_share", is_heavy ? "yes" : "no")
            .with("room_percent", std::llround(percent * entry.capacity_fraction))
            .with("slots", std::llround(entry.usage.slots()))
            .with("open_here", std::llround(entry.usage.open_local()))
            .with("open_elsewhere", std::llround(entry.usage.open_remote()))
            .with("wanted_here", std::llround(entry.usage.demand().local))
            .with("wanted_elsewhere", std::llround(entry.usage.demand().remote));
    }
    event.with("ground", name_of(entry.ground));
    if (packet.max_socket_wait > clock::duration{0}) {
        event.with("max_socket_wait_ms", packet.max_socket_wait.count());
    }
    if (entry.waited > clock::duration{0}) {
        event.with("waited_ms", entry.waited.count());
    }
    if (!entry.overflowed_from.empty()) {
        event.with("overflowed_from", entry.overflowed_from);
    }
    log_.write(event);
}

void decision_log::opening_wait_ended(const waiting_opening& opening, wait_outcome outcome,
                                      result_code reason, clock::time_point now) {
    if (outcome == wait_outcome::placed) {
        return;  // the line of the opening has the wait
    }
    if (!log_.admits(log_kind::opening, now)) {
        if (outcome != wait_outcome::abandoned) {
            unlogged_rejections_.add(opening.service, "refuse", reason, false);
        }
        return;
    }
    auto event = flow_event("opening_wait_ended", opening.packet.flow);
    event.with("sequence", opening.packet.sequence)
        .with("service", opening.service)
        .with("route", opening.route)
        .with("outcome", name_of(outcome))
        .with("waited_ms", (now - opening.queued_at).count())
        .with("reason", name_of(reason));
    log_.write(event);
}

void decision_log::undelivered_packet(const segment& packet, const decision& outcome,
                                      clock::time_point now) {
    if (!log_.admits(log_kind::delivery, now)) {
        return;
    }
    const auto* target = directory_.find_target(packet.token);
    auto event = flow_event("packet", packet.flow);
    event.with("sequence", packet.sequence)
        .with("acknowledged", packet.acknowledged)
        .with("token", packet.token)
        .with("target", target == nullptr ? std::string{"unknown"} : target->entry.id)
        .with("decision", name_of_decision(outcome))
        .with("reason", name_of(reason_of(outcome)))
        .with("version", directory_.current_catalogue().version);
    log_.write(event);
}

void decision_log::token_mismatch(const segment& packet, routing_token holder,
                                  clock::time_point now) {
    if (!log_.admits(log_kind::delivery, now)) {
        return;
    }
    const auto* held_by = directory_.find_target(holder);
    const auto* named = directory_.find_target(packet.token);
    auto event = flow_event("token_mismatch", packet.flow);
    event.with("sequence", packet.sequence)
        .with("acknowledged", packet.acknowledged)
        .with("target", held_by == nullptr ? std::string{"unknown"} : held_by->entry.id)
        .with("token", packet.token)
        .with("token_target", named == nullptr ? std::string{"unknown"} : named->entry.id);
    log_.write(event);
}

void decision_log::target_dead(const discovery::target& target, const target_health& health,
                               std::size_t flows, clock::time_point now) {
    if (!log_.admits(log_kind::state_change, now)) {
        return;
    }
    log_.write(log_event{"target_dead"}
                   .with("target", target.entry.id)
                   .with("target_zone", target.entry.zone)
                   .with("silent_flows", health.silent_flows)
                   .with("answered_ms_ago", age_of(health.last_response_at, now))
                   .with("target_age_ms", age_of(target.changed_at, now))
                   .with("flows_ended", static_cast<std::int64_t>(flows)));
}

void decision_log::flow_ended(const flow_key& flow, const discovery::target& target,
                              clock::time_point now) {
    if (!log_.admits(log_kind::delivery, now)) {
        return;
    }
    log_.write(flow_event("flow_ended", flow)
                   .with("target", target.entry.id)
                   .with("reason", name_of(result_code::target_silent))
                   .with("version", directory_.current_catalogue().version));
}

void decision_log::unanswered_opening(const segment& packet, clock::time_point now) {
    const auto* flow = flows_.find(packet.flow);
    const auto* target = flow == nullptr ? nullptr : directory_.find_target(flow->token);
    if (target == nullptr || flow->is_established || !log_.admits(log_kind::answer, now)) {
        return;
    }
    auto event = flow_event("unanswered", packet.flow);
    event.with("sequence", packet.sequence)
        .with("copy", packet.copy)
        .with("target", target->entry.id)
        .with("after_ms", (now - flow->last_packet_at).count())
        .with("target_answered_ms_ago", age_of(flows_.health(target->token).last_response_at, now));
    log_.write(event);
}

void decision_log::late_answer(const segment& packet, const discovery::target& target,
                               clock::duration objective, clock::duration latency,
                               clock::time_point now) {
    const bool is_late = objective > clock::duration{0} && latency > objective;
    if (!is_late || !log_.admits(log_kind::answer, now)) {
        return;
    }
    const auto& health = flows_.health(target.token);
    auto event = flow_event("late_answer", packet.flow);
    event.with("target", target.entry.id)
        .with("took_ms", latency.count())
        .with("objective_ms", objective.count())
        .with("open_requests", health.open_requests)
        .with("usual_ms", std::llround(health.answer_ms))
        .with("target_age_ms", age_of(target.changed_at, now));
    log_.write(event);
}

}  // namespace bramleytrack::steering
