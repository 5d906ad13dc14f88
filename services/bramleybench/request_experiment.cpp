#include "request_experiment.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

#include "load/admission.h"

namespace bramleytrack::experiments {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration tick_length{100};
// Time after its deadline at which an owner abandons a request; see records::deadline_grace.
constexpr clock::duration deadline_grace{250};
constexpr double sigma = 0.5;  // of the lognormal service time
constexpr std::size_t short_payload = 100;
constexpr std::size_t long_payload = 2'000;

struct model_request {
    std::size_t member = 0;
    std::size_t target = 0;
    records::request_id id;
    bool is_long = false;
    double service = 0;
    clock::time_point sent;
    clock::time_point deadline;
    int refusals = 0;
};

enum class event_kind { arrival, retry, end, tick };

struct event {
    clock::time_point at;
    std::int64_t sequence = 0;
    event_kind kind = event_kind::tick;
    std::size_t index = 0;  // of a member for arrival, of a request for retry and end

    bool operator>(const event& other) const {
        return std::pair{at, sequence} > std::pair{other.at, other.sequence};
    }
};

struct model_target {
    configuration::target limits;
    load::target_load load;
    int running = 0;
};

class request_experiment {
public:
    request_experiment(const scenario& pattern, const load::strategies& strategies,
                       std::uint64_t seed)
        : pattern_{pattern}, random_{seed} {
        for (int i = 0; i < pattern.targets; ++i) {
            auto& added = targets_.emplace_back();
            added.limits.slots = pattern.slots;
            added.load.strategy = &strategies;
        }
        result_.capacity = static_cast<double>(pattern.targets * pattern.slots) *
                           static_cast<double>(pattern.length.count());
        for (std::size_t i = 0; i < pattern.members.size(); ++i) {
            next_arrival_.push_back(static_cast<double>(to_milliseconds(start)));
            schedule_arrival(i);
        }
        schedule(start + tick_length, event_kind::tick, 0);
    }

    request_result run() {
        const auto arrivals_end = start + pattern_.length;
        while (!events_.empty() &&
               events_.top().at < arrivals_end + pattern_.deadline + deadline_grace) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return std::move(result_);
    }

private:
    void schedule(clock::time_point at, event_kind kind, std::size_t index) {
        events_.push({at, ++sequence_, kind, index});
    }

    double mean_service(const member_pattern& member) const {
        return pattern_.service_ms * (1 + member.long_share * (pattern_.long_factor - 1));
    }

    void schedule_arrival(std::size_t member) {
        const auto& pattern = pattern_.members[member];
        const double rate =
            pattern.load * pattern_.targets * pattern_.slots / mean_service(pattern);
        next_arrival_[member] += std::exponential_distribution<>{rate}(random_);
        const auto at = to_time_point(static_cast<std::int64_t>(next_arrival_[member]));
        const auto length = pattern_.burst.count() > 0 ? pattern_.burst : pattern_.length;
        if (at < start + length) {
            schedule(at, event_kind::arrival, member);
        }
    }

    void handle(const event& next) {
        switch (next.kind) {
            case event_kind::arrival:
                schedule_arrival(next.index);
                create_request(next.index);
                return;
            case event_kind::retry:
                retry(next.index);
                return;
            case event_kind::end:
                finish_request(next.index);
                return;
            case event_kind::tick:
                schedule(now_ + tick_length, event_kind::tick, 0);
                for (std::size_t i = 0; i < targets_.size(); ++i) {
                    dispatch_queued(i);
                }
                return;
        }
    }

    void create_request(std::size_t member) {
        const auto& pattern = pattern_.members[member];
        model_request request;
        request.member = member;
        const auto caller =
            pattern.callers > 0 ? random_() % static_cast<unsigned>(pattern.callers) : random_();
        request.target = caller % targets_.size();
        request.id = {.flow = caller, .number = static_cast<std::int64_t>(requests_.size())};
        request.is_long = std::bernoulli_distribution{pattern.long_share}(random_);
        const double mean = pattern_.service_ms * (request.is_long ? pattern_.long_factor : 1);
        const double mu = std::log(mean) - sigma * sigma / 2;
        request.service = std::lognormal_distribution<>{mu, sigma}(random_);
        request.sent = now_;
        request.deadline = now_ + pattern_.deadline;
        auto& counters = result_.members[std::string{pattern.name}];
        ++counters.offered;
        counters.demand += request.service;
        requests_.push_back(request);
        offer(requests_.size() - 1);
    }

    void retry(std::size_t index) {
        auto& request = requests_[index];
        request.sent = now_;
        request.deadline = now_ + pattern_.deadline;
        const auto window = (now_ - start) / clock::duration{100};
        result_.max_simultaneous_retries =
            std::max(result_.max_simultaneous_retries, ++retries_by_window_[window]);
        offer(index);
    }

    load::work work_of(const model_request& request) const {
        const auto& load = targets_[request.target].load;
        return {
            .id = request.id,
            .member = pattern_.members[request.member].name,
            .kind = load.strategy->class_of(true, request.is_long ? long_payload : short_payload),
            .deadline = request.deadline};
    }

    void offer(std::size_t index) {
        const auto& request = requests_[index];
        auto& target = targets_[request.target];
        const auto decision =
            load::admit_request(target.limits, target.load, work_of(request), now_);
        if (std::holds_alternative<load::run_now>(decision)) {
            dispatch(index);
        } else if (const auto* refused = std::get_if<load::refusal>(&decision)) {
            refuse(*refused);
        } else if (const auto& evicted = std::get<load::wait_for_slot>(decision).evicted) {
            refuse(*evicted);
        }
    }

    member_result& result_of(const model_request& request) {
        return result_.members[std::string{pattern_.members[request.member].name}];
    }

    void refuse(const load::refusal& refused) {
        const auto index = static_cast<std::size_t>(refused.id.number);
        auto& request = requests_[index];
        result_.refusal_delays.push_back(static_cast<int>((now_ - request.sent).count()));
        if (request.refusals++ < pattern_.max_retries) {
            schedule(now_ + refused.retry_after, event_kind::retry, index);
            return;
        }
        ++result_of(request).refused;
    }

    void dispatch(std::size_t index) {
        const auto& request = requests_[index];
        auto& target = targets_[request.target];
        ++target.load.slots_in_use;
        load::record_dispatch(target.load, work_of(request), now_);
        auto& counters = result_of(request);
        const auto wait = static_cast<int>((now_ - request.sent).count());
        counters.waits.push_back(wait);
        if (!request.is_long) {
            counters.short_waits.push_back(wait);
        }
        result_.max_in_use = std::max(result_.max_in_use, ++target.running);
        const auto end_at = now_ + service_of(request);
        schedule(end_at <= request.deadline ? end_at : request.deadline + deadline_grace,
                 event_kind::end, index);
    }

    clock::duration service_of(const model_request& request) const {
        const bool is_slow = request.target == 0 && now_ >= start + pattern_.length / 2;
        return clock::duration{
            std::llround(request.service * (is_slow ? pattern_.slow_factor : 1))};
    }

    void finish_request(std::size_t index) {
        const auto& request = requests_[index];
        auto& target = targets_[request.target];
        --target.running;
        --target.load.slots_in_use;
        const bool is_in_time = now_ <= request.deadline;
        load::record_end(target.load, request.id,
                         is_in_time ? load::run_outcome::answered : load::run_outcome::timed_out,
                         now_);
        auto& counters = result_of(request);
        if (is_in_time) {
            ++counters.answered;
            counters.completed += now_ < start + pattern_.length ? request.service : 0;
            result_.refusals.push_back(request.refusals);
        } else {
            ++counters.unknown;
        }
        dispatch_queued(request.target);
    }

    void dispatch_queued(std::size_t index) {
        auto& target = targets_[index];
        for (const auto& refused : load::take_infeasible(target.limits, target.load, now_)) {
            refuse(refused);
        }
        while (const auto next = load::take_next(target.limits, target.load, now_)) {
            dispatch(static_cast<std::size_t>(next->number));
        }
    }

    const scenario& pattern_;
    std::mt19937_64 random_;
    std::vector<model_target> targets_;
    std::vector<model_request> requests_;  // by request number
    std::vector<double> next_arrival_;
    std::map<std::int64_t, int> retries_by_window_;  // key: number of the 100 ms window
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t sequence_ = 0;
    clock::time_point now_ = start;
    request_result result_;
};

}  // namespace

request_result simulate_requests(const scenario& pattern, const load::strategies& strategies,
                                 std::uint64_t seed) {
    return request_experiment{pattern, strategies, seed}.run();
}

}  // namespace bramleytrack::experiments
