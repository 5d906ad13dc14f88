#include "steering/steering.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <span>

#include "base/hash.h"
#include "steering/target_sample.h"

namespace bramleytrack::steering {
namespace {

// The priority of requests on a route that is no longer listed.
constexpr int lowest_priority = std::numeric_limits<int>::max();

std::uint64_t hash_of_flow(const segment& packet) {
    return bramleytrack::hash_of(flow_key_hash{}(packet.flow), packet.sequence);
}

// The service to which the metrics attribute an opening.
std::string service_of(const discovery::route* route, const decision& outcome) {
    if (const auto* forwarded = std::get_if<forward>(&outcome)) {
        return forwarded->to->entry.service;
    }
    const bool has_split = route != nullptr && !route->splits.empty();
    return has_split ? route->splits.front().service : "none";
}

// Weighs each target's load by its answer time relative to the mean of the candidates. By load
// alone, a target that has become slow looks as good as any other while it has few open requests. A
// target without measured answers counts as average.
void weigh_by_answer_time(std::span<candidate> candidates) {
    double sum = 0;
    int measured = 0;
    for (const auto& each : candidates) {
        sum += each.answer_ms;
        measured += each.answer_ms > 0 ? 1 : 0;
    }
    if (measured == 0) {
        return;
    }
    for (auto& each : candidates) {
        each.load *= each.answer_ms > 0 ? each.answer_ms * measured / sum : 1.0;
    }
}

}  // namespace

steering::steering(location own_location, const discovery::directory& directory, cold_gate& gate,
                   const remote_load& remote, event_log& log, flow_observer& observer,
                   steering_limits limits)
    : location_{std::move(own_location)},
      directory_{directory},
      cold_gate_{gate},
      remote_load_{remote},
      load_estimate_{directory, flows_, remote},
      log_{log, directory, flows_, location_.zone},
      observer_{observer},
      limits_{limits} {}

decision steering::on_segment(const segment& packet, const directory_state& state,
                              clock::time_point now) {
    return packet.is_opening ? on_opening(packet, state, now)
                             : on_established_packet(packet, state, now);
}

void steering::expire(clock::time_point now) {
    flows_.expire(now);
    cold_gate_.expire(now);
    log_.report_rejections(now);
}

decision steering::on_opening(const segment& packet, const directory_state& state,
                              clock::time_point now) {
    const auto* route = directory_.find_route(packet.flow.route);
    eligible_targets targets;
    const auto record_outcome = [&](const decision& outcome) {
        const auto service = service_of(route, outcome);
        observer_.on_decision(service, outcome);
        log_.opening({.packet = packet,
                      .state = state,
                      .service = service,
                      .route = route,
                      .outcome = outcome,
                      .candidates = targets.candidates.size(),
                      .capacity_fraction = targets.capacity_fraction,
                      .usage = targets.usage},
                     now);
        return outcome;
    };
    if (!state.is_complete) {
        return record_outcome(drop{result_code::not_ready});
    }
    const bool is_state_fresh = now - state.confirmed <= limits_.max_refusal_staleness;
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
    const auto flow_hash = hash_of_flow(packet);
    const auto* pool = choose_pool(*route, flow_hash);
    if (pool != nullptr && packet.copy == 0) {
        demands_[pool->description.name].on_request(route->priority, now);
    }
    if (pool != nullptr) {
        targets = find_eligible_targets(*pool, *route, packet, now);
    }
    const auto choice = choose(targets.candidates, flow_hash, packet.copy);
    if (const auto* failure = std::get_if<placement_failure>(&choice)) {
        return record_outcome(on_placement_failure(
            packet, *failure, targets.has_held_back_cold_target, is_state_fresh));
    }
    const auto& target = *targets.candidates[std::get<std::size_t>(choice)].target;
    cold_gate_.on_flow_opened(target, now);
    flows_.record_opening(packet, target.token, now);
    load_estimate_.on_flow_placed(target.entry.service);
    return record_outcome(forward{&target});
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
        target != nullptr && load_estimate_.accepts_flows(*target, now) && !target->is_cold(now);
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

decision steering::on_established_packet(const segment& packet, const directory_state& state,
                                         clock::time_point now) {
    const auto record_outcome = [&](const decision& outcome) {
        observer_.on_decision("established", outcome);
        log_.undelivered_packet(packet, outcome, now);
        return outcome;
    };
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
    const auto observed = flows_.record_packet(packet, now);
    if (observed.is_request_begun) {
        demands_[target->entry.service].on_request(
            route == nullptr ? lowest_priority : route->priority, now);
    }
    if (observed.is_opening_accepted) {
        observer_.on_opening_answered(*target, observed.opening_acceptance_time);
    }
    if (observed.is_request_answered) {
        observer_.on_answer(*target, observed.answer_time);
        log_.late_answer(packet, *target, objective, observed.answer_time, now);
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

const discovery::pool* steering::choose_pool(const discovery::route& route,
                                             std::uint64_t flow_hash) const {
    std::uint64_t total = 0;
    for (const auto& each : route.splits) {
        total += each.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    auto position = bramleytrack::hash_of(flow_hash, hash_of(route.name)) % total;
    for (const auto& each : route.splits) {
        if (position < each.weight) {
            return directory_.find_pool(each.service);
        }
        position -= each.weight;
    }
    return nullptr;
}

local_and_remote_demand steering::demand_of(std::string_view service, clock::time_point now) const {
    const auto found = demands_.find(service);
    return {.local = found == demands_.end() ? 0 : found->second.recent(now),
            .remote = remote_load_.demand_remote(service, now)};
}

service_usage steering::usage_of(std::string_view service, clock::time_point now) {
    const auto demand = demand_of(service, now);
    const auto* pool = directory_.find_pool(service);
    constexpr auto any_zone = [](std::string_view /*zone*/) { return true; };
    return pool == nullptr ? service_usage{demand}
                           : load_estimate_.usage_of(*pool, demand, any_zone, now);
}

std::string_view steering::region_of(std::string_view zone) const {
    const auto found = location_.regions.find(zone);
    return found == location_.regions.end() ? std::string_view{} : std::string_view{found->second};
}

// A zone of unknown region is not allowed for a route that is restricted to regions.
bool steering::is_allowed(const discovery::route& route, std::string_view zone) const {
    return route.allowed_regions.empty() ||
           std::ranges::find(route.allowed_regions, region_of(zone)) != route.allowed_regions.end();
}

// When capacity is short, the first to be rejected are callers of routes with a lower priority than
// another route of the service that has demand, and callers that already exceed their fair share.
double steering::capacity_fraction(const discovery::pool& pool, const discovery::route& route,
                                   const flow_key& flow, clock::time_point now) const {
    const auto demand = demands_.find(pool.description.name);
    const bool has_higher_priority_demand =
        demand != demands_.end() &&
        demand->second.recent_higher_priority(route.priority, now) >= min_higher_priority_demand;
    double fraction = 1;
    fraction *= has_higher_priority_demand ? lower_priority_capacity_fraction : 1;
    fraction *= flows_.callers().is_heavy(flow.caller.address) ? heavy_caller_capacity_fraction : 1;
    return fraction;
}

std::vector<const discovery::target*> steering::sample_pool(const discovery::pool& pool,
                                                            const discovery::route& route,
                                                            std::uint64_t flow_hash) const {
    enum tier : std::size_t { same_zone, same_region, other_region, tier_count };
    constexpr std::array<std::size_t, tier_count> sample_sizes{
        same_zone_sample_size, same_region_sample_size, remote_region_sample_size};
    std::array<std::vector<std::span<discovery::target* const>>, tier_count> lists;
    for (const auto& [zone, targets] : pool.by_zone) {
        if (!is_allowed(route, zone) || directory_.is_zone_out(zone)) {
            continue;
        }
        const bool is_same_region = region_of(zone) == region_of(location_.zone);
        lists.at(zone == location_.zone ? same_zone
                 : is_same_region       ? same_region
                                        : other_region)
            .emplace_back(targets);
    }
    std::vector<const discovery::target*> result;
    for (std::size_t each = same_zone; each < tier_count; ++each) {
        const auto sample = sample_targets(lists.at(each), flow_hash, sample_sizes.at(each));
        result.insert(result.end(), sample.begin(), sample.end());
    }
    return result;
}

steering::eligible_targets steering::find_eligible_targets(const discovery::pool& pool,
                                                           const discovery::route& route,
                                                           const segment& packet,
                                                           clock::time_point now) {
    eligible_targets result;
    result.capacity_fraction = capacity_fraction(pool, route, packet.flow, now);
    result.usage = load_estimate_.usage_of(
        pool, demand_of(pool.description.name, now),
        [this, &route](std::string_view zone) { return is_allowed(route, zone); }, now);
    const bool has_service_capacity = has_capacity(result.usage, result.capacity_fraction);
    for (const auto* each : sample_pool(pool, route, hash_of_flow(packet))) {
        if (!each->accepts_new_flows(now)) {
            continue;
        }
        const bool is_held_back =
            each->is_cold(now) &&
            !cold_gate_.may_open(*each, pool.description.cold_flows_per_second, directory_, now);
        if (is_held_back) {
            result.has_held_back_cold_target = true;
            continue;
        }
        const auto usage = load_estimate_.usage_of(*each, now);
        result.candidates.push_back(
            {.target = each,
             .is_in_same_region = region_of(each->entry.zone) == region_of(location_.zone),
             .is_in_same_zone = each->entry.zone == location_.zone,
             .is_ejected = load_estimate_.is_ejected(*each, now),
             .has_capacity = has_service_capacity && has_capacity(usage, result.capacity_fraction),
             .load = (usage.local + usage.remote + 1) / usage.slots,
             .answer_ms = flows_.health(each->token).answer_ms});
    }
    weigh_by_answer_time(result.candidates);
    return result;
}

}  // namespace bramleytrack::steering
