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
constexpr clock::duration fault_after{30'000};
constexpr clock::duration zone_is_out{20'000};
constexpr clock::duration length{110'000};
constexpr clock::duration cold_time{20'000};  // of the models; nobody tells the decisions
constexpr clock::duration report_delay{3'000};
constexpr clock::duration steady_window{1'000};
constexpr clock::duration tick_length{100};
constexpr double opened_per_second = 2'000;
constexpr double mean_life_ms = 7'000;
constexpr double packet_gap_ms = 1'000;  // a caller notices a lost flow within this
constexpr int targets = 14;
constexpr int zones = 3;
constexpr double steady_imbalance = 1.05;

struct model {
    load::target_load load;  // what the owner knows
    int open = 0;            // flows that the target really has
    int life = 0;            // rises with each start
    clock::time_point cold_until;
    bool is_out = false;
};

class cold_experiment {
public:
    cold_experiment(const cold_pattern& pattern, const cold_choice& choice, std::uint64_t seed)
        : pattern_{pattern}, choice_{choice}, random_{seed}, models_(targets) {
        configuration_.zones.push_back({.name = "z"});
        configuration_.services.push_back({.name = "s", .address = "s", .depends_on = {}});
        for (int i = 0; i < targets; ++i) {
            configuration::target added;
            added.name = "t" + std::to_string(i);
            added.zone = "z";
            added.service = "s";
            added.connections = 2'000;
            added.cold_connections = choice.has_ramp ? 200 : added.connections;
            configuration_.targets.push_back(added);
        }
        configuration_.build_indexes();
    }

    std::vector<figure> run() {
        at(start, [this] { arrive(); });
        at(start, [this] { second(); });
        at(start, [this] { tick(); });
        if (pattern_.does_zone_return) {
            at(start + fault_after, [this] { take_zone_out(); });
            at(start + fault_after + zone_is_out, [this] { bring_zone_back(); });
        } else {
            at(start + fault_after, [this] {
                for (int i = 0; i < pattern_.restarted; ++i) {
                    restart(static_cast<std::size_t>(i));
                }
            });
        }
        while (!events_.empty() && events_.top().time < start + length) {
            auto next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        const auto last_fault =
            fault_after + (pattern_.does_zone_return ? zone_is_out : clock::duration{0});
        const auto steady = last_unsteady_ - (start + last_fault);
        return {{"over_cold_bound", static_cast<double>(most_over_)},
                {"most_on_cold", static_cast<double>(most_on_cold_)},
                {"over_limit", static_cast<double>(most_over_limit_)},
                {"steady_after_s", static_cast<double>(steady.count()) / 1'000},
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

    void at(clock::time_point time, std::function<void()> run) {
        events_.push({time, ++sequence_, std::move(run)});
    }

    double exponential(double mean) { return std::exponential_distribution<>{1 / mean}(random_); }
    clock::duration up_to(double milliseconds) {
        return clock::duration{
            std::llround(std::uniform_real_distribution<>{0, milliseconds}(random_))};
    }

    void arrive() {
        next_arrival_ += exponential(1'000 / opened_per_second);
        at(start + clock::duration{std::llround(next_arrival_)}, [this] { arrive(); });
        ++arrived_;
        open();
    }

    // The homes' figures are exact here; what old figures do is placement_experiment's matter.
    void open() {
        const auto found = routing::candidates_of(configuration_, "s", random_());
        std::vector<load::candidate> candidates;
        for (const auto* each : found) {
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
        place(index_of(found[order.front()]));
    }

    std::size_t index_of(const configuration::target* each) const {
        return static_cast<std::size_t>(each - configuration_.targets.data());
    }

    void place(std::size_t index) {
        auto& model = models_[index];
        ++model.load.connections;
        ++model.open;
        if (now_ < model.cold_until) {
            most_on_cold_ = std::max(most_on_cold_, model.open);
            most_over_ = std::max(most_over_, model.open - cold_connections);
        }
        most_over_limit_ =
            std::max(most_over_limit_, model.open - configuration_.targets[index].connections);
        const auto life = clock::duration{std::llround(exponential(mean_life_ms))};
        at(now_ + life, [this, index, of = model.life] {
            auto& ended = models_[index];
            if (ended.life == of) {
                --ended.open;
                --ended.load.connections;
            }
        });
    }

    // The target forgets its flows; their callers notice with their next packets and open new ones.
    void restart(std::size_t index) {
        auto& model = models_[index];
        ++model.life;
        model.cold_until = now_ + cold_time;
        const int lost = std::exchange(model.open, 0);
        for (int i = 0; i < lost; ++i) {
            const auto reopening = up_to(packet_gap_ms);
            at(now_ + reopening, [this, index] {
                auto& known = models_[index];
                --known.load.connections;
                if (choice_.uses_own_observation) {
                    known.load.cold.on_lost_flow(now_);
                }
                open();
            });
        }
    }

    void take_zone_out() {
        for (std::size_t i = 0; i < models_.size(); i += zones) {
            auto& model = models_[i];
            model.is_out = true;
            ++model.life;
            model.load.connections = 0;
            const int lost = std::exchange(model.open, 0);
            for (int flow = 0; flow < lost; ++flow) {
                at(now_ + up_to(packet_gap_ms), [this] { open(); });
            }
        }
    }

    void bring_zone_back() {
        for (std::size_t i = 0; i < models_.size(); i += zones) {
            models_[i].is_out = false;
            models_[i].cold_until = now_ + cold_time;
        }
    }

    void tick() {
        at(now_ + tick_length, [this] { tick(); });
        for (auto& model : models_) {
            if (model.is_out && choice_.uses_own_observation) {
                model.load.cold.on_out_of_service(now_);
            }
        }
    }

    // Each second: reports, and how even the load is.
    void second() {
        at(now_ + steady_window, [this] { second(); });
        int most = 0;
        int sum = 0;
        for (auto& model : models_) {
            const auto shown = now_ - report_delay;
            const bool was_cold = shown < model.cold_until && shown >= model.cold_until - cold_time;
            model.load.cold.on_report(was_cold && pattern_.reports == reporting::late, now_);
            most = std::max(most, model.open);
            sum += model.open;
        }
        if (most * targets > sum * steady_imbalance) {
            last_unsteady_ = now_;
        }
    }

    static constexpr int cold_connections = 200;

    const cold_pattern& pattern_;
    const cold_choice& choice_;
    std::mt19937_64 random_;
    configuration::configuration configuration_;
    std::vector<model> models_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t sequence_ = 0;
    clock::time_point now_ = start;
    double next_arrival_ = 0;  // milliseconds from the start
    std::int64_t arrived_ = 0;
    std::int64_t refused_ = 0;
    int most_over_ = 0;
    int most_on_cold_ = 0;
    int most_over_limit_ = 0;
    clock::time_point last_unsteady_ = start;
};

}  // namespace

std::vector<cold_pattern> all_cold_patterns() {
    return {{.name = "cold_restart",
             .plays = "one target starts again without warning, reports come 3 s late"},
            {.name = "cold_lying_report",
             .plays = "one target starts again, its report says that it is warm",
             .reports = reporting::misled},
            {.name = "cold_fleet",
             .plays = "5 of 14 targets start again at once, reports come 3 s late",
             .restarted = 5},
            {.name = "zone_returns",
             .plays = "a zone of three leaves at peak and returns cold after 20 s",
             .does_zone_return = true},
            {.name = "zone_returns_lying_report",
             .plays = "the same, and reports say that its targets are warm",
             .does_zone_return = true,
             .reports = reporting::misled}};
}

std::vector<figure> play_cold(const cold_pattern& pattern, const cold_choice& choice,
                              std::uint64_t seed) {
    return cold_experiment{pattern, choice, seed}.run();
}

}  // namespace bramleytrack::experiments
