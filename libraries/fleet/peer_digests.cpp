#include "fleet/peer_digests.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bramleytrack::fleet {
namespace {

// Peers that are gone for longer are dropped from memory.
constexpr clock::duration memory{10'000};
// Digests come each 300 ms from each peer; sums that are a sixth of that older change no choice.
constexpr clock::duration summary_lifetime{50};

// Failure: two peers of another zone are heard and stand for forty, and a target with one request
// of theirs looks full. Few of the requests of one target go through any one instance, so what one
// tells of it says little of the others.
constexpr double max_load_weight = 2;

// Standard deviations: an estimate is made anew for each opening, so even a rare excess refuses
// somebody.
constexpr double deviations_of_doubt = 4;

// Services are few, so 32 bits tell them apart in a digest.
std::int32_t short_hash_of(std::string_view service) {
    return static_cast<std::int32_t>(hash_of(service));
}

}  // namespace

peer_digests::peer_digests(const discovery::directory& known, std::string self, std::string zone,
                           std::uint64_t seed, digest_limits limits)
    : known_{known},
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
    store_missed_at_ = content.has_lost_store ? now : store_missed_at_;
    entry.content = std::move(content);
    entry.at = now;
    last_received_at_ = now;
}

void peer_digests::expire(clock::time_point now) {
    std::erase_if(received_, [now](const auto& each) { return now - each.second.at > memory; });
}

std::vector<const discovery::peer_entry*> peer_digests::next_receivers() {
    std::vector<const discovery::peer_entry*> result;
    const auto near = limits_.receivers - std::min(limits_.receivers, limits_.receivers_elsewhere);
    add_receivers(near_round_, true, near, result);
    add_receivers(far_round_, false, limits_.receivers - result.size(), result);
    // A fleet of one zone.
    add_receivers(near_round_, true, limits_.receivers - result.size(), result);
    return result;
}

void peer_digests::add_receivers(std::vector<std::string>& round, bool is_near, std::size_t most,
                                 std::vector<const discovery::peer_entry*>& to) {
    const auto is_in_group = [this, is_near](const auto& each) {
        return each.first != self_ && (each.second.entry.zone == zone_) == is_near;
    };
    if (round.empty()) {
        for (const auto& each : known_.peers()) {
            if (is_in_group(each)) {
                round.push_back(each.first);
            }
        }
        std::ranges::shuffle(round, random_);
    }
    for (std::size_t added = 0; added < most && !round.empty(); round.pop_back()) {
        const auto found = known_.peers().find(round.back());
        const bool is_told = found == known_.peers().end() ||
                             std::ranges::find(to, &found->second.entry) != to.end();
        if (!is_told) {
            to.push_back(&found->second.entry);
            ++added;
        }
    }
}

std::vector<wire::load_report> peer_digests::loads_of(const steering::flow_tracker& flows) const {
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

std::vector<wire::demand_report> peer_digests::demands_of(
    const steering::demand_by_service& demands, const steering::flow_tracker& flows,
    clock::time_point now) const {
    std::map<std::string_view, int> open;
    for (const auto& [token, health] : flows.all_target_health()) {
        const auto* target = health.open_requests > 0 ? known_.find_target(token) : nullptr;
        if (target != nullptr) {
            open[target->entry.service] += health.open_requests;
        }
    }
    std::vector<wire::demand_report> result;
    for (const auto& [service, demand] : demands) {
        const auto asked = static_cast<std::int32_t>(std::lround(demand.recent(now)));
        if (asked > 0) {
            auto& report = result.emplace_back();
            report.service_hash = short_hash_of(service);
            report.asked = asked;
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
    // In a large fleet only some peers are heard at a time: they stand for the others of their
    // zone.
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
            sum.asked += each.asked * weight;
            sum.open += each.open * weight;
            // A sampled Poisson count: its variance is its mean, times what sampling adds.
            sum.open_variance += each.open * weight * (weight - 1);
        }
    }
    return summary_;
}

std::string_view peer_digests::zone_of(std::string_view peer) const {
    const auto found = known_.peers().find(peer);
    return found == known_.peers().end() ? std::string_view{} : found->second.entry.zone;
}

std::map<std::string_view, double> peer_digests::weights_by_zone(clock::time_point now) const {
    std::map<std::string_view, double> fresh;
    for (const auto& [name, entry] : received_) {
        if (is_fresh(entry, now)) {
            ++fresh[zone_of(name)];
        }
    }
    std::map<std::string_view, double> weights;
    for (const auto& [name, peer] : known_.peers()) {
        if (name != self_) {
            ++weights[peer.entry.zone];
        }
    }
    for (auto& [zone, weight] : weights) {
        const auto found = fresh.find(zone);
        weight = found == fresh.end() ? 1 : std::max(1.0, weight / found->second);
    }
    weights.try_emplace(std::string_view{}, 1);  // those that aren't known yet
    return weights;
}

double peer_digests::open_remote(steering::routing_token token, clock::time_point now) const {
    const auto& known = summarize(now).loads;
    const auto found = known.find(token);
    return found == known.end() ? 0 : found->second;
}

peer_digests::service_sum peer_digests::service_elsewhere(std::string_view service,
                                                          clock::time_point now) const {
    const auto& known = summarize(now).services;
    const auto found = known.find(short_hash_of(service));
    return found == known.end() ? service_sum{} : found->second;
}

// Failure: one instance of a far zone is heard, stands for thirty, and has a few requests of a
// small service open just then. The service looks full, and callers are refused while its slots are
// idle. So only what is beyond doubt counts.
double peer_digests::open_remote_of_service(std::string_view service, clock::time_point now) const {
    const auto told = service_elsewhere(service, now);
    return std::max(0.0, told.open - deviations_of_doubt * std::sqrt(told.open_variance));
}

double peer_digests::demand_remote(std::string_view service, clock::time_point now) const {
    return service_elsewhere(service, now).asked;
}

}  // namespace bramleytrack::fleet
