#include "steering/decision_log.h"

#include <cmath>

namespace bramleytrack::steering {
namespace {

std::int64_t age_of(clock::time_point since, clock::time_point now) {
    return since == clock::time_point{} ? -1 : (now - since).count();
}

std::string_view name_of_decision(const decision& made) {
    if (std::holds_alternative<forward>(made)) {
        return "forward";
    }
    return std::holds_alternative<refuse>(made) ? "refuse" : "drop";
}

// Which flow a line is about: both ends, and the opening sequence number where it is known.
log_event flow_event(std::string_view name, const flow_key& flow) {
    log_event event{name};
    event.with("caller", to_string(flow.caller)).with("route_address", to_string(flow.route));
    return event;
}

}  // namespace

result_code reason_of(const decision& made) {
    if (const auto* refused = std::get_if<refuse>(&made)) {
        return refused->reason;
    }
    const auto* dropped = std::get_if<drop>(&made);
    return dropped != nullptr ? dropped->reason : result_code::ok;
}

void decision_log::opening(const opening_facts& facts, clock::time_point now) {
    const auto& content = facts.content;
    const bool is_forwarded = std::holds_alternative<forward>(facts.made);
    const bool is_heavy = !is_forwarded && flows_.callers().is_heavy(content.flow.caller.address);
    if (!log_.admits(log_kind::opening, now)) {
        if (!is_forwarded) {
            left_out_.add(facts.service, name_of_decision(facts.made), reason_of(facts.made),
                          is_heavy);
        }
        return;
    }
    auto event = flow_event("opening", content.flow);
    event.with("sequence", content.sequence)
        .with("copy", content.copy)
        .with("decision", name_of_decision(facts.made))
        .with("reason", name_of(reason_of(facts.made)))
        .with("route", facts.route == nullptr ? std::string{"none"} : facts.route->name)
        .with("version", known_.in_force().version)
        .with("confirmed_ms_ago", age_of(facts.state.confirmed, now))
        .with("candidates", static_cast<std::int64_t>(facts.candidates));
    if (const auto* chosen = std::get_if<forward>(&facts.made)) {
        const auto& health = flows_.health(chosen->to->token);
        event.with("target", chosen->to->entry.id)
            .with("target_zone", chosen->to->entry.zone)
            .with("target_revision", chosen->to->revision)
            .with("target_age_ms", age_of(chosen->to->changed_at, now))
            .with("open_requests", health.open_requests);
    } else {
        constexpr double percent = 100;
        event.with("caller_over_share", is_heavy ? "yes" : "no")
            .with("room_percent", std::llround(percent * facts.capacity_share))
            .with("slots", std::llround(facts.use.slots()))
            .with("open_here", std::llround(facts.use.open_local()))
            .with("open_elsewhere", std::llround(facts.use.open_remote()))
            .with("wanted_here", std::llround(facts.use.demand().local))
            .with("wanted_elsewhere", std::llround(facts.use.demand().remote));
    }
    log_.write(event);
}

void decision_log::packet(const segment& content, const decision& made, clock::time_point now) {
    if (!log_.admits(log_kind::delivery, now)) {
        return;
    }
    const auto* target = known_.find_target(content.token);
    auto event = flow_event("packet", content.flow);
    event.with("sequence", content.sequence)
        .with("acknowledged", content.acknowledged)
        .with("token", content.token)
        .with("target", target == nullptr ? std::string{"unknown"} : target->entry.id)
        .with("decision", name_of_decision(made))
        .with("reason", name_of(reason_of(made)))
        .with("version", known_.in_force().version);
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
                   .with("answered_ms_ago", age_of(health.answered_at, now))
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
                   .with("version", known_.in_force().version));
}

void decision_log::unanswered(const segment& content, clock::time_point now) {
    const auto* flow = flows_.find(content.flow);
    const auto* target = flow == nullptr ? nullptr : known_.find_target(flow->token);
    if (target == nullptr || flow->is_established || !log_.admits(log_kind::answer, now)) {
        return;
    }
    auto event = flow_event("unanswered", content.flow);
    event.with("sequence", content.sequence)
        .with("copy", content.copy)
        .with("target", target->entry.id)
        .with("after_ms", (now - flow->seen_at).count())
        .with("target_answered_ms_ago", age_of(flows_.health(target->token).answered_at, now));
    log_.write(event);
}

void decision_log::answer(const segment& content, const discovery::target& target,
                          clock::duration objective, clock::duration took, clock::time_point now) {
    const bool is_late = objective > clock::duration{0} && took > objective;
    if (!is_late || !log_.admits(log_kind::answer, now)) {
        return;
    }
    const auto& health = flows_.health(target.token);
    auto event = flow_event("late_answer", content.flow);
    event.with("target", target.entry.id)
        .with("took_ms", took.count())
        .with("objective_ms", objective.count())
        .with("open_requests", health.open_requests)
        .with("usual_ms", std::llround(health.answer_ms))
        .with("target_age_ms", age_of(target.changed_at, now));
    log_.write(event);
}

}  // namespace bramleytrack::steering
