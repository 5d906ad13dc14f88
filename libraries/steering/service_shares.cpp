#include "steering/service_shares.h"

#include <algorithm>
#include <cmath>

namespace bramleytrack::steering {
namespace {

// Peers' reports are 300 ms apart; shares that are this much older change no decision.
constexpr clock::duration standing_lifetime{20};
// Beyond this fraction of busy slots, answers wait for others too often to show the work alone.
constexpr double max_calm_load = 0.75;
// About one request in half a second: an idle route has no claim.
constexpr double min_requests_per_second = 1;
// More urgent demand may rise by this factor before the next reports arrive.
constexpr double reserve_head_room = 1.1;
// Of the local fraction of the demand; digests of a whole zone arrive within about this time.
constexpr clock::duration fraction_time_constant{1'000};
// After an idle time, the fraction of the first moment isn't better evidence than any other.
constexpr clock::duration max_fraction_step{100};
constexpr double milliseconds_per_second = 1000;

}  // namespace

const route_standing* service_standing::find(std::string_view route) const {
    const auto found = std::ranges::find(routes, route, &route_standing::route);
    return found == routes.end() ? nullptr : &*found;
}

service_standing service_shares::compute(std::string_view service, const service_standing& previous,
                                         const service_usage& usage, clock::time_point now) const {
    service_standing result;
    result.computed_at = now;
    result.valid_until = now + standing_lifetime;
    result.slots = usage.slots();
    result.is_calm = usage.open_local() + usage.open_remote() <= max_calm_load * usage.slots();
    if (!settings_.capacity_shares && !settings_.zone_balance) {
        return result;
    }
    result.routes = collect_routes(service, now);
    smooth_fractions(result, previous, now);
    divide(result);
    reserve(service, result);
    return result;
}

std::vector<route_standing> service_shares::collect_routes(std::string_view service,
                                                           clock::time_point now) const {
    std::map<std::string, route_standing, std::less<>> found;
    for (const auto each : usage_.routes_of(service)) {
        auto& standing = found[usage_.at(each).route];
        standing.local_rate = usage_.requests_per_second(each, now);
        standing.work_ms = usage_.work_ms(each);
    }
    for (const auto& each : remote_.routes_remote(service, now)) {
        auto& standing = found[each.route];
        standing.remote_rate = each.requests_per_second;
        standing.open_remote = each.open;
        standing.work_ms = standing.work_ms > 0 ? standing.work_ms : each.work_ms;
    }
    std::vector<route_standing> result;
    for (auto& [name, standing] : found) {
        const auto* route = directory_.find_route_by_name(name);
        const double rate = standing.local_rate + standing.remote_rate;
        if (route == nullptr || rate < min_requests_per_second) {
            continue;
        }
        standing.route = name;
        standing.priority = route->priority;
        result.push_back(std::move(standing));
    }
    return result;
}

// Digests arrive a second late in large fleets. As a burst begins, an instance sees its own callers
// first, and would take far more than its part if the fraction followed at once. Without reports
// from peers, the last fraction tells how much they have, or an even part: else each instance would
// take all.
void service_shares::smooth_fractions(service_standing& standing, const service_standing& previous,
                                      clock::time_point now) const {
    const double even =
        1.0 / static_cast<double>(std::max<std::size_t>(1, directory_.peers().size()));
    const bool is_first = previous.computed_at == clock::time_point{};
    const auto elapsed = static_cast<double>((now - previous.computed_at).count());
    const auto longest = static_cast<double>(max_fraction_step.count());
    const double weight =
        is_first ? 0
                 : std::min(elapsed, longest) / static_cast<double>(fraction_time_constant.count());
    const bool has_reports = even >= 1 || remote_.has_reports(now);
    const auto follow = [weight](double last, double local, double remote) {
        return local + remote > 0 ? std::lerp(last, local / (local + remote), weight) : last;
    };
    double local = 0;
    double remote = 0;
    for (auto& each : standing.routes) {
        const auto* last = previous.find(each.route);
        each.local_fraction = last == nullptr ? even : last->local_fraction;
        if (!has_reports) {
            each.remote_rate = each.local_rate * (1 / std::max(each.local_fraction, even) - 1);
        }
        if (last != nullptr) {
            each.local_fraction = follow(last->local_fraction, each.local_rate, each.remote_rate);
        }
        local += each.local_rate;
        remote += each.remote_rate;
    }
    const double last = is_first ? even : previous.local_fraction;
    standing.local_fraction = local + remote > 0 ? follow(last, local, remote) : last;
}

void service_shares::divide(service_standing& standing) const {
    double work = 0;
    double rate_of_known = 0;
    for (const auto& each : standing.routes) {
        const double rate = each.local_rate + each.remote_rate;
        work += rate * each.work_ms;
        rate_of_known += each.work_ms > 0 ? rate : 0;
    }
    standing.is_shared = settings_.capacity_shares && standing.routes.size() > 1 && work > 0;
    const double mean_work = work > 0 ? work / rate_of_known : 0;
    std::vector<share_claim> claims;
    for (auto& each : standing.routes) {
        each.work_ms = each.work_ms > 0 ? each.work_ms : mean_work;
        each.work_ratio = mean_work > 0 ? each.work_ms / mean_work : 1;
        each.demand = (each.local_rate + each.remote_rate) * each.work_ms / milliseconds_per_second;
        claims.push_back({.priority = each.priority, .demand = each.demand});
    }
    if (work <= 0) {
        return;
    }
    const auto shares = divide_capacity(
        standing.slots, claims, {.lower_priority_minimum = settings_.lower_priority_minimum});
    for (std::size_t i = 0; i < shares.size(); ++i) {
        standing.routes[i].share = shares[i];
    }
}

void service_shares::reserve(std::string_view service, service_standing& standing) const {
    for (const auto& each : standing.routes) {
        double open = each.open_remote;
        for (const auto index : usage_.routes_of(service)) {
            const bool is_same = usage_.at(index).route == each.route;
            open += is_same ? flows_.open_requests_of(index) : 0;
        }
        const double needed =
            open_requests_of(each.share.allocated, each.work_ratio) * reserve_head_room;
        standing.unused_by_priority[each.priority] += std::max(0.0, needed - open);
    }
}

double service_standing::reserve_above(int priority) const {
    double result = 0;
    for (const auto& [other, unused] : unused_by_priority) {
        result += other < priority ? unused : 0;
    }
    return result;
}

}  // namespace bramleytrack::steering
