#include "steering/load_estimate.h"

#include <algorithm>

#include "steering/placement.h"

namespace bramleytrack::steering {
namespace {

// A target takes about 0.2 us to add: with so many to a millisecond for which sums are kept, they
// take a hundredth of the processor at most. Sums of small services are always new.
constexpr std::size_t targets_by_millisecond = 50;

}  // namespace

bool load_estimate::accepts_flows(const discovery::target& target, clock::time_point now) const {
    return target.accepts_new_flows(now) && !known_.is_zone_out(target.entry.zone);
}

target_usage load_estimate::use_of(const discovery::target& target, clock::time_point now) const {
    return {.slots = std::max(1, target.entry.slots),
            .here = static_cast<double>(flows_.health(target.token).open_requests),
            .elsewhere = loads_.open_remote(target.token, now)};
}

bool load_estimate::is_ejected(const discovery::target& target, clock::time_point now) const {
    const auto& health = flows_.health(target.token);
    return now < std::max({health.ejected_until, health.reported_dead_until, health.dead_until});
}

service_usage load_estimate::use_of(const discovery::pool& pool, const service_demand_split& wants,
                                    const zone_filter& is_allowed, clock::time_point now) {
    const auto& sum = sum_of(pool, now);
    service_usage result{wants};
    service_usage ejected;
    std::size_t targets = 0;
    std::size_t ejected_targets = 0;
    bool are_all_allowed = true;
    for (const auto& [zone, each] : sum.zones) {
        if (!is_allowed(zone)) {
            are_all_allowed = false;
            continue;
        }
        result.add(each.taking);
        ejected.add(each.ejected);
        targets += each.targets;
        ejected_targets += each.ejected_targets;
    }
    if (are_too_many_ejected(ejected_targets, targets)) {
        result.add(ejected);
    }
    // What peers tell of the whole service can't be split by the zones of its targets.
    if (are_all_allowed) {
        result.raise_remote_open_to(loads_.open_remote_of_service(pool.description.name, now));
    }
    result.add_placed(sum.placed_since);
    return result;
}

void load_estimate::note_placed(std::string_view service) {
    const auto found = sums_.find(service);
    if (found != sums_.end()) {
        ++found->second.placed_since;
    }
}

const load_estimate::service_sum& load_estimate::sum_of(const discovery::pool& pool,
                                                        clock::time_point now) {
    auto& sum = sums_[pool.description.name];
    if (now < sum.until) {
        return sum;
    }
    const auto kept_for = pool.targets.size() / targets_by_millisecond;
    sum = {.zones = {}, .placed_since = 0, .until = now + clock::duration{kept_for}};
    for (const auto& [zone, targets] : pool.by_zone) {
        if (known_.is_zone_out(zone)) {
            continue;
        }
        auto& made = sum.zones[zone];
        for (const auto* each : targets) {
            if (!each->accepts_new_flows(now) || each->is_cold(now)) {
                continue;
            }
            const bool is_left_alone = is_ejected(*each, now);
            (is_left_alone ? made.ejected : made.taking).add(use_of(*each, now));
            ++made.targets;
            made.ejected_targets += is_left_alone ? 1 : 0;
        }
    }
    return sum;
}

}  // namespace bramleytrack::steering
