#include "cold_experiment.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

#include "load/admission.h"
#include "load/placement.h"
#include "routing/candidates.h"

namespace bramleytrack::experiments {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration fault_time{30'000};
constexpr clock::duration zone_outage{20'000};
constexpr clock::duration run_length{110'000};
// How long a target model stays cold. Not visible to the decisions.
constexpr clock::duration cold_duration{20'000};
constexpr clock::duration report_delay{3'000};
constexpr clock::duration steady_window{1'000};
constexpr clock::duration tick_length{100};
constexpr double flows_per_second = 2'000;
constexpr double mean_lifetime_ms = 7'000;
constexpr double max_packet_gap_ms = 1'000;  // a caller detects a lost flow within this time
constexpr int targets = 14;
constexpr int zones = 3;
constexpr double max_steady_imbalance = 1.05;

struct target_model {
    load::target_load load;  // the owner's view
    int open_flows = 0;      // flows actually open at the target
    int generation = 0;      // incremented at each restart
    clock::time_point cold_until;
    bool is_out = false;
};

class cold_experiment {
public:
    cold_experiment(const cold_start_pattern& pattern, const cold_start_features& features,
                    std::uint64_t seed)
        : pattern_{pattern}, features_{features}, random_{seed}, models_(targets) {
        configuration_.zones.push_back({.name = "z"});
        configuration_.services.push_back({.name = "s", .address = "s", .depends_on = {}});
        for (int i = 0; i < targets; ++i) {
            configuration::target added;
            added.name = "t" + std::to_string(i);
            added.zone = "z";
            added.service = "s";
            added.connections = 2'000;
            added.cold_connections = features.has_ramp ? 200 : added.connections;
            configuration_.targets.push_back(added);
        }
        configuration_.build_indexes();
    }

    std::vector<figure> run() {
        schedule(start, [this] { on_arrival(); });
        schedule(start, [this] { on_second(); });
        schedule(start, [this] { on_tick(); });
        if (pattern_.has_zone_outage) {
            schedule(start + fault_time, [this] { take_zone_out(); });
            schedule(start + fault_time + zone_outage, [this] { bring_zone_back(); });
        } else {
            schedule(start + fault_time, [this] {
                for (int i = 0; i < pattern_.restarted_targets; ++i) {
                    restart(static_cast<std::size_t>(i));
                }
            });
        }
        while (!events_.empty() && events_.top().time < start + run_length) {
            auto next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        const auto fault_end =
            fault_time + (pattern_.has_zone_outage ? zone_outage : clock::duration{0});
        const auto time_to_steady = last_unsteady_ - (start + fault_end);
        return {{"over_cold_bound", static_cast<double>(max_over_cold_bound_)},
                {"most_on_cold", static_cast<double>(max_on_cold_)},
                {"over_limit", static_cast<double>(max_over_limit_)},
                {"steady_after_s", static_cast<double>(time_to_steady.count()) / 1'000},
                {"refused", static_cast<double>(refused_) / static_cast<double>(arrived_)}};
    }

private:
    struct event {
        clock::time_point time;
        std::int64_t sequence;
        std::function<void()> run;
        bool operator>(const event& other) const {
            return std::pair{time, sequence} > std::pair{other.time, other.sequence};
        }
    };

    void schedule(clock::time_point time, std::function<void()> run) {
        events_.push({time, ++sequence_, std::move(run)});
    }

    double exponential(double mean) { return std::exponential_distribution<>{1 / mean}(random_); }
    clock::duration uniform_duration(double milliseconds) {
        return clock::duration{
            std::llround(std::uniform_real_distribution<>{0, milliseconds}(random_))};
    }

    void on_arrival() {
        next_arrival_ += exponential(1'000 / flows_per_second);
        schedule(start + clock::duration{std::llround(next_arrival_)}, [this] { on_arrival(); });
        ++arrived_;
        open_flow();
    }

    // Owners' load figures are exact here; placement_experiment measures the effect of stale ones.
    void open_flow() {
        const auto candidates_by_hash = routing::candidates_of(configuration_, "s", random_());
        std::vector<load::candidate> candidates;
        for (const auto* each : candidates_by_hash) {
            const auto& model = models_[index_of(each)];
            candidates.push_back(
                {.is_eligible = !model.is_out && load::admits_flow(*each, model.load, now_),
                 .relative_load = model.load.connections / each->weight});
        }
        const auto order = load::order_candidates(candidates);
        if (order.empty()) {
            ++refused_;
            return;
        }
        place(index_of(candidates_by_hash[order.front()]));
    }

    std::size_t index_of(const configuration::target* each) const {
        return static_cast<std::size_t>(each - configuration_.targets.data());
    }

    void place(std::size_t index) {
        auto& model = models_[index];
        ++model.load.connections;
        ++model.open_flows;
        if (now_ < model.cold_until) {
            max_on_cold_ = std::max(max_on_cold_, model.open_flows);
            max_over_cold_bound_ =
                std::max(max_over_cold_bound_, model.open_flows - cold_connections);
        }
        max_over_limit_ =
            std::max(max_over_limit_, model.open_flows - configuration_.targets[index].connections);
        const auto lifetime = clock::duration{std::llround(exponential(mean_lifetime_ms))};
        schedule(now_ + lifetime, [this, index, generation = model.generation] {
            auto& target = models_[index];
            if (target.generation == generation) {
                --target.open_flows;
                --target.load.connections;
            }
        });
    }

    // The target loses its flows. Their callers detect this with their next packet and open new
    // flows.
    void restart(std::size_t index) {
        auto& model = models_[index];
        ++model.generation;
        model.cold_until = now_ + cold_duration;
        const int lost = std::exchange(model.open_flows, 0);
        for (int i = 0; i < lost; ++i) {
            const auto reopening = uniform_duration(max_packet_gap_ms);
            schedule(now_ + reopening, [this, index] {
                auto& target = models_[index];
                --target.load.connections;
                if (features_.uses_own_observation) {
                    target.load.cold.on_lost_flow(now_);
                }
                open_flow();
            });
        }
    }

    void take_zone_out() {
        for (std::size_t i = 0; i < models_.size(); i += zones) {
            auto& model = models_[i];
            model.is_out = true;
            ++model.generation;
            model.load.connections = 0;
            const int lost = std::exchange(model.open_flows, 0);
            for (int flow = 0; flow < lost; ++flow) {
                schedule(now_ + uniform_duration(max_packet_gap_ms), [this] { open_flow(); });
            }
        }
    }

    void bring_zone_back() {
        for (std::size_t i = 0; i < models_.size(); i += zones) {
            models_[i].is_out = false;
            models_[i].cold_until = now_ + cold_duration;
        }
    }

    void on_tick() {
        schedule(now_ + tick_length, [this] { on_tick(); });
        for (auto& model : models_) {
            if (model.is_out && features_.uses_own_observation) {
                model.load.cold.on_out_of_service(now_);
            }
        }
    }

    // Delivers the targets' reports and checks the load imbalance, once a second.
    void on_second() {
        schedule(now_ + steady_window, [this] { on_second(); });
        int max_open = 0;
        int total_open = 0;
        for (auto& model : models_) {
            const auto reported_time = now_ - report_delay;
            const bool was_cold = reported_time < model.cold_until &&
                                  reported_time >= model.cold_until - cold_duration;
            model.load.cold.on_report(was_cold && pattern_.reports == reporting::delayed, now_);
            max_open = std::max(max_open, model.open_flows);
            total_open += model.open_flows;
        }
        if (max_open * targets > total_open * max_steady_imbalance) {
            last_unsteady_ = now_;
        }
    }

    static constexpr int cold_connections = 200;

    const cold_start_pattern& pattern_;
    const cold_start_features& features_;
    std::mt19937_64 random_;
    configuration::configuration configuration_;
    std::vector<target_model> models_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t sequence_ = 0;
    clock::time_point now_ = start;
    double next_arrival_ = 0;  // milliseconds from the start
    std::int64_t arrived_ = 0;
    std::int64_t refused_ = 0;
    int max_over_cold_bound_ = 0;
    int max_on_cold_ = 0;
    int max_over_limit_ = 0;
    clock::time_point last_unsteady_ = start;
};

}  // namespace

std::vector<cold_start_pattern> all_cold_start_patterns() {
    return {{.name = "cold_restart",
             .description = "one target starts again without warning, reports come 3 s late"},
            {.name = "cold_lying_report",
             .description = "one target starts again, its report says that it is warm",
             .reports = reporting::always_warm},
            {.name = "cold_fleet",
             .description = "5 of 14 targets start again at once, reports come 3 s late",
             .restarted_targets = 5},
            {.name = "zone_returns",
             .description = "a zone of three leaves at peak and returns cold after 20 s",
             .has_zone_outage = true},
            {.name = "zone_returns_lying_report",
             .description = "the same, and reports say that its targets are warm",
             .has_zone_outage = true,
             .reports = reporting::always_warm}};
}

std::vector<figure> simulate_cold_start(const cold_start_pattern& pattern,
                                        const cold_start_features& features, std::uint64_t seed) {
    return cold_experiment{pattern, features, seed}.run();
}

}  // namespace bramleytrack::experiments
