#include "steering/load_estimate.h"

#include <algorithm>

#include "steering/placement.h"

namespace bramleytrack::steering {
namespace {

// Totals are cached for one millisecond for each of this many targets. Adding a target takes about
// 0.2 us, so the totals take at most a hundredth of the processor time. Those of services with
// fewer targets are never cached.
constexpr std::size_t targets_per_millisecond = 50;

}  // namespace

bool load_estimate::accepts_flows(const discovery::target& target, clock::time_point now) const {
    return target.accepts_new_flows(now) && !directory_.is_zone_out(target.entry.zone);
}

target_usage load_estimate::usage_of(const discovery::target& target, clock::time_point now) const {
    return {.slots = std::max(1, target.entry.slots) * speeds_.speed_of(target.token, now),
            .local = static_cast<double>(flows_.health(target.token).open_requests),
            .remote = remote_.open_remote(target.token, now)};
}

bool load_estimate::is_ejected(const discovery::target& target, clock::time_point now) const {
    const auto& health = flows_.health(target.token);
    return now < std::max({health.ejected_until, health.reported_dead_until, health.dead_until});
}

service_usage load_estimate::usage_of(const discovery::pool& pool,
                                      const local_and_remote_demand& demand,
                                      const zone_filter& is_allowed, clock::time_point now) {
    const auto& cached = totals_of(pool, now);
    service_usage result{demand};
    service_usage ejected;
    std::size_t targets = 0;
    std::size_t ejected_targets = 0;
    bool are_all_allowed = true;
    for (const auto& [zone, each] : cached.zones) {
        if (!is_allowed(zone)) {
            are_all_allowed = false;
            continue;
        }
        result.add(each.accepting);
        ejected.add(each.ejected);
        targets += each.targets;
        ejected_targets += each.ejected_targets;
    }
    if (are_too_many_ejected(ejected_targets, targets)) {
        result.add(ejected);
    }
    // Peers report the whole service, which can't be split by the zones of its targets.
    if (are_all_allowed) {
        result.raise_remote_open_to(remote_.open_remote_of_service(pool.description.name, now));
    }
    result.add_placed(cached.placed_flows);
    return result;
}

std::map<std::string_view, double> load_estimate::slots_by_zone(const discovery::pool& pool,
                                                                clock::time_point now) {
    std::map<std::string_view, double> result;
    for (const auto& [zone, each] : totals_of(pool, now).zones) {
        const bool counts_ejected = are_too_many_ejected(each.ejected_targets, each.targets);
        result[zone] = each.accepting.slots() + (counts_ejected ? each.ejected.slots() : 0);
    }
    return result;
}

void load_estimate::on_flow_placed(std::string_view service) {
    const auto found = totals_.find(service);
    if (found != totals_.end()) {
        ++found->second.placed_flows;
    }
}

const load_estimate::service_totals& load_estimate::totals_of(const discovery::pool& pool,
                                                              clock::time_point now) {
    auto& result = totals_[pool.description.name];
    if (now < result.valid_until) {
        return result;
    }
    const auto validity_ms = pool.targets.size() / targets_per_millisecond;
    result = {.zones = {}, .placed_flows = 0, .valid_until = now + clock::duration{validity_ms}};
    for (const auto& [zone, targets] : pool.by_zone) {
        if (directory_.is_zone_out(zone)) {
            continue;
        }
        auto& totals = result.zones[zone];
        for (const auto* each : targets) {
            if (!each->accepts_new_flows(now) || each->is_cold(now)) {
                continue;
            }
            const bool is_target_ejected = is_ejected(*each, now);
            (is_target_ejected ? totals.ejected : totals.accepting).add(usage_of(*each, now));
            ++totals.targets;
            totals.ejected_targets += is_target_ejected ? 1 : 0;
        }
    }
    return result;
}

}  // namespace bramleytrack::steering
