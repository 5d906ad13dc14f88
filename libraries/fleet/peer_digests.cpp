#include "fleet/peer_digests.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bramleytrack::fleet {
namespace {

// Digests of peers that have sent none for longer are discarded.
constexpr clock::duration retention{10'000};
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

// There are few services, so 32 bits distinguish them in a digest.
std::int32_t short_hash_of(std::string_view service) {
    return static_cast<std::int32_t>(hash_of(service));
}

}  // namespace

peer_digests::peer_digests(const discovery::directory& directory, std::string self,
                           std::string zone, std::uint64_t seed, digest_limits limits)
    : directory_{directory},
      self_{std::move(self)},
      zone_{std::move(zone)},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void peer_digests::on_digest(std::string_view sender, wire::digest content, clock::time_point now) {
    if (sender == self_) {
        return;
    }
    auto& entry = received_[std::string{sender}];
    entry.confirmed = content.confirmed_ms_ago < 0
                          ? clock::time_point{}
                          : now - clock::duration{content.confirmed_ms_ago};
    store_failure_reported_at_ = content.has_lost_store ? now : store_failure_reported_at_;
    entry.content = std::move(content);
    entry.at = now;
    last_received_at_ = now;
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
    const steering::flow_tracker& flows) const {
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
    return result;
}

std::vector<wire::demand_report> peer_digests::demand_reports(
    const steering::demand_by_service& demands, const steering::flow_tracker& flows,
    clock::time_point now) const {
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
        if (recent_demand > 0) {
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
    if (now < summary_.until) {
        return summary_;
    }
    summary_.until = now + summary_lifetime;
    summary_.loads.clear();
    summary_.services.clear();
    // In a large fleet only some peers have fresh digests at a time: they represent the others of
    // their zone.
    const auto weights = weights_by_zone(now);
    for (const auto& [name, entry] : received_) {
        if (!is_fresh(entry, now)) {
            continue;
        }
        const auto zone = zone_of(name);
        const double weight = weights.at(zone);
        const double load_weight = std::min(weight, max_load_weight);
        for (const auto& each : entry.content.loads) {
            summary_.loads[static_cast<steering::routing_token>(each.token)] +=
                each.open_requests * load_weight;
        }
        for (const auto& each : entry.content.demands) {
            auto& sum = summary_.services[each.service_hash];
            sum.demand += each.asked * weight;
            sum.open += each.open * weight;
            // The variance of a sampled Poisson count is its mean times the factor that sampling
            // adds.
            sum.open_variance += each.open * weight * (weight - 1);
        }
    }
    return summary_;
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
    for (const auto& [name, peer] : directory_.peers()) {
        if (name != self_) {
            ++weights[peer.entry.zone];
        }
    }
    for (auto& [zone, weight] : weights) {
        const auto found = fresh.find(zone);
        weight = found == fresh.end() ? 1 : std::max(1.0, weight / found->second);
    }
    weights.try_emplace(std::string_view{}, 1);  // peers that aren't in the directory yet
    return weights;
}

double peer_digests::open_remote(steering::routing_token token, clock::time_point now) const {
    const auto& loads = summarize(now).loads;
    const auto found = loads.find(token);
    return found == loads.end() ? 0 : found->second;
}

peer_digests::service_load peer_digests::remote_service_load(std::string_view service,
                                                             clock::time_point now) const {
    const auto& services = summarize(now).services;
    const auto found = services.find(short_hash_of(service));
    return found == services.end() ? service_load{} : found->second;
}

// A digest may represent thirty instances of another zone. If its sender has a few requests of a
// small service open at that moment, the service looks full, and callers are rejected while its
// slots are idle. Therefore only the lower confidence bound of the estimate counts.
double peer_digests::open_remote_of_service(std::string_view service, clock::time_point now) const {
    const auto load = remote_service_load(service, now);
    return std::max(0.0, load.open - open_estimate_margin * std::sqrt(load.open_variance));
}

double peer_digests::demand_remote(std::string_view service, clock::time_point now) const {
    return remote_service_load(service, now).demand;
}

}  // namespace bramleytrack::fleet
