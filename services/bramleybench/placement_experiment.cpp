#include "placement_experiment.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <random>

#include "load/placement.h"
#include "membership/peer_table.h"
#include "routing/candidates.h"

namespace bramleytrack::experiments {
namespace {

constexpr double warm_up_ms = 30'000;
constexpr double length_ms = 60'000;
constexpr double sample_ms = 100;
constexpr std::size_t members = 4;
constexpr double heartbeat_ms = static_cast<double>(membership::heartbeat_interval.count());

class placement_experiment {
public:
    placement_experiment(const placement_pattern& pattern, const placement_features& features,
                         std::uint64_t seed)
        : pattern_{pattern}, features_{features}, random_{seed} {
        const auto count = static_cast<std::size_t>(pattern.targets);
        configuration_.zones.push_back({.name = "z"});
        configuration_.services.push_back({.name = "s", .address = "s", .depends_on = {}});
        for (std::size_t i = 0; i < count; ++i) {
            configuration::target added;
            added.name = "t" + std::to_string(i);
            added.zone = "z";
            added.service = "s";
            added.weight = pattern.has_heavy_tail ? heavy_weight() : 1;
            configuration_.targets.push_back(added);
        }
        configuration_.build_indexes();
        open_.resize(count);
        open_by_member_.assign(members, std::vector<int>(count));
        const auto owners = static_cast<std::size_t>(pattern.owners);
        received_.resize(count);
        unreported_.resize(owners);
        for (std::size_t owner = 0; owner < owners; ++owner) {
            next_heartbeat_.push_back(std::uniform_real_distribution<>{0, heartbeat_ms}(random_));
        }
    }

    std::vector<figure> run() {
        double next_sample = warm_up_ms;
        double now = 0;
        const double mean_gap = 1'000 / pattern_.opened_per_second;
        while (now < length_ms) {
            now += std::exponential_distribution<>{1 / mean_gap}(random_);
            close_flows_until(now);
            send_heartbeats_until(now);
            while (now >= next_sample) {
                sample();
                next_sample += sample_ms;
            }
            open_flow(now);
        }
        return figures();
    }

private:
    struct flow_end {
        double time;
        std::size_t target;
        std::size_t member;
        bool operator>(const flow_end& other) const { return time > other.time; }
    };

    double heavy_weight() {
        constexpr double shape = 1.2;
        constexpr double max_weight = 20;
        const double uniform = std::uniform_real_distribution<>{0, 1}(random_);
        return std::min(max_weight, std::pow(1 - uniform, -1 / shape));
    }

    std::size_t owner_of(std::size_t target) const { return target % unreported_.size(); }

    void close_flows_until(double now) {
        while (!ends_.empty() && ends_.top().time <= now) {
            --open_[ends_.top().target];
            --open_by_member_[ends_.top().member][ends_.top().target];
            ends_.pop();
        }
    }

    void send_heartbeats_until(double now) {
        for (std::size_t owner = 0; owner < next_heartbeat_.size(); ++owner) {
            if (now < next_heartbeat_[owner]) {
                continue;
            }
            next_heartbeat_[owner] += heartbeat_ms;
            for (std::size_t target = owner; target < open_.size();
                 target += next_heartbeat_.size()) {
                received_[target] = open_[target];
                for (auto& placements : unreported_) {
                    placements.reset_on_report(configuration_.targets[target].name);
                }
            }
        }
    }

    void open_flow(double now) {
        const auto found = routing::candidates_of(configuration_, "s", random_());
        const auto index_of = [this](const configuration::target* each) {
            return static_cast<std::size_t>(each - configuration_.targets.data());
        };
        const auto owner = owner_of(index_of(found.front()));
        std::vector<load::candidate> candidates;
        for (const auto* each : found) {
            const auto index = index_of(each);
            const bool is_local = owner_of(index) == owner;
            const int own_placements = features_.counts_own_placements
                                           ? unreported_[owner].placed_since_report(each->name)
                                           : 0;
            const int load = is_local ? open_[index] : received_[index] + own_placements;
            candidates.push_back({.is_eligible = true, .relative_load = load / each->weight});
        }
        const auto order = load::order_candidates(candidates, features_.threshold);
        const auto chosen = features_.uses_first_candidate ? 0 : order.front();
        const auto target = index_of(found[chosen]);
        const auto member = random_() % members;
        if (now > warm_up_ms) {
            ++placed_;
            moved_ += chosen == 0 ? 0 : 1;
        }
        if (owner_of(target) != owner) {
            unreported_[owner].record_placement(found[chosen]->name);
        }
        ++open_[target];
        ++open_by_member_[member][target];
        const double lifetime =
            std::exponential_distribution<>{1 / pattern_.mean_lifetime_ms}(random_);
        ends_.push({now + lifetime, target, member});
    }

    double imbalance_of(const std::vector<int>& counts) const {
        double max_relative_load = 0;
        double weights = 0;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            max_relative_load =
                std::max(max_relative_load, counts[i] / configuration_.targets[i].weight);
            weights += configuration_.targets[i].weight;
        }
        return max_relative_load * weights / std::accumulate(counts.begin(), counts.end(), 0.0);
    }

    void sample() {
        samples_.push_back(imbalance_of(open_));
        for (const auto& each : open_by_member_) {
            member_samples_.push_back(imbalance_of(each));
        }
    }

    std::vector<figure> figures() {
        std::ranges::sort(samples_);
        const auto mean = [](const std::vector<double>& values) {
            return std::accumulate(values.begin(), values.end(), 0.0) /
                   static_cast<double>(values.size());
        };
        return {{"imbalance_mean", mean(samples_)},
                {"imbalance_p99", samples_[samples_.size() * 99 / 100]},
                {"imbalance_member", mean(member_samples_)},
                {"moved", static_cast<double>(moved_) / static_cast<double>(placed_)}};
    }

    const placement_pattern& pattern_;
    const placement_features& features_;
    std::mt19937_64 random_;
    configuration::configuration configuration_;
    std::vector<int> open_;      // by target
    std::vector<int> received_;  // by target, as of its owner's last heartbeat
    std::vector<std::vector<int>> open_by_member_;
    std::vector<load::unreported_placements> unreported_;  // by owner
    std::vector<double> next_heartbeat_;                   // by owner
    std::priority_queue<flow_end, std::vector<flow_end>, std::greater<>> ends_;
    std::vector<double> samples_;
    std::vector<double> member_samples_;
    std::int64_t placed_ = 0;
    std::int64_t moved_ = 0;
};

}  // namespace

std::vector<placement_pattern> all_placement_patterns() {
    return {{.name = "placement_14"},
            {.name = "placement_4", .targets = 4},
            {.name = "placement_14_heavy", .has_heavy_tail = true},
            {.name = "placement_4_heavy", .targets = 4, .has_heavy_tail = true},
            {.name = "placement_14_fast", .opened_per_second = 5'000, .mean_lifetime_ms = 4'000}};
}

std::vector<figure> simulate_placement(const placement_pattern& pattern,
                                       const placement_features& features, std::uint64_t seed) {
    return placement_experiment{pattern, features, seed}.run();
}

}  // namespace bramleytrack::experiments
