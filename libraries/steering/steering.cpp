#include "steering/steering.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace bramleytrack::steering {
namespace {

// The priority of requests on a route that is no longer listed.
constexpr int lowest_priority = std::numeric_limits<int>::max();

// The service to which the metrics attribute an opening.
std::string service_of(const discovery::route* route, const decision& outcome) {
    if (const auto* forwarded = std::get_if<forward>(&outcome)) {
        return forwarded->to->entry.service;
    }
    const bool has_split = route != nullptr && !route->splits.empty();
    return has_split ? route->splits.front().service : "none";
}

}  // namespace

steering::steering(location own_location, const discovery::directory& directory, cold_gate& gate,
                   const remote_load& remote, event_log& log, flow_observer& observer,
                   steering_limits limits)
    : location_{std::move(own_location)},
      directory_{directory},
      cold_gate_{gate},
      placement_{{.own_location = location_,
                  .directory = directory,
                  .gate = gate,
                  .remote = remote,
                  .flows = flows_,
                  .usage = usage_,
                  .speeds = speeds_,
                  .demands = demands_}},
      log_{log, directory, flows_, location_.zone},
      observer_{observer},
      limits_{limits} {}

void steering::set_admission(const admission_settings& settings) {
    admission_ = settings;
    placement_.set_settings(settings);
    waiting_.set_limits({.max_entries = settings.opening_queue_entries});
}

decision steering::on_segment(const segment& packet, const directory_state& state,
                              clock::time_point now, std::span<const std::uint8_t> datagram) {
    return packet.is_opening ? on_opening(packet, state, now, datagram)
                             : on_established_packet(packet, state, now);
}

void steering::expire(clock::time_point now) {
    flows_.expire(now);
    speeds_.expire(now);
    cold_gate_.expire(now);
    log_.report_rejections(now);
}

void steering::record_opening(const segment& packet, const directory_state& state,
                              const discovery::route* route, const decision& outcome,
                              const placement_outcome& placement, clock::duration waited,
                              clock::time_point now) {
    const auto service = placement.service.empty() ? service_of(route, outcome) : placement.service;
    observer_.on_decision(service, outcome);
    if (!placement.overflowed_from.empty()) {
        observer_.on_overflow(placement.overflowed_from, placement.service);
    }
    log_.opening({.packet = packet,
                  .state = state,
                  .service = service,
                  .route = route,
                  .outcome = outcome,
                  .candidates = placement.candidates,
                  .capacity_fraction = placement.capacity_fraction,
                  .usage = placement.usage,
                  .ground = placement.ground,
                  .waited = waited,
                  .overflowed_from = placement.overflowed_from},
                 now);
}

decision steering::on_opening(const segment& packet, const directory_state& state,
                              clock::time_point now, std::span<const std::uint8_t> datagram) {
    const auto* route = directory_.find_route(packet.flow.route);
    placement_outcome placement;
    const auto record_outcome = [&](const decision& outcome) {
        record_opening(packet, state, route, outcome, placement, clock::duration{0}, now);
        return outcome;
    };
    if (packet.max_socket_wait >= lifetime_of_opening(packet.copy)) {
        return record_outcome(drop{result_code::opening_too_late});
    }
    // Guards against another target that accepts an open flow: the copy was overtaken by the
    // packets that its caller has sent since.
    if (packet.copy > 0 && flows_.is_copy_of_open_flow(packet, now)) {
        return record_outcome(drop{result_code::opening_too_late});
    }
    if (!state.is_complete) {
        return record_outcome(drop{result_code::not_ready});
    }
    const bool is_state_fresh = now - state.confirmed <= limits_.max_refusal_staleness;
    end_expired_waits(now);
    if (waiting_.contains(packet.flow)) {
        return hold{result_code::queue_full};
    }
    if (route == nullptr) {
        // A partitioned instance may not have received a route that was added since, and must not
        // refuse its callers. It drops the packet instead, and the retransmission may reach an
        // instance that has the route.
        return record_outcome(
            is_state_fresh ? decision{refuse{{.flow = packet.flow}, result_code::unknown_route}}
                           : decision{drop{result_code::unknown_route}});
    }
    flows_.record_attempt(packet.flow, now);
    if (const auto* original_target = find_target_of_recent_opening(packet, now)) {
        return record_outcome(forward{original_target});
    }
    if (packet.copy > 0) {
        log_.unanswered_opening(packet, now);
        if (const auto token = flows_.record_unanswered_opening(packet.flow, now)) {
            suspects_.push_back(*token);
        }
    }
    if (const auto* pool = placement_.choose_pool(*route, packet)) {
        const std::string_view service = pool->description.name;
        if (packet.copy == 0) {
            demands_[pool->description.name].on_request(route->priority, now);
            usage_.on_request(usage_index(service, route), now);
        }
        // Those that wait already have precedence.
        release_waiting_of(service, state, now);
    }
    auto outcome = try_to_place(packet, *route, state, placement, now);
    const auto* refused = std::get_if<refuse>(&outcome);
    if (refused != nullptr && refused->reason == result_code::queue_full) {
        outcome = hold_or_refuse(packet, *route, placement, datagram, now);
    }
    return record_outcome(outcome);
}

int steering::open_requests_of(std::string_view service, std::string_view route) const {
    int result = 0;
    for (const auto index : usage_.routes_of(service)) {
        result += usage_.at(index).route == route ? flows_.open_requests_of(index) : 0;
    }
    return result;
}

std::size_t steering::usage_index(std::string_view service, const discovery::route* route) {
    return usage_.index_of(service,
                           route == nullptr ? std::string_view{} : std::string_view{route->name});
}

decision steering::try_to_place(const segment& packet, const discovery::route& route,
                                const directory_state& state, placement_outcome& placement,
                                clock::time_point now) {
    placement = placement_.place(packet, route, now);
    if (placement.target == nullptr) {
        const bool is_state_fresh = now - state.confirmed <= limits_.max_refusal_staleness;
        return on_placement_failure(packet, placement.failure, placement.has_held_back_cold_target,
                                    is_state_fresh);
    }
    cold_gate_.on_flow_opened(*placement.target, now);
    const auto usage = usage_index(placement.service, &route);
    flows_.record_opening(packet, placement.target->token, now, usage);
    if (packet.copy == 0) {
        usage_.on_begun(usage, now);
    }
    placement_.on_placed(placement);
    return forward{placement.target};
}

// An opening that finds no capacity waits for it, as long as it can still be answered in time.
decision steering::hold_or_refuse(const segment& packet, const discovery::route& route,
                                  const placement_outcome& placement,
                                  std::span<const std::uint8_t> datagram, clock::time_point now) {
    const auto objective = static_cast<double>(route.latency_objective.count());
    const clock::duration max_wait = std::min(
        lifetime_of_opening(packet.copy) - packet.max_socket_wait,
        clock::duration{static_cast<std::int64_t>(objective * admission_.opening_wait_fraction)});
    const refuse refusal{{.flow = packet.flow}, result_code::queue_full};
    if (is_stopping_ || admission_.opening_queue_entries == 0 || max_wait <= clock::duration{0}) {
        return refusal;
    }
    const auto outcome =
        waiting_.push({.packet = packet,
                       .datagram = {datagram.begin(), datagram.end()},
                       .service = placement.service,
                       .route = route.name,
                       .priority = route.priority,
                       .work_ms = usage_.work_ms(usage_index(placement.service, &route)),
                       .queued_at = now,
                       .refuse_at = now + max_wait},
                      now);
    return outcome == queue_outcome::queued ? decision{hold{result_code::queue_full}}
                                            : decision{refusal};
}

void steering::release_waiting(const directory_state& state, clock::time_point now) {
    for (const auto& service : waiting_.services()) {
        release_waiting_of(service, state, now);
    }
    end_expired_waits(now);
}

void steering::end_expired_waits(clock::time_point now) {
    if (!waiting_.has_entries()) {
        return;
    }
    for (const auto& each : waiting_.take_expired(now)) {
        // After a pause of the process, another instance may have opened the flow.
        const auto max_age = now - each.queued_at + each.packet.max_socket_wait;
        const bool is_too_old = max_age >= time_to_retransmission(each.packet.copy);
        const refuse refusal{{.flow = each.packet.flow}, result_code::queue_full};
        const bool is_evicted = each.refuse_at > now;
        end_wait(each, is_evicted ? wait_outcome::refused : wait_outcome::expired,
                 is_too_old ? decision{drop{result_code::queue_full}} : decision{refusal}, now);
    }
}

void steering::release_waiting_of(std::string_view service, const directory_state& state,
                                  clock::time_point now) {
    if (waiting_.size() == 0) {
        return;
    }
    waiting_.release(service, now, [this, &state, now](const waiting_opening& opening) {
        return try_to_release(opening, state, now);
    });
}

// Decides anew with the newest directory: the route, the target or the zone may be gone.
bool steering::try_to_release(const waiting_opening& opening, const directory_state& state,
                              clock::time_point now) {
    if (now >= opening.refuse_at) {
        return false;
    }
    const auto* route = directory_.find_route(opening.packet.flow.route);
    if (route == nullptr) {
        end_wait(opening, wait_outcome::refused,
                 refuse{{.flow = opening.packet.flow}, result_code::unknown_route}, now);
        return true;
    }
    placement_outcome placement;
    const auto outcome = try_to_place(opening.packet, *route, state, placement, now);
    if (!std::holds_alternative<forward>(outcome)) {
        return false;
    }
    record_opening(opening.packet, state, route, outcome, placement, now - opening.queued_at, now);
    end_wait(opening, wait_outcome::placed, outcome, now);
    return true;
}

void steering::end_wait(const waiting_opening& opening, wait_outcome outcome,
                        const decision& decided, clock::time_point now) {
    observer_.on_wait_ended(opening.service, opening.route, outcome, now - opening.queued_at);
    log_.opening_wait_ended(opening, outcome, reason_of(decided), now);
    if (outcome == wait_outcome::refused || outcome == wait_outcome::expired) {
        observer_.on_decision(opening.service, decided);
    }
    released_.push_back({.datagram = opening.datagram, .outcome = decided});
}

void steering::end_waiting(const directory_state& state, clock::time_point now) {
    is_stopping_ = true;
    release_waiting(state, now);
    for (const auto& each : waiting_.take_all()) {
        end_wait(each, wait_outcome::refused,
                 refuse{{.flow = each.packet.flow}, result_code::not_ready}, now);
    }
}

// Returns the target on which the opening of this retransmission was placed, if both waited in this
// instance's socket. While an instance starts or is paused, an opening and its retransmissions
// queue there and are then read within a few milliseconds. Taken for signs of targets that do not
// respond, they would get most targets ejected and callers rejected although targets are idle, and
// two targets would accept the same flow. The retransmission therefore goes to the same target.
// Returns null if that target takes no new flows any more, or is cold: the retransmission is then
// placed like a new opening, within the rate limit of cold targets.
const discovery::target* steering::find_target_of_recent_opening(const segment& packet,
                                                                 clock::time_point now) const {
    const auto token =
        packet.copy > 0 ? flows_.find_token_of_recent_opening(packet, now) : std::nullopt;
    const auto* target = token.has_value() ? directory_.find_target(*token) : nullptr;
    const bool can_accept_retransmission =
        target != nullptr && placement_.accepts_flows(*target, now) && !target->is_cold(now);
    return can_accept_retransmission ? target : nullptr;
}

// When the candidates are saturated, the caller is always refused: its wait would delay others, and
// a refusal is safe because nothing has run. Without a candidate it is refused as well, with two
// exceptions in which the packet is dropped. A cold target that was held back may accept the
// retransmission 200 ms later. While the directory is stale, a target may have been added that it
// does not list yet.
decision steering::on_placement_failure(const segment& packet, placement_failure reason,
                                        bool has_held_back_cold_target, bool is_state_fresh) {
    if (reason == placement_failure::saturated) {
        return refuse{{.flow = packet.flow}, result_code::queue_full};
    }
    if (is_state_fresh && !has_held_back_cold_target) {
        return refuse{{.flow = packet.flow}, result_code::no_eligible_target};
    }
    return drop{result_code::no_eligible_target};
}

decision steering::on_established_packet(const segment& received, const directory_state& state,
                                         clock::time_point now) {
    const auto packet = with_token_of_holder(received, now);
    const auto record_outcome = [&](const decision& outcome) {
        observer_.on_decision("established", outcome);
        log_.undelivered_packet(packet, outcome, now);
        return outcome;
    };
    // The caller has given up, or another instance has opened the flow.
    if (const auto abandoned = waiting_.size() > 0 ? waiting_.remove(packet.flow) : std::nullopt) {
        observer_.on_wait_ended(abandoned->service, abandoned->route, wait_outcome::abandoned,
                                now - abandoned->queued_at);
        log_.opening_wait_ended(*abandoned, wait_outcome::abandoned, result_code::ok, now);
    }
    if (is_ended_by_route_removal(packet, state, now)) {
        return record_outcome(refuse{{.flow = packet.flow, .sequence = packet.acknowledged},
                                     result_code::unknown_route});
    }
    const auto* target = directory_.find_target(packet.token);
    if (target == nullptr) {
        // Any other target would reset the flow.
        return record_outcome(drop{result_code::unknown_token});
    }
    const auto* route = directory_.find_route(packet.flow.route);
    const auto objective = route == nullptr ? clock::duration{0} : route->latency_objective;
    const auto* known_flow = flows_.find(packet.flow);
    const bool is_known = known_flow != nullptr && known_flow->token == packet.token;
    const auto usage = is_known ? known_flow->usage : usage_index(target->entry.service, route);
    const auto observed = flows_.record_packet(packet, now, usage);
    if (observed.is_request_begun) {
        demands_[target->entry.service].on_request(
            route == nullptr ? lowest_priority : route->priority, now);
        usage_.on_request(usage, now);
        // Targets that take no flows, or are cold, are no part of the capacity either.
        if (placement_.accepts_flows(*target, now) && !target->is_cold(now)) {
            usage_.on_begun(usage, now);
        }
        placement_.on_established_request(*target, now);
    }
    if (observed.is_opening_accepted) {
        observer_.on_opening_answered(*target, observed.opening_acceptance_time);
    }
    if (observed.is_request_answered) {
        observer_.on_answer(*target, observed.answer_time);
        learn_from_answer(*target, usage, observed.answer_time, now);
        log_.late_answer(packet, *target, objective, observed.answer_time, now);
    }
    if (observed.is_request_answered || packet.is_reset || packet.is_closing) {
        release_waiting_of(target->entry.service, state, now);
    }
    if (observed.is_target_suspect) {
        suspects_.push_back(target->token);
    }
    if (observed.is_target_dead) {
        end_flows_of(*target, now);
        return record_outcome(refuse{{.flow = packet.flow, .sequence = packet.acknowledged},
                                     result_code::target_silent});
    }
    if (const auto reason = reset_reason(*target, route, observed)) {
        flows_.remove_flow(packet.flow);
        return record_outcome(
            refuse{{.flow = packet.flow, .sequence = packet.acknowledged}, *reason});
    }
    return forward{target};
}

// Guards against packets of an open flow that go to another target that has accepted the same
// opening: it doesn't hold the flow and resets it. Its acceptance reaches the caller after the
// flow has opened, and the caller then returns its token until the holder responds again. The
// acknowledgement of a packet is of the holder's sequence numbers whichever token it returns.
segment steering::with_token_of_holder(const segment& packet, clock::time_point now) {
    const auto holder = flows_.find_holder(packet);
    if (!holder.has_value() || *holder == packet.token) {
        return packet;
    }
    observer_.on_token_mismatch();
    log_.token_mismatch(packet, *holder, now);
    auto result = packet;
    result.token = *holder;
    return result;
}

// Learns the work of the route's requests, and the speed of the target from what the answer should
// have taken: the work, and the wait for the requests that are open on the target.
void steering::learn_from_answer(const discovery::target& target, std::size_t usage,
                                 clock::duration answer_time, clock::time_point now) {
    if (!admission_.capacity_shares && !admission_.zone_balance) {
        return;
    }
    const bool is_calm = placement_.standing_of(target.entry.service, now).is_calm;
    // The slots of a slow target are counted at its speed; its answers don't show the work.
    if (speeds_.speed_of(target.token, now) >= 1) {
        usage_.record_answer(usage, answer_time, is_calm, now);
    }
    const auto load = placement_.usage_of(target, now);
    const double slots = std::max(1, target.entry.slots);
    const double expected_ms =
        usage_.work_ms(usage) * std::max(1.0, (load.local + load.remote + 1) / slots);
    speeds_.record_answer(target.entry.service, target.token,
                          clock::duration{std::llround(expected_ms)}, answer_time, now);
}

// Resets all flows of a dead target. Without a reset, each caller of its hundreds of open flows
// finds out by a request that waits for its deadline and is lost if it may not be retried. After a
// reset, an idle caller opens another flow for its next request, and a waiting one fails at once.
//
// Resets would break the flows of a live target. They therefore require that the target was counted
// as silent three times (target_health::silent_flows) while this instance's path to other targets
// was sound, or that several instances could not reach it.
void steering::end_flows_of(const discovery::target& target, clock::time_point now) {
    const auto health = flows_.health(target.token);
    auto ended = flows_.end_flows_of(target.token);
    log_.target_dead(target, health, ended.size(), now);
    for (const auto& each : ended) {
        const decision outcome = refuse{each, result_code::target_silent};
        observer_.on_decision("established", outcome);
        log_.flow_ended(each.flow, target, now);
    }
    std::ranges::move(ended, std::back_inserter(resets_));
}

std::vector<routing_token> steering::take_suspects(clock::time_point now) {
    std::ranges::move(flows_.take_abandoned_openings(now), std::back_inserter(suspects_));
    return std::exchange(suspects_, {});
}

void steering::on_target_dead(const discovery::target& target, clock::time_point probed_at,
                              clock::time_point now) {
    if (flows_.health(target.token).last_response_at >= probed_at) {
        return;
    }
    flows_.record_dead(target.token, now + limits_.dead_verdict_lifetime);
    end_flows_of(target, now);
}

void steering::on_target_reported_dead(const discovery::target& target, clock::time_point until) {
    flows_.record_reported_dead(target.token, until);
}

// Whether the flow is to be ended because its route was removed. A route may be removed and added
// again, and an instance that has not received the addition would reset flows opened through other
// instances. So only flows that were seen here before the removal are ended, and none while the
// directory is stale.
bool steering::is_ended_by_route_removal(const segment& packet, const directory_state& state,
                                         clock::time_point now) const {
    const auto removed_at = directory_.route_dropped_at(packet.flow.route);
    const auto* flow = flows_.find(packet.flow);
    return removed_at.has_value() && flow != nullptr && flow->opened_at < *removed_at &&
           now - state.confirmed <= limits_.max_refusal_staleness;
}

// Returns why an established flow must be reset, if it must. When a target has died, has left or is
// unreachable, its callers wait for their deadlines on undeliverable flows; a reset lets them use
// another target. It would break the flow of a live target, so it requires strong evidence.
std::optional<result_code> steering::reset_reason(const discovery::target& target,
                                                  const discovery::route* route,
                                                  const observation& observed) const {
    if (observed.retransmissions == 0) {
        return std::nullopt;
    }
    // That the target's entry is missing proves nothing by itself: entries expire during a store
    // outage and can be removed by mistake. A live target acknowledges the first retransmission, so
    // a second one is required. A target that drained before its entry was removed has ended, and
    // one retransmission is enough.
    const bool has_not_responded = flows_.health(target.token).last_response_at < target.changed_at;
    const bool is_gone = !target.is_listed() && !target.presumed_alive_until.has_value();
    const int min_retransmissions = target.removal == discovery::removal_reason::drained ? 1 : 2;
    if (is_gone && has_not_responded && observed.retransmissions >= min_retransmissions) {
        return result_code::target_gone;
    }
    // The entry of a target that has just died remains listed for some seconds. Callers retry only
    // idempotent requests, so a reset gains nothing on other routes.
    const bool may_retry = route != nullptr && route->is_idempotent;
    return observed.is_target_silent && may_retry ? std::optional{result_code::target_silent}
                                                  : std::nullopt;
}

}  // namespace bramleytrack::steering
