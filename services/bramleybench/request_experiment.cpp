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
// An owner gives a request up so long after its deadline; see records::deadline_grace.
constexpr clock::duration give_up{250};
constexpr double spread = 0.5;  // sigma of the lognormal service time
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
    int rounds = 0;
};

enum class event_kind { arrival, repeat, end, tick };

struct event {
    clock::time_point at;
    std::int64_t sequence = 0;
    event_kind kind = event_kind::tick;
    std::size_t subject = 0;  // a member or a request

    bool operator>(const event& other) const {
        return std::pair{at, sequence} > std::pair{other.at, other.sequence};
    }
};

struct model_target {
    configuration::target limits;
    load::target_load load;
    int running = 0;
};

class experiment {
public:
    experiment(const scenario& pattern, const load::strategies& how, std::uint64_t seed)
        : pattern_{pattern}, random_{seed} {
        for (int i = 0; i < pattern.targets; ++i) {
            auto& added = targets_.emplace_back();
            added.limits.slots = pattern.slots;
            added.load.strategy = &how;
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
        const auto last = start + pattern_.length;
        while (!events_.empty() && events_.top().at < last + pattern_.deadline + give_up) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return std::move(result_);
    }

private:
    void schedule(clock::time_point at, event_kind kind, std::size_t subject) {
        events_.push({at, ++sequence_, kind, subject});
    }

    double mean_service(const member_pattern& member) const {
        return pattern_.service_ms * (1 + member.long_share * (pattern_.long_factor - 1));
    }

    void schedule_arrival(std::size_t member) {
        const auto& of = pattern_.members[member];
        const double rate = of.load * pattern_.targets * pattern_.slots / mean_service(of);
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
                schedule_arrival(next.subject);
                arrive(next.subject);
                return;
            case event_kind::repeat:
                come_back(next.subject);
                return;
            case event_kind::end:
                end(next.subject);
                return;
            case event_kind::tick:
                schedule(now_ + tick_length, event_kind::tick, 0);
                for (std::size_t i = 0; i < targets_.size(); ++i) {
                    fill(i);
                }
                return;
        }
    }

    void arrive(std::size_t member) {
        const auto& of = pattern_.members[member];
        model_request made;
        made.member = member;
        const auto caller =
            of.callers > 0 ? random_() % static_cast<unsigned>(of.callers) : random_();
        made.target = caller % targets_.size();
        made.id = {.flow = caller, .number = static_cast<std::int64_t>(requests_.size())};
        made.is_long = std::bernoulli_distribution{of.long_share}(random_);
        const double mean = pattern_.service_ms * (made.is_long ? pattern_.long_factor : 1);
        const double location = std::log(mean) - spread * spread / 2;
        made.service = std::lognormal_distribution<>{location, spread}(random_);
        made.sent = now_;
        made.deadline = now_ + pattern_.deadline;
        auto& counted = result_.members[std::string{of.name}];
        ++counted.offered;
        counted.demand += made.service;
        requests_.push_back(made);
        offer(requests_.size() - 1);
    }

    void come_back(std::size_t index) {
        auto& subject = requests_[index];
        subject.sent = now_;
        subject.deadline = now_ + pattern_.deadline;
        const auto window = (now_ - start) / clock::duration{100};
        result_.back_at_once = std::max(result_.back_at_once, ++back_[window]);
        offer(index);
    }

    load::work work_of(const model_request& subject) const {
        const auto& load = targets_[subject.target].load;
        return {
            .id = subject.id,
            .member = pattern_.members[subject.member].name,
            .kind = load.strategy->class_of(true, subject.is_long ? long_payload : short_payload),
            .deadline = subject.deadline};
    }

    void offer(std::size_t index) {
        const auto& subject = requests_[index];
        auto& target = targets_[subject.target];
        const auto decision =
            load::admit_request(target.limits, target.load, work_of(subject), now_);
        if (std::holds_alternative<load::run_now>(decision)) {
            dispatch(index);
        } else if (const auto* refused = std::get_if<load::refusal>(&decision)) {
            refuse(*refused);
        } else if (const auto& left = std::get<load::wait_for_slot>(decision).evicted) {
            refuse(*left);
        }
    }

    member_result& result_of(const model_request& subject) {
        return result_.members[std::string{pattern_.members[subject.member].name}];
    }

    void refuse(const load::refusal& refused) {
        const auto index = static_cast<std::size_t>(refused.id.number);
        auto& subject = requests_[index];
        result_.refusal_delays.push_back(static_cast<int>((now_ - subject.sent).count()));
        if (subject.rounds++ < pattern_.repeats) {
            schedule(now_ + refused.retry_after, event_kind::repeat, index);
            return;
        }
        ++result_of(subject).refused;
    }

    void dispatch(std::size_t index) {
        const auto& subject = requests_[index];
        auto& target = targets_[subject.target];
        ++target.load.slots_in_use;
        load::record_dispatch(target.load, work_of(subject), now_);
        auto& counted = result_of(subject);
        const auto wait = static_cast<int>((now_ - subject.sent).count());
        counted.waits.push_back(wait);
        if (!subject.is_long) {
            counted.short_waits.push_back(wait);
        }
        result_.most_in_use = std::max(result_.most_in_use, ++target.running);
        const auto end_at = now_ + service_of(subject);
        schedule(end_at <= subject.deadline ? end_at : subject.deadline + give_up, event_kind::end,
                 index);
    }

    clock::duration service_of(const model_request& subject) const {
        const bool is_slow = subject.target == 0 && now_ >= start + pattern_.length / 2;
        return clock::duration{
            std::llround(subject.service * (is_slow ? pattern_.slow_factor : 1))};
    }

    void end(std::size_t index) {
        const auto& subject = requests_[index];
        auto& target = targets_[subject.target];
        --target.running;
        --target.load.slots_in_use;
        const bool is_in_time = now_ <= subject.deadline;
        load::record_end(target.load, subject.id,
                         is_in_time ? load::run_outcome::answered : load::run_outcome::timed_out,
                         now_);
        auto& counted = result_of(subject);
        if (is_in_time) {
            ++counted.answered;
            counted.done += now_ < start + pattern_.length ? subject.service : 0;
            result_.rounds.push_back(subject.rounds);
        } else {
            ++counted.unknown;
        }
        fill(subject.target);
    }

    void fill(std::size_t index) {
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
    std::vector<model_request> requests_;  // the request number is the index
    std::vector<double> next_arrival_;
    std::map<std::int64_t, int> back_;  // callers that came back, by 100 ms
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t sequence_ = 0;
    clock::time_point now_ = start;
    request_result result_;
};

}  // namespace

request_result play(const scenario& pattern, const load::strategies& how, std::uint64_t seed) {
    return experiment{pattern, how, seed}.run();
}

}  // namespace bramleytrack::experiments
