#include "fleet_start_experiment.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <unordered_map>

#include "fleet_network.h"
#include "fleet_start_instance.h"
#include "fleet_store_model.h"

namespace bramleytrack::experiments {
namespace {

// Ten targets and its own registration.
constexpr std::size_t entries_per_instance = 11;
// One instance in twenty is large.
constexpr std::size_t large_instance_interval = 20;
constexpr double small_link_mbps = 20;
constexpr double large_link_mbps = 200;
constexpr double small_cpu_share = 0.12;
constexpr double large_cpu_share = 0.5;
constexpr clock::duration tick_interval{100};
// Instances start within this time of each other.
constexpr std::int64_t start_spread_ms = 300;
constexpr clock::duration simulation_length{40'000};
constexpr double milliseconds_per_second = 1'000;
constexpr double bytes_per_megabyte = 1e6;

class fleet_start_experiment {
public:
    fleet_start_experiment(const fleet_start_pattern& pattern, const fleet_start_features& features,
                           std::uint64_t seed)
        : pattern_{pattern},
          random_{seed},
          network_{link_rates(pattern)},
          platform_{pattern.instances * entries_per_instance, fleet_store_limits{}} {
        for (std::size_t i = 0; i < pattern.instances; ++i) {
            add_instance(i, features);
        }
    }

    std::vector<figure> run() {
        started_at_ = network_.now();
        const auto restarted = static_cast<std::size_t>(static_cast<double>(instances_.size()) *
                                                        pattern_.restarted_fraction);
        std::uniform_int_distribution<std::int64_t> delay{0, start_spread_ms};
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            // The restarted ones are spread over the fleet, so that they include large instances.
            const bool is_restarted =
                i * restarted / instances_.size() != (i + 1) * restarted / instances_.size();
            if (is_restarted) {
                restarted_.push_back(instances_[i].get());
                schedule_tick(*instances_[i], started_at_ + clock::duration{delay(random_)});
            } else {
                instances_[i]->hold_state();
            }
        }
        network_.run(started_at_ + simulation_length, [this] {
            return std::ranges::all_of(restarted_,
                                       [](const auto* each) { return each->has_state(); });
        });
        return figures();
    }

private:
    void add_instance(std::size_t index, const fleet_start_features& features) {
        const auto name = "instance-" + std::to_string(index);
        const auto link_mbps = is_large(index) ? large_link_mbps : small_link_mbps;
        platform_.add_registration({.name = name,
                                    .zone = "zone",
                                    .address = name,
                                    .pull_address = name,
                                    .link_mbps = link_mbps});
        instances_.push_back(std::make_unique<fleet_start_instance>(
            network_, platform_,
            fleet_start_instance::traits{
                .name = name,
                .node = index + 1,
                .link_mbps = link_mbps,
                .cpu_share = is_large(index) ? large_cpu_share : small_cpu_share,
                .seed = random_(),
                .restarts_timeout = features.has_progress_timeouts,
                .uses_peers = features.copies_from_peers}));
        instances_.back()->set_peer_finder([this](const std::string& pull_address) {
            const auto found = by_address_.find(pull_address);
            return found == by_address_.end() ? nullptr : found->second;
        });
        by_address_[name] = instances_.back().get();
    }

    static bool is_large(std::size_t index) { return index % large_instance_interval == 0; }

    static std::vector<double> link_rates(const fleet_start_pattern& pattern) {
        std::vector<double> result{pattern.store_link_mbps};
        for (std::size_t i = 0; i < pattern.instances; ++i) {
            result.push_back(is_large(i) ? large_link_mbps : small_link_mbps);
        }
        return result;
    }

    void schedule_tick(fleet_start_instance& subject, clock::time_point at) {
        network_.schedule(at, [this, &subject](clock::time_point now) {
            if (!subject.has_state()) {
                subject.tick(now);
                schedule_tick(subject, now + tick_interval);
            }
        });
    }

    std::vector<figure> figures() const {
        std::vector<int> times;
        for (const auto* each : restarted_) {
            const auto ready_at =
                each->has_state() ? each->ready_at() : started_at_ + simulation_length;
            times.push_back(static_cast<int>((ready_at - started_at_).count()));
        }
        std::vector<int> peer_kilobytes;
        for (const auto& each : instances_) {
            constexpr std::int64_t bytes_per_kilobyte = 1'000;
            peer_kilobytes.push_back(
                static_cast<int>(network_.bytes_sent(each->node()) / bytes_per_kilobyte));
        }
        constexpr double half = 0.5;
        constexpr double nearly_all = 0.99;
        const auto ready =
            std::ranges::count_if(restarted_, [](const auto* each) { return each->has_state(); });
        return {{.name = "ready", .value = static_cast<double>(ready)},
                {.name = "half_s", .value = quantile(times, half) / milliseconds_per_second},
                {.name = "p99_s", .value = quantile(times, nearly_all) / milliseconds_per_second},
                {.name = "all_s", .value = quantile(times, 1) / milliseconds_per_second},
                {.name = "store_mb",
                 .value = static_cast<double>(network_.bytes_sent(0)) / bytes_per_megabyte},
                {.name = "store_calls", .value = static_cast<double>(platform_.calls())},
                {.name = "peer_median_mb",
                 .value = quantile(peer_kilobytes, half) / milliseconds_per_second},
                {.name = "peer_busiest_mb",
                 .value = quantile(peer_kilobytes, 1) / milliseconds_per_second}};
    }

    fleet_start_pattern pattern_;
    std::mt19937_64 random_;
    fleet_network network_;
    fleet_store_model platform_;
    std::vector<std::unique_ptr<fleet_start_instance>> instances_;
    std::unordered_map<std::string, fleet_start_instance*> by_address_;
    std::vector<fleet_start_instance*> restarted_;
    clock::time_point started_at_;
};

}  // namespace

std::vector<fleet_start_pattern> all_fleet_start_patterns() {
    struct share {
        std::string_view name;
        double fraction;
    };
    constexpr std::array shares{share{"all", 1}, share{"zone", 0.2}, share{"twentieth", 0.05}};
    constexpr std::array<std::size_t, 4> sizes{100, 300, 1'000, 2'000};
    std::vector<fleet_start_pattern> result;
    for (const auto& each : shares) {
        for (const auto instances : sizes) {
            result.push_back(
                {.name = "fleet_start_" + std::string{each.name} + "_" + std::to_string(instances),
                 .instances = instances,
                 .restarted_fraction = each.fraction});
        }
    }
    return result;
}

std::vector<figure> simulate_fleet_start(const fleet_start_pattern& pattern,
                                         const fleet_start_features& features, std::uint64_t seed) {
    return fleet_start_experiment{pattern, features, seed}.run();
}

}  // namespace bramleytrack::experiments
