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

// The priority of requests on a route that isn't listed any more.
constexpr int least_urgent = std::numeric_limits<int>::max();

std::uint64_t hash_of_flow(const segment& content) {
    return bramleytrack::hash_of(flow_key_hash{}(content.flow), content.sequence);
}

// The service that an opening counts for in the metrics.
std::string service_of(const discovery::route* route, const decision& made) {
    if (const auto* forwarded = std::get_if<forward>(&made)) {
        return forwarded->to->entry.service;
    }
    const bool is_split = route != nullptr && !route->splits.empty();
    return is_split ? route->splits.front().service : "none";
}

// Failure: a target turns slow, and while it has little work it looks as good as any other. The
// time that its answers take tells it apart; a target without answers yet counts as an average one.
void weigh_by_answer_time(std::span<candidate> candidates) {
    double sum = 0;
    int known = 0;
    for (const auto& each : candidates) {
        sum += each.answer_ms;
        known += each.answer_ms > 0 ? 1 : 0;
    }
    if (known == 0) {
        return;
    }
    for (auto& each : candidates) {
        each.load *= each.answer_ms > 0 ? each.answer_ms * known / sum : 1.0;
    }
}

}  // namespace

steering::steering(place here, const discovery::directory& known, cold_gate& cold,
                   const remote_load& loads, event_log& log, flow_observer& observer,
                   steering_limits limits)
    : place_{std::move(here)},
      known_{known},
      cold_{cold},
      loads_{loads},
      load_estimate_{known, flows_, loads},
      log_{log, known, flows_, place_.zone},
      observer_{observer},
      limits_{limits} {}

decision steering::on_segment(const segment& content, const directory_state& state,
                              clock::time_point now) {
    return content.is_opening ? on_opening(content, state, now)
                              : on_later_packet(content, state, now);
}

void steering::expire(clock::time_point now) {
    flows_.expire(now);
    cold_.expire(now);
    log_.report(now);
}

decision steering::on_opening(const segment& content, const directory_state& state,
                              clock::time_point now) {
    const auto* route = known_.find_route(content.flow.route);
    eligible_targets targets;
    const auto finish = [&](const decision& made) {
        const auto service = service_of(route, made);
        observer_.on_decision(service, made);
        log_.opening({.content = content,
                      .state = state,
                      .service = service,
                      .route = route,
                      .made = made,
                      .candidates = targets.candidates.size(),
                      .capacity_share = targets.capacity_share,
                      .use = targets.use},
                     now);
        return made;
    };
    if (!state.is_complete) {
        return finish(drop{result_code::not_ready});
    }
    const bool is_fresh = now - state.confirmed <= limits_.refusal_age;
    if (route == nullptr) {
        // Failure: an instance that is cut off refuses callers of a route that was added meanwhile.
        // It stays silent then, and the copy of the packet may reach an instance that knows.
        return finish(is_fresh
                          ? decision{refuse{{.flow = content.flow}, result_code::unknown_route}}
                          : decision{drop{result_code::unknown_route}});
    }
    flows_.note_attempt(content.flow, now);
    if (const auto* same = find_recent_opening(content, now)) {
        return finish(forward{same});
    }
    if (content.copy > 0) {
        log_.unanswered(content, now);
        if (const auto token = flows_.note_unanswered(content.flow, now)) {
            suspects_.push_back(*token);
        }
    }
    const auto flow_hash = hash_of_flow(content);
    const auto* pool = pool_of(*route, flow_hash);
    if (pool != nullptr && content.copy == 0) {
        demands_[pool->description.name].on_request(route->priority, now);
    }
    if (pool != nullptr) {
        targets = eligible(*pool, *route, content, now);
    }
    const auto choice = choose(targets.candidates, flow_hash, content.copy);
    if (const auto* none = std::get_if<placement_failure>(&choice)) {
        return finish(turn_away(content, *none, targets.is_any_cold, is_fresh));
    }
    const auto& target = *targets.candidates[std::get<std::size_t>(choice)].target;
    cold_.on_flow_opened(target, now);
    flows_.note_opening(content, target.token, now);
    load_estimate_.on_flow_placed(target.entry.service);
    return finish(forward{&target});
}

// Failure: while an instance starts or stands still, an opening and its copies wait in its socket,
// and it reads them within a few milliseconds. The copies look like targets that haven't answered:
// most of them are shunned, callers are refused though targets are idle, and two targets take one
// flow. Such a copy is the same opening, and goes to the same target.
const discovery::target* steering::find_recent_opening(const segment& content,
                                                       clock::time_point now) const {
    const auto token = content.copy > 0 ? flows_.find_recent_opening(content, now) : std::nullopt;
    const auto* target = token.has_value() ? known_.find_target(*token) : nullptr;
    const bool may_take_it =
        target != nullptr && load_estimate_.accepts_flows(*target, now) && !target->is_cold(now);
    return may_take_it ? target : nullptr;
}

// A caller that can't be served in time learns so now: its wait would delay the others, and the
// refusal is true, since nothing has run. A cold target may take the copy of the packet in 200 ms,
// so when all that could serve are cold, silence is better; and so it is while a target may have
// come that isn't known here.
decision steering::turn_away(const segment& content, placement_failure reason, bool is_any_cold,
                             bool is_fresh) {
    if (reason == placement_failure::saturated) {
        return refuse{{.flow = content.flow}, result_code::queue_full};
    }
    if (is_fresh && !is_any_cold) {
        return refuse{{.flow = content.flow}, result_code::no_eligible_target};
    }
    return drop{result_code::no_eligible_target};
}

decision steering::on_later_packet(const segment& content, const directory_state& state,
                                   clock::time_point now) {
    const auto finish = [&](const decision& made) {
        observer_.on_decision("established", made);
        log_.packet(content, made, now);
        return made;
    };
    if (is_left_by_its_route(content, state, now)) {
        return finish(refuse{{.flow = content.flow, .sequence = content.acknowledged},
                             result_code::unknown_route});
    }
    const auto* target = known_.find_target(content.token);
    if (target == nullptr) {
        // A guess could bring the packet to another target, which resets the flow.
        return finish(drop{result_code::unknown_token});
    }
    const auto* route = known_.find_route(content.flow.route);
    const auto objective = route == nullptr ? clock::duration{0} : route->latency_objective;
    const auto seen = flows_.note_packet(content, now);
    if (seen.is_request_begun) {
        demands_[target->entry.service].on_request(
            route == nullptr ? least_urgent : route->priority, now);
    }
    if (seen.is_answer_to_opening) {
        observer_.on_opening_answered(*target, seen.opening_took);
    }
    if (seen.is_answer) {
        observer_.on_answer(*target, seen.answer_took);
        log_.answer(content, *target, objective, seen.answer_took, now);
    }
    if (seen.is_target_suspect) {
        suspects_.push_back(target->token);
    }
    if (seen.is_target_dead) {
        end_flows_of(*target, now);
        return finish(refuse{{.flow = content.flow, .sequence = content.acknowledged},
                             result_code::target_silent});
    }
    if (const auto reason = hopeless(*target, route, seen)) {
        flows_.forget(content.flow);
        return finish(refuse{{.flow = content.flow, .sequence = content.acknowledged}, *reason});
    }
    return forward{target};
}

// Failure: a target dies with hundreds of open flows, and each of their callers finds out by
// itself, by a request that waits for its deadline; what may not be repeated is then lost. Told at
// once, a caller that asks for nothing now opens another flow for its next request, and one that
// waits has its final answer. Each reset would break the flow of a target that lives, so three
// flows must have found it silent while this instance's path to others was sound, or it couldn't be
// reached from several instances.
void steering::end_flows_of(const discovery::target& target, clock::time_point now) {
    const auto health = flows_.health(target.token);
    auto ended = flows_.end_flows_of(target.token);
    log_.target_dead(target, health, ended.size(), now);
    for (const auto& each : ended) {
        const decision made = refuse{each, result_code::target_silent};
        observer_.on_decision("established", made);
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
    if (flows_.health(target.token).answered_at >= probed_at) {
        return;
    }
    flows_.note_dead(target.token, now + limits_.death_lifetime);
    end_flows_of(target, now);
}

void steering::on_target_reported_dead(const discovery::target& target, clock::time_point until) {
    flows_.note_reported_dead(target.token, until);
}

// Failure: a route is dropped and comes back. An instance that hasn't heard of its return resets a
// flow that was opened through another one. So only flows that were seen here before the drop are
// ended, and only on word that is fresh.
bool steering::is_left_by_its_route(const segment& content, const directory_state& state,
                                    clock::time_point now) const {
    const auto dropped_at = known_.dropped_at(content.flow.route);
    const auto* flow = flows_.find(content.flow);
    return dropped_at.has_value() && flow != nullptr && flow->opened_at < *dropped_at &&
           now - state.confirmed <= limits_.refusal_age;
}

// Failure: a target has died, has left, or can't be reached, and its callers wait for their
// deadlines on flows that lead nowhere. A reset lets them go elsewhere, but would break the flow of
// a target that lives, so it needs evidence beyond doubt.
std::optional<result_code> steering::hopeless(const discovery::target& target,
                                              const discovery::route* route,
                                              const observation& seen) const {
    if (seen.repeats == 0) {
        return std::nullopt;
    }
    // The entry alone may be wrong: it lapses while the store is away, and can be taken away. A
    // live target acknowledges the second copy of data; one that drained before its entry went has
    // ended, and its caller needn't wait for the third.
    const bool shows_no_life = flows_.health(target.token).answered_at < target.changed_at;
    const bool is_gone = !target.is_listed() && !target.presumed_alive_until.has_value();
    const int enough = target.gone == discovery::absence::left ? 1 : 2;
    if (is_gone && shows_no_life && seen.repeats >= enough) {
        return result_code::target_gone;
    }
    // The entry of a target that has just died is still there for some seconds. Callers repeat only
    // what may run twice, so the others gain nothing by a reset.
    const bool may_repeat = route != nullptr && route->is_idempotent;
    return seen.is_target_silent && may_repeat ? std::optional{result_code::target_silent}
                                               : std::nullopt;
}

const discovery::pool* steering::pool_of(const discovery::route& route,
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
            return known_.find_pool(each.service);
        }
        position -= each.weight;
    }
    return nullptr;
}

service_demand_split steering::wants_of(std::string_view service, clock::time_point now) const {
    const auto found = demands_.find(service);
    return {.local = found == demands_.end() ? 0 : found->second.recent(now),
            .remote = loads_.demand_remote(service, now)};
}

service_usage steering::use_of(std::string_view service, clock::time_point now) {
    const auto wants = wants_of(service, now);
    const auto* pool = known_.find_pool(service);
    constexpr auto anywhere = [](std::string_view /*zone*/) { return true; };
    return pool == nullptr ? service_usage{wants}
                           : load_estimate_.usage_of(*pool, wants, anywhere, now);
}

std::string_view steering::region_of(std::string_view zone) const {
    const auto found = place_.regions.find(zone);
    return found == place_.regions.end() ? std::string_view{} : std::string_view{found->second};
}

// A zone whose region isn't known is no place for what must stay in a region.
bool steering::is_allowed(const discovery::route& route, std::string_view zone) const {
    return route.allowed_regions.empty() ||
           std::ranges::find(route.allowed_regions, region_of(zone)) != route.allowed_regions.end();
}

// When there isn't room for all, callers of a route that operators rank behind another one of the
// service are turned away first, and so are callers that have more than their share already.
double steering::capacity_share(const discovery::pool& pool, const discovery::route& route,
                                const flow_key& flow, clock::time_point now) const {
    const auto asked = demands_.find(pool.description.name);
    const bool yields =
        asked != demands_.end() &&
        asked->second.recent_higher_priority(route.priority, now) >= min_higher_priority_demand;
    double share = 1;
    share *= yields ? lower_priority_capacity_share : 1;
    share *= flows_.callers().is_heavy(flow.caller.address) ? heavy_caller_capacity_share : 1;
    return share;
}

std::vector<const discovery::target*> steering::looked_at(const discovery::pool& pool,
                                                          const discovery::route& route,
                                                          std::uint64_t flow_hash) const {
    enum tier : std::size_t { near, in_region, far, tiers };
    constexpr std::array<std::size_t, tiers> samples{same_zone_sample_size, same_region_sample_size,
                                                     remote_region_sample_size};
    std::array<std::vector<std::span<discovery::target* const>>, tiers> lists;
    for (const auto& [zone, targets] : pool.by_zone) {
        if (!is_allowed(route, zone) || known_.is_zone_out(zone)) {
            continue;
        }
        const bool is_home = region_of(zone) == region_of(place_.zone);
        lists.at(zone == place_.zone ? near : is_home ? in_region : far).emplace_back(targets);
    }
    std::vector<const discovery::target*> result;
    for (std::size_t each = near; each < tiers; ++each) {
        const auto sample = sample_targets(lists.at(each), flow_hash, samples.at(each));
        result.insert(result.end(), sample.begin(), sample.end());
    }
    return result;
}

steering::eligible_targets steering::eligible(const discovery::pool& pool,
                                              const discovery::route& route, const segment& content,
                                              clock::time_point now) {
    eligible_targets result;
    result.capacity_share = capacity_share(pool, route, content.flow, now);
    result.use = load_estimate_.usage_of(
        pool, wants_of(pool.description.name, now),
        [this, &route](std::string_view zone) { return is_allowed(route, zone); }, now);
    const bool has_service_room = has_capacity(result.use, result.capacity_share);
    for (const auto* each : looked_at(pool, route, hash_of_flow(content))) {
        if (!each->takes_flows(now)) {
            continue;
        }
        const bool is_barred =
            each->is_cold(now) &&
            !cold_.may_open(*each, pool.description.cold_flows_per_second, known_, now);
        if (is_barred) {
            result.is_any_cold = true;
            continue;
        }
        const auto use = load_estimate_.usage_of(*each, now);
        result.candidates.push_back(
            {.target = each,
             .is_in_same_region = region_of(each->entry.zone) == region_of(place_.zone),
             .is_in_same_zone = each->entry.zone == place_.zone,
             .is_ejected = load_estimate_.is_ejected(*each, now),
             .has_capacity = has_service_room && has_capacity(use, result.capacity_share),
             .load = (use.local + use.remote + 1) / use.slots,
             .answer_ms = flows_.health(each->token).answer_ms});
    }
    weigh_by_answer_time(result.candidates);
    return result;
}

}  // namespace bramleytrack::steering
