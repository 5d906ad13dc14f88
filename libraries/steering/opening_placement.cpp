#include "steering/opening_placement.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>

#include "base/hash.h"
#include "steering/target_sample.h"

namespace bramleytrack::steering {
namespace {

constexpr double milliseconds_per_second = 1000;
constexpr int lowest_priority = std::numeric_limits<int>::max();
// Sampled reports of other zones change slowly; a plan that is this old is as good as a new one.
constexpr clock::duration zone_plan_lifetime{100};

std::uint64_t hash_of_flow(const segment& packet) {
    return bramleytrack::hash_of(flow_key_hash{}(packet.flow), packet.sequence);
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

opening_placement::opening_placement(const sources& from)
    : from_{from},
      load_estimate_{from.directory, from.flows, from.remote, from.speeds},
      shares_{from.directory, from.usage, from.flows, from.remote} {}

void opening_placement::set_settings(const admission_settings& settings) {
    settings_ = settings;
    shares_.set_settings(settings);
}

placement_outcome opening_placement::place(const segment& packet, const discovery::route& route,
                                           clock::time_point now) {
    const auto* chosen = choose_pool(route, packet);
    if (chosen == nullptr) {
        return {};
    }
    auto result = place_on(*chosen, service_role::chosen, packet, route, now);
    if (result.target != nullptr || !settings_.split_overflow) {
        return result;
    }
    for (const auto* other : overflow_pools(route, result.service, now)) {
        auto overflow = place_on(*other, service_role::overflow, packet, route, now);
        if (overflow.target != nullptr) {
            overflow.overflowed_from = result.service;
            return overflow;
        }
    }
    return result;
}

// The other services of the route's split, those with the most free room first.
std::vector<const discovery::pool*> opening_placement::overflow_pools(const discovery::route& route,
                                                                      std::string_view chosen,
                                                                      clock::time_point now) {
    std::vector<std::pair<double, const discovery::pool*>> by_room;
    for (const auto& each : route.splits) {
        const auto* pool = each.weight > 0 && each.service != chosen
                               ? from_.directory.find_pool(each.service)
                               : nullptr;
        if (pool == nullptr) {
            continue;
        }
        const auto usage = usage_of(each.service, now);
        const double open = usage.open_local() + usage.open_remote();
        by_room.emplace_back(open_requests_per_slot * usage.slots() - open, pool);
    }
    std::ranges::stable_sort(by_room, std::greater{},
                             &std::pair<double, const discovery::pool*>::first);
    std::vector<const discovery::pool*> result;
    result.reserve(by_room.size());
    for (const auto& [room, pool] : by_room) {
        result.push_back(pool);
    }
    return result;
}

placement_outcome opening_placement::place_on(const discovery::pool& pool, service_role role,
                                              const segment& packet, const discovery::route& route,
                                              clock::time_point now) {
    const auto flow_hash = hash_of_flow(packet);
    const auto allowed = allow(pool, role, packet, route, now);
    const auto targets = find_eligible_targets(pool, route, allowed, flow_hash, now);
    placement_outcome result{.service = pool.description.name,
                             .overflowed_from = {},
                             .candidates = targets.candidates.size(),
                             .capacity_fraction = allowed.capacity_fraction,
                             .ground = allowed.ground,
                             .usage = allowed.usage,
                             .has_held_back_cold_target = targets.has_held_back_cold_target};
    const auto choice = choose(targets.candidates, flow_hash, packet.copy);
    if (const auto* failure = std::get_if<placement_failure>(&choice)) {
        result.failure = *failure;
        return result;
    }
    result.target = targets.candidates[std::get<std::size_t>(choice)].target;
    return result;
}

void opening_placement::on_placed(const placement_outcome& outcome) {
    load_estimate_.on_flow_placed(outcome.service);
}

void opening_placement::on_established_request(const discovery::target& target,
                                               clock::time_point now) {
    if (settings_.zone_balance && target.entry.zone == from_.own_location.zone) {
        established_at_home_.record(target.entry.service, 1, now);
    }
}

const discovery::pool* opening_placement::choose_pool(const discovery::route& route,
                                                      const segment& packet) const {
    std::uint64_t total = 0;
    for (const auto& each : route.splits) {
        total += each.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    auto position = bramleytrack::hash_of(hash_of_flow(packet), hash_of(route.name)) % total;
    for (const auto& each : route.splits) {
        if (position < each.weight) {
            return from_.directory.find_pool(each.service);
        }
        position -= each.weight;
    }
    return nullptr;
}

opening_placement::allowance opening_placement::allow(const discovery::pool& pool,
                                                      service_role role, const segment& packet,
                                                      const discovery::route& route,
                                                      clock::time_point now) {
    const std::string_view service = pool.description.name;
    allowance result;
    result.usage = load_estimate_.usage_of(
        pool, demand_of(service, now),
        [this, &route](std::string_view zone) { return is_allowed(route, zone); }, now);
    result.capacity_fraction = heavy_caller_fraction(packet.flow);
    const auto& standing = standing_of(service, now);
    const auto* own = standing.is_shared ? standing.find(route.name) : nullptr;
    if (role == service_role::overflow) {
        const bool has_room =
            has_free_capacity(result.usage, standing.reserve_above(lowest_priority),
                              standing.local_fraction, result.capacity_fraction);
        result.ground = has_room ? admission_ground::free_capacity : admission_ground::none;
        return result;
    }
    if (own == nullptr && standing.is_shared) {
        // It asks for less than one request per second.
        route_standing rare;
        rare.route = route.name;
        rare.priority = route.priority;
        result.ground =
            admit(result.usage, claim_of(pool, rare, standing, now), result.capacity_fraction);
        return result;
    }
    if (own == nullptr && settings_.capacity_shares && standing.routes.size() <= 1) {
        // A single route has the whole service.
        result.ground = admit(result.usage,
                              {.open_local = result.usage.open_local(),
                               .open_remote = result.usage.open_remote(),
                               .entitlement = result.usage.slots(),
                               .local_fraction = standing.local_fraction,
                               .service_fraction = standing.local_fraction},
                              result.capacity_fraction);
        return result;
    }
    if (own == nullptr) {
        result.capacity_fraction *= lower_priority_fraction(service, route, now);
        result.ground = has_capacity(result.usage, result.capacity_fraction)
                            ? admission_ground::free_capacity
                            : admission_ground::none;
        return result;
    }
    result.ground =
        admit(result.usage, claim_of(pool, *own, standing, now), result.capacity_fraction);
    const bool is_within_share = own->demand <= own->share.entitlement;
    if (result.ground != admission_ground::none && is_within_share) {
        result.requests_per_slot =
            entitled_requests_per_slot(route.latency_objective, own->work_ms / own->work_ratio);
    }
    return result;
}

route_claim opening_placement::claim_of(const discovery::pool& pool, const route_standing& standing,
                                        const service_standing& service,
                                        clock::time_point now) const {
    double open_local = 0;
    double begun_per_second = 0;
    for (const auto index : from_.usage.routes_of(pool.description.name)) {
        const bool is_own = from_.usage.at(index).route == standing.route;
        open_local += is_own ? from_.flows.open_requests_of(index) : 0;
        begun_per_second += is_own ? from_.usage.begun_per_second(index, now) : 0;
    }
    return {.open_local = open_local,
            .open_remote = standing.open_remote,
            .work_ratio = standing.work_ratio,
            .entitlement = standing.share.entitlement,
            .local_fraction = standing.local_fraction,
            .reserve = service.reserve_above(standing.priority),
            .begun_local = begun_per_second * standing.work_ms / milliseconds_per_second,
            .is_constrained = standing.demand > standing.share.entitlement,
            .service_fraction = service.local_fraction};
}

// When capacity is short, the first to be rejected are callers that already exceed their fair
// share.
double opening_placement::heavy_caller_fraction(const flow_key& flow) const {
    return from_.flows.callers().is_heavy(flow.caller.address) ? heavy_caller_capacity_fraction : 1;
}

// Where routes don't share the capacity, those with a lower priority than another route of the
// service that has demand are rejected first.
double opening_placement::lower_priority_fraction(std::string_view service,
                                                  const discovery::route& route,
                                                  clock::time_point now) const {
    const auto demand = from_.demands.find(service);
    const bool has_higher_priority_demand =
        demand != from_.demands.end() &&
        demand->second.recent_higher_priority(route.priority, now) >= min_higher_priority_demand;
    return has_higher_priority_demand ? lower_priority_capacity_fraction : 1;
}

local_and_remote_demand opening_placement::demand_of(std::string_view service,
                                                     clock::time_point now) const {
    const auto found = from_.demands.find(service);
    return {.local = found == from_.demands.end() ? 0 : found->second.recent(now),
            .remote = from_.remote.demand_remote(service, now)};
}

service_usage opening_placement::usage_of(std::string_view service, clock::time_point now) {
    const auto demand = demand_of(service, now);
    const auto* pool = from_.directory.find_pool(service);
    constexpr auto any_zone = [](std::string_view /*zone*/) { return true; };
    return pool == nullptr ? service_usage{demand}
                           : load_estimate_.usage_of(*pool, demand, any_zone, now);
}

const service_standing& opening_placement::standing_of(std::string_view service,
                                                       clock::time_point now) {
    return shares_.of(service, now, [this, service, now] { return usage_of(service, now); });
}

std::string_view opening_placement::region_of(std::string_view zone) const {
    const auto found = from_.own_location.regions.find(zone);
    return found == from_.own_location.regions.end() ? std::string_view{}
                                                     : std::string_view{found->second};
}

// A zone of unknown region is not allowed for a route that is restricted to regions.
bool opening_placement::is_allowed(const discovery::route& route, std::string_view zone) const {
    return route.allowed_regions.empty() ||
           std::ranges::find(route.allowed_regions, region_of(zone)) != route.allowed_regions.end();
}

std::vector<const discovery::target*> opening_placement::sample_pool(
    const discovery::pool& pool, const discovery::route& route, std::string_view preferred_zone,
    std::uint64_t flow_hash) const {
    enum tier : std::size_t { preferred, same_region, other_region, tier_count };
    constexpr std::array<std::size_t, tier_count> sample_sizes{
        same_zone_sample_size, same_region_sample_size, remote_region_sample_size};
    std::array<std::vector<std::span<discovery::target* const>>, tier_count> lists;
    for (const auto& [zone, targets] : pool.by_zone) {
        if (!is_allowed(route, zone) || from_.directory.is_zone_out(zone)) {
            continue;
        }
        const bool is_same_region = region_of(zone) == region_of(from_.own_location.zone);
        lists.at(zone == preferred_zone ? preferred
                 : is_same_region       ? same_region
                                        : other_region)
            .emplace_back(targets);
    }
    std::vector<const discovery::target*> result;
    for (std::size_t each = preferred; each < tier_count; ++each) {
        const auto sample = sample_targets(lists.at(each), flow_hash, sample_sizes.at(each));
        result.insert(result.end(), sample.begin(), sample.end());
    }
    return result;
}

opening_placement::eligible_targets opening_placement::find_eligible_targets(
    const discovery::pool& pool, const discovery::route& route, const allowance& allowed,
    std::uint64_t flow_hash, clock::time_point now) {
    eligible_targets result;
    auto zone = preferred_zone(pool, flow_hash, now);
    if (!is_allowed(route, zone)) {
        zone = from_.own_location.zone;
    }
    const bool is_admitted = allowed.ground != admission_ground::none;
    for (const auto* each : sample_pool(pool, route, zone, flow_hash)) {
        if (!each->accepts_new_flows(now)) {
            continue;
        }
        const bool is_held_back =
            each->is_cold(now) &&
            !from_.gate.may_open(*each, pool.description.cold_flows_per_second, from_.directory,
                                 now);
        if (is_held_back) {
            result.has_held_back_cold_target = true;
            continue;
        }
        const auto usage = load_estimate_.usage_of(*each, now);
        const bool has_target_capacity =
            has_capacity(usage, allowed.capacity_fraction, allowed.requests_per_slot);
        result.candidates.push_back(
            {.target = each,
             .is_in_same_region = region_of(each->entry.zone) == region_of(from_.own_location.zone),
             .is_in_same_zone = each->entry.zone == zone,
             .is_ejected = load_estimate_.is_ejected(*each, now),
             .has_capacity = is_admitted && has_target_capacity,
             .load = (usage.local + usage.remote + 1) / usage.slots,
             .answer_ms = from_.flows.health(each->token).answer_ms});
    }
    weigh_by_answer_time(result.candidates);
    return result;
}

// The zone whose targets are tried first: the own one, or another one for the part of the openings
// that the own zone's targets have no capacity for.
std::string_view opening_placement::preferred_zone(const discovery::pool& pool,
                                                   std::uint64_t flow_hash, clock::time_point now) {
    if (!settings_.zone_balance) {
        return from_.own_location.zone;
    }
    auto& plan = zone_plans_[pool.description.name];
    if (now >= plan.valid_until) {
        plan = {.shares = plan_zones(pool, now), .valid_until = now + zone_plan_lifetime};
    }
    // Mixed, since the same hash ranks the targets within a zone.
    const auto chosen =
        choose_zone(plan.shares, bramleytrack::hash_of(flow_hash, hash_of(pool.description.name)));
    return chosen.empty() ? std::string_view{from_.own_location.zone} : chosen;
}

std::vector<zone_share> opening_placement::plan_zones(const discovery::pool& pool,
                                                      clock::time_point now) {
    const std::string_view service = pool.description.name;
    const std::string_view own_zone = from_.own_location.zone;
    const auto& standing = standing_of(service, now);
    double own_demand = 0;
    double own_rate = 0;
    for (const auto& each : standing.routes) {
        own_demand += each.demand * each.local_fraction;
    }
    for (const auto index : from_.usage.routes_of(service)) {
        own_rate += from_.usage.requests_per_second(index, now);
    }
    std::vector<zone_load> zones;
    for (const auto& [zone, slots] : load_estimate_.slots_by_zone(pool, now)) {
        if (region_of(zone) != region_of(own_zone)) {
            continue;
        }
        const auto remote = from_.remote.zone_demand_remote(service, zone, now);
        const bool is_own = zone == own_zone;
        zones.push_back({.zone = std::string{zone},
                         .capacity = slots,
                         .demand = remote.value_or(0) + (is_own ? own_demand : 0),
                         .is_known = is_own || remote.has_value()});
    }
    const double at_home = established_at_home_.rate(service, now) * milliseconds_per_second;
    return balance_zones(zones, own_zone, own_rate > 0 ? std::min(1.0, at_home / own_rate) : 0);
}

}  // namespace bramleytrack::steering
