#include "fleet/peer_digests.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleytrack::fleet {
namespace {

// Digests of peers that have sent none for longer are discarded.
constexpr clock::duration retention{10'000};
// A shorter wait is the delay of the event loop. The bound is no exact time, and the age of a
// confirmation adds up from peer to peer.
constexpr clock::duration min_counted_wait{250};
// Each peer sends a digest every 300 ms; sums that are older by a sixth of that change no
// placement.
constexpr clock::duration summary_lifetime{50};

// Without this bound, when the digests of two peers represent the forty of another zone, a target
// with one request of theirs looks full. Few of a target's requests go through any one instance, so
// the report of one predicts little about the others.
constexpr double max_load_weight = 2;

// In standard deviations. The estimate is used for each opening, so even a rare overestimate would
// reject some of them.
constexpr double open_estimate_margin = 4;

// The `asked` of a report is a count that decays with this time constant: that of load::demand and
// of service_demand.
constexpr double demand_time_constant_ms = 500;
constexpr double milliseconds_per_second = 1'000;
// The work in a report is in tenths of a millisecond.
constexpr double work_units_per_millisecond = 10;
constexpr int full_speed_percent = 100;

std::int32_t rounded(double value) {
    constexpr double max_count = 1e9;  // also bounds what peers can add up to
    return static_cast<std::int32_t>(std::lround(std::clamp(value, 0.0, max_count)));
}

}  // namespace

std::vector<steering::target_speed_report> speed_reports_of(const wire::digest& content) {
    std::vector<steering::target_speed_report> result;
    for (const auto& each : content.loads) {
        if (each.__isset.speed && each.speed > 0 && each.speed <= full_speed_percent) {
            result.push_back({.token = static_cast<steering::routing_token>(each.token),
                              .speed = static_cast<double>(each.speed) / full_speed_percent});
        }
    }
    return result;
}

peer_digests::peer_digests(const discovery::directory& directory, std::string self,
                           std::string zone, std::uint64_t seed, digest_limits limits)
    : directory_{directory},
      self_{std::move(self)},
      zone_{std::move(zone)},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)},
      route_keys_{directory} {}

void peer_digests::on_digest(std::string_view sender, wire::digest content, clock::time_point now,
                             clock::duration max_socket_wait) {
    if (sender == self_) {
        return;
    }
    const auto arrived_at = max_socket_wait < min_counted_wait ? now : now - max_socket_wait;
    auto& entry = received_[std::string{sender}];
    entry.confirmed = content.confirmed_ms_ago < 0
                          ? clock::time_point{}
                          : arrived_at - clock::duration{content.confirmed_ms_ago};
    store_failure_reported_at_ = content.has_lost_store ? now : store_failure_reported_at_;
    entry.content = std::move(content);
    entry.at = arrived_at;
    last_received_at_ = arrived_at;
}

void peer_digests::expire(clock::time_point now) {
    std::erase_if(received_, [now](const auto& each) { return now - each.second.at > retention; });
}

std::vector<const discovery::peer_entry*> peer_digests::next_receivers() {
    std::vector<const discovery::peer_entry*> result;
    const auto same_zone_count =
        limits_.receivers - std::min(limits_.receivers, limits_.receivers_in_other_zones);
    add_receivers(same_zone_round_, true, same_zone_count, result);
    add_receivers(other_zones_round_, false, limits_.receivers - result.size(), result);
    // In a fleet of one zone, all receivers are in it.
    add_receivers(same_zone_round_, true, limits_.receivers - result.size(), result);
    return result;
}

void peer_digests::add_receivers(std::vector<std::string>& round, bool is_same_zone,
                                 std::size_t max_added,
                                 std::vector<const discovery::peer_entry*>& to) {
    const auto is_in_group = [this, is_same_zone](const auto& each) {
        return each.first != self_ && (each.second.entry.zone == zone_) == is_same_zone;
    };
    if (round.empty()) {
        for (const auto& each : directory_.peers()) {
            if (is_in_group(each)) {
                round.push_back(each.first);
            }
        }
        std::ranges::shuffle(round, random_);
    }
    for (std::size_t added = 0; added < max_added && !round.empty(); round.pop_back()) {
        const auto found = directory_.peers().find(round.back());
        const bool is_skipped = found == directory_.peers().end() ||
                                std::ranges::find(to, &found->second.entry) != to.end();
        if (!is_skipped) {
            to.push_back(&found->second.entry);
            ++added;
        }
    }
}

std::vector<wire::load_report> peer_digests::load_reports(
    const steering::flow_tracker& flows,
    std::span<const steering::target_speed_report> slow) const {
    std::vector<wire::load_report> result;
    for (const auto& [token, health] : flows.all_target_health()) {
        if (health.open_requests <= 0) {
            continue;
        }
        auto& report = result.emplace_back();
        report.token = static_cast<std::int32_t>(token);
        report.open_requests = health.open_requests;
    }
    std::ranges::sort(result, std::greater{}, &wire::load_report::open_requests);
    if (result.size() > limits_.max_loads) {
        result.resize(limits_.max_loads);
    }
    for (const auto& each : slow) {
        const auto token = static_cast<std::int32_t>(each.token);
        auto report = std::ranges::find(result, token, &wire::load_report::token);
        if (report == result.end()) {
            report = result.emplace(result.end());
            report->token = token;
            report->open_requests = std::max(0, flows.health(each.token).open_requests);
        }
        report->__set_speed(
            std::clamp(rounded(each.speed * full_speed_percent), 1, full_speed_percent));
    }
    return result;
}

std::vector<wire::route_report> peer_digests::route_reports(const steering::route_usage& usage,
                                                            const steering::flow_tracker& flows,
                                                            clock::time_point now) const {
    std::vector<wire::route_report> result;
    double known_work = 0;
    double demand_of_known_work = 0;
    for (std::size_t i = 0; i < usage.size(); ++i) {
        wire::route_report report;
        report.key = route_key_of(usage.at(i).service, usage.at(i).route);
        report.asked = rounded(usage.requests_per_second(i, now) * demand_time_constant_ms /
                               milliseconds_per_second);
        report.open = std::max(0, flows.open_requests_of(i));
        const bool is_used = report.asked > 0 || report.open > 0;
        if (!is_used || route_keys_.find(report.key) == nullptr) {
            continue;
        }
        const auto work_ms = usage.work_ms(i);
        // Zero stands for unknown.
        report.work = work_ms > 0 ? std::max(1, rounded(work_ms * work_units_per_millisecond)) : 0;
        if (report.work > 0) {
            known_work += static_cast<double>(report.asked) * report.work;
            demand_of_known_work += report.asked;
        }
        result.push_back(report);
    }
    // Demand is measured in slot time. A route without an answer so far counts with the mean work.
    const double mean_work = demand_of_known_work > 0 ? known_work / demand_of_known_work : 1;
    const auto slot_time = [mean_work](const wire::route_report& each) {
        return each.asked * (each.work > 0 ? each.work : mean_work);
    };
    std::ranges::stable_sort(result, std::greater{}, slot_time);
    if (result.size() > limits_.max_routes) {
        result.resize(limits_.max_routes);
    }
    return result;
}

std::vector<wire::demand_report> peer_digests::demand_reports(
    const steering::demand_by_service& demands, const steering::flow_tracker& flows,
    clock::time_point now, std::span<const wire::route_report> routes) const {
    std::set<std::string_view> reported_by_route;
    for (const auto& each : routes) {
        if (const auto* pair = route_keys_.find(each.key)) {
            reported_by_route.insert(pair->service);
        }
    }
    std::map<std::string_view, int> open;
    for (const auto& [token, health] : flows.all_target_health()) {
        const auto* target = health.open_requests > 0 ? directory_.find_target(token) : nullptr;
        if (target != nullptr) {
            open[target->entry.service] += health.open_requests;
        }
    }
    std::vector<wire::demand_report> result;
    for (const auto& [service, demand] : demands) {
        const auto recent_demand = static_cast<std::int32_t>(std::lround(demand.recent(now)));
        if (recent_demand > 0 && !reported_by_route.contains(service)) {
            auto& report = result.emplace_back();
            report.service_hash = short_hash_of(service);
            report.asked = recent_demand;
            report.open = open[service];
        }
    }
    std::ranges::sort(result, std::greater{}, &wire::demand_report::asked);
    if (result.size() > limits_.max_demands) {
        result.resize(limits_.max_demands);
    }
    return result;
}

const peer_digests::summary& peer_digests::summarize(clock::time_point now) const {
    const auto catalogue_version = directory_.current_catalogue().version;
    if (now < summary_.until && summary_.catalogue_version == catalogue_version) {
        return summary_;
    }
    summary_ = {.loads = {},
                .services = {},
                .zones = {},
                .until = now + summary_lifetime,
                .catalogue_version = catalogue_version};
    std::unordered_map<std::int32_t, route_sum> routes;
    // In a large fleet only some peers have fresh digests at a time: they represent the others of
    // their zone.
    const auto weights = weights_by_zone(now);
    for (const auto& [name, entry] : received_) {
        if (!is_fresh(entry, now)) {
            continue;
        }
        const std::string zone{zone_of(name)};
        const double weight = weights.at(zone);
        summary_.zones.insert(zone);
        const double load_weight = std::min(weight, max_load_weight);
        for (const auto& each : entry.content.loads) {
            summary_.loads[static_cast<steering::routing_token>(each.token)] +=
                each.open_requests * load_weight;
        }
        for (const auto& each : entry.content.demands) {
            auto& sum = summary_.services[each.service_hash];
            sum.load.add(each.asked, each.open, weight);
            sum.zones[zone].demand_of_unknown_work += std::max(0, each.asked) * weight;
        }
        for (const auto& each : entry.content.routes) {
            auto& sum = routes[each.key];
            const double asked = std::max(0, each.asked) * weight;
            sum.load.add(each.asked, each.open, weight);
            sum.demand_by_zone[zone] += asked;
            if (each.work > 0) {
                sum.demand_of_known_work += asked;
                sum.known_work += asked * each.work / work_units_per_millisecond;
            }
        }
    }
    add_routes(routes);
    return summary_;
}

// Reports of routes that this instance doesn't know, because its catalogue is older than the
// sender's, are left out until it has received the newer one.
void peer_digests::add_routes(const std::unordered_map<std::int32_t, route_sum>& routes) const {
    for (const auto& [key, route] : routes) {
        const auto* pair = route_keys_.find(key);
        if (pair == nullptr) {
            continue;
        }
        auto& service = summary_.services[pair->service_hash];
        service.load.demand += route.load.demand;
        service.load.open += route.load.open;
        service.load.open_variance += route.load.open_variance;
        const auto work_ms = route.work_ms();
        for (const auto& [zone, demand] : route.demand_by_zone) {
            auto& sum = service.zones[zone];
            (work_ms > 0 ? sum.known_work : sum.demand_of_unknown_work) +=
                work_ms > 0 ? demand * work_ms : demand;
        }
        if (work_ms > 0) {
            service.demand_of_known_work += route.load.demand;
            service.known_work += route.load.demand * work_ms;
        }
        if (pair->is_split) {
            service.routes.push_back(
                {.route = pair->route,
                 .requests_per_second =
                     route.load.demand * milliseconds_per_second / demand_time_constant_ms,
                 .open = route.load.open_lower_bound(),
                 .work_ms = work_ms});
        }
    }
}

void peer_digests::load_sum::add(std::int32_t asked, std::int32_t open_requests, double weight) {
    const double counted = std::max(0, open_requests);
    demand += std::max(0, asked) * weight;
    open += counted * weight;
    // The variance of a sampled Poisson count is its mean times the factor that sampling adds.
    open_variance += counted * weight * (weight - 1);
}

// A digest may represent thirty instances of another zone. If its sender has a few requests of a
// small service open at that moment, the service looks full, and callers are rejected while its
// slots are idle. Therefore only the lower confidence bound of the estimate counts.
double peer_digests::load_sum::open_lower_bound() const {
    return std::max(0.0, open - open_estimate_margin * std::sqrt(open_variance));
}

std::string_view peer_digests::zone_of(std::string_view peer) const {
    const auto found = directory_.peers().find(peer);
    return found == directory_.peers().end() ? std::string_view{} : found->second.entry.zone;
}

std::map<std::string_view, double> peer_digests::weights_by_zone(clock::time_point now) const {
    std::map<std::string_view, double> fresh;
    for (const auto& [name, entry] : received_) {
        if (is_fresh(entry, now)) {
            ++fresh[zone_of(name)];
        }
    }
    std::map<std::string_view, double> weights;
    for (const auto& [zone, peers] : directory_.peers_by_zone()) {
        const bool contains_self = directory_.peers().contains(self_) && zone == zone_;
        const auto others = static_cast<double>(peers) - (contains_self ? 1 : 0);
        const auto found = fresh.find(zone);
        weights[zone] = found == fresh.end() ? 1 : std::max(1.0, others / found->second);
    }
    weights.try_emplace(std::string_view{}, 1);  // peers that aren't in the directory yet
    return weights;
}

double peer_digests::open_remote(steering::routing_token token, clock::time_point now) const {
    const auto& loads = summarize(now).loads;
    const auto found = loads.find(token);
    return found == loads.end() ? 0 : found->second;
}

const peer_digests::service_sum& peer_digests::remote_service_load(std::string_view service,
                                                                   clock::time_point now) const {
    static const service_sum none;
    const auto& services = summarize(now).services;
    const auto found = services.find(short_hash_of(service));
    return found == services.end() ? none : found->second;
}

double peer_digests::open_remote_of_service(std::string_view service, clock::time_point now) const {
    return remote_service_load(service, now).load.open_lower_bound();
}

double peer_digests::demand_remote(std::string_view service, clock::time_point now) const {
    return remote_service_load(service, now).load.demand;
}

std::vector<steering::remote_route_usage> peer_digests::routes_remote(std::string_view service,
                                                                      clock::time_point now) const {
    return remote_service_load(service, now).routes;
}

std::optional<double> peer_digests::zone_demand_remote(std::string_view service,
                                                       std::string_view zone,
                                                       clock::time_point now) const {
    const auto& sum = remote_service_load(service, now);
    if (!summary_.zones.contains(zone)) {
        return std::nullopt;
    }
    const auto found = sum.zones.find(zone);
    if (found == sum.zones.end()) {
        return 0;
    }
    const auto& demand = found->second;
    if (demand.demand_of_unknown_work > 0 && sum.demand_of_known_work <= 0) {
        return std::nullopt;
    }
    const double mean_work_ms =
        sum.demand_of_known_work > 0 ? sum.known_work / sum.demand_of_known_work : 0;
    return (demand.known_work + demand.demand_of_unknown_work * mean_work_ms) /
           demand_time_constant_ms;
}

}  // namespace bramleytrack::fleet
