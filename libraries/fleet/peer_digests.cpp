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

// Services are few, so 32 bits tell them apart in a digest.
std::int32_t short_hash_of(std::string_view service) {
    return static_cast<std::int32_t>(hash_of(service));
}

}  // namespace

peer_digests::peer_digests(const discovery::directory& known, std::string self, std::uint64_t seed,
                           digest_limits limits)
    : known_{known},
      self_{std::move(self)},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void peer_digests::on_digest(std::string_view sender, wire::digest content, clock::time_point now) {
    if (sender == self_) {
        return;
    }
    auto& entry = heard_[std::string{sender}];
    entry.confirmed = content.confirmed_ms_ago < 0
                          ? clock::time_point{}
                          : now - clock::duration{content.confirmed_ms_ago};
    store_missed_at_ = content.has_lost_store ? now : store_missed_at_;
    entry.content = std::move(content);
    entry.at = now;
    heard_at_ = now;
}

void peer_digests::expire(clock::time_point now) {
    std::erase_if(heard_, [now](const auto& each) { return now - each.second.at > memory; });
}

std::vector<const discovery::peer_entry*> peer_digests::next_receivers() {
    std::vector<const discovery::peer_entry*> result;
    if (order_.empty()) {
        for (const auto& [name, peer] : known_.peers()) {
            if (name != self_) {
                order_.push_back(name);
            }
        }
        std::ranges::shuffle(order_, random_);
    }
    while (!order_.empty() && result.size() < limits_.receivers) {
        const auto found = known_.peers().find(order_.back());
        order_.pop_back();
        if (found != known_.peers().end()) {
            result.push_back(&found->second.entry);
        }
    }
    return result;
}

std::vector<wire::load_report> peer_digests::loads_of(const steering::flow_watch& flows,
                                                      clock::time_point now) const {
    std::vector<wire::load_report> result;
    for (const auto& [token, signs] : flows.all_signs()) {
        const bool is_silent = now < signs.shunned_until;
        if (!is_silent && signs.open_requests <= 0) {
            continue;
        }
        auto& report = result.emplace_back();
        report.token = static_cast<std::int32_t>(token);
        report.open_requests = signs.open_requests;
        report.is_silent = is_silent;
    }
    const auto is_heavier = [](const wire::load_report& left, const wire::load_report& right) {
        return left.is_silent != right.is_silent ? left.is_silent
                                                 : left.open_requests > right.open_requests;
    };
    std::ranges::sort(result, is_heavier);
    if (result.size() > limits_.max_loads) {
        result.resize(limits_.max_loads);
    }
    return result;
}

std::vector<wire::demand_report> peer_digests::demands_of(
    const steering::demand_by_service& demands, clock::time_point now) const {
    std::vector<wire::demand_report> result;
    for (const auto& [service, demand] : demands) {
        const auto asked = static_cast<std::int32_t>(std::lround(demand.recent(now)));
        if (asked > 0) {
            auto& report = result.emplace_back();
            report.service_hash = short_hash_of(service);
            report.asked = asked;
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
    summary_.demands.clear();
    std::size_t fresh = 0;
    for (const auto& [name, entry] : heard_) {
        if (!is_fresh(entry, now)) {
            continue;
        }
        ++fresh;
        for (const auto& each : entry.content.loads) {
            auto& told = summary_.loads[static_cast<steering::routing_token>(each.token)];
            told.open += each.open_requests;
            told.is_silent = told.is_silent || each.is_silent;
        }
        for (const auto& each : entry.content.demands) {
            summary_.demands[each.service_hash] += each.asked;
        }
    }
    // In a large fleet only some peers are heard at a time: they stand for the others.
    const auto peers = static_cast<double>(known_.peers().size()) - 1;
    const double weight = fresh == 0 ? 1.0 : std::max(1.0, peers / static_cast<double>(fresh));
    for (auto& [token, told] : summary_.loads) {
        told.open *= weight;
    }
    for (auto& [service, asked] : summary_.demands) {
        asked *= weight;
    }
    return summary_;
}

double peer_digests::open_elsewhere(steering::routing_token token, clock::time_point now) const {
    const auto& known = summarize(now).loads;
    const auto found = known.find(token);
    return found == known.end() ? 0 : found->second.open;
}

double peer_digests::wanted_elsewhere(std::string_view service, clock::time_point now) const {
    const auto& known = summarize(now).demands;
    const auto found = known.find(short_hash_of(service));
    return found == known.end() ? 0 : found->second;
}

bool peer_digests::is_silent_elsewhere(steering::routing_token token, clock::time_point now) const {
    const auto& known = summarize(now).loads;
    const auto found = known.find(token);
    return found != known.end() && found->second.is_silent;
}

}  // namespace bramleytrack::fleet
