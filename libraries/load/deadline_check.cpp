#include "load/deadline_check.h"

#include <algorithm>
#include <cmath>

#include "load/admission.h"

namespace bramleytrack::load {
namespace {

// Each round closes most of the gap to the fixed point: with others at 0.6 of the slots, 0.6 to the
// power of six leaves 5% of it.
constexpr int rounds_of_prediction = 6;
// Others may ask for more than they did lately, and what waited in vain is refused late; a larger
// margin turns away what would have fitted.
constexpr double wait_margin = 1.65;

// Slots that an earlier owner may have filled are usually known to be free so soon: reports of the
// target end the assumption, see requests::target_owner.
constexpr clock::duration end_of_assumption{1'000};

clock::duration to_duration(double milliseconds) {
    return clock::duration{static_cast<clock::rep>(std::ceil(milliseconds))};
}

// Service time that running requests still need, by their estimates.
double work_running(const target_load& load, clock::time_point now) {
    double sum = 0;
    for (const auto& [id, each] : load.running) {
        sum += std::max(0.0, each.cost - static_cast<double>((now - each.since).count()));
    }
    return sum;
}

// Slots that serve the queue, and when they begin to.
struct capacity {
    double slots;
    clock::duration delay;
};

capacity capacity_of(const configuration::target& target, const target_load& load,
                     clock::time_point now) {
    const int bound = slot_bound(target, load, now);
    if (bound > 0) {
        return {.slots = static_cast<double>(bound), .delay = clock::duration{0}};
    }
    return {.slots = static_cast<double>(std::max(1, target.slots)),
            .delay = std::clamp(load.assumed_until - now, clock::duration{0}, end_of_assumption)};
}

}  // namespace

clock::time_point end_if_dispatched(const target_load& load, const work& wanted,
                                    clock::time_point now) {
    return now + to_duration(load.times.of(wanted.member, wanted.kind).mean);
}

clock::time_point latest_end(const target_load& load, const work& waiting, clock::time_point now) {
    return now + to_duration(load.times.of(waiting.member, waiting.kind).upper());
}

clock::time_point end_if_queued(const configuration::target& target, const target_load& load,
                                const work& wanted, clock::time_point now) {
    const auto& time = load.times.of(wanted.member, wanted.kind);
    const auto available = capacity_of(target, load, now);
    const double own =
        load.queue.own_work_until_end(wanted.member, wanted.kind, time.mean) - time.mean;
    // What others ask for until then depends on the wait, which depends on what they ask for.
    double wait = 0;
    for (int round = 0; round < rounds_of_prediction; ++round) {
        double ahead = work_running(load, now) + own;
        load.asked.each_rate(now, [&](std::string_view other, double rate) {
            if (other != wanted.member) {
                ahead +=
                    load.queue.work_ahead_of(wanted.member, own + time.mean, other, rate * wait);
            }
        });
        wait = ahead / available.slots;
    }
    return now + available.delay + to_duration(wait_margin * wait + time.upper());
}

clock::duration retry_after_of_rejected(const configuration::target& target, target_load& load,
                                        const work& refused, clock::time_point now) {
    const auto available = capacity_of(target, load, now);
    const double cost = load.times.of(refused.member, refused.kind).mean;
    const double waiting = work_running(load, now) + load.queue.cost();
    const auto members =
        static_cast<double>(std::max<std::size_t>(1, load.queue.waiting_members()));
    return load.retry_after.promise(refused,
                                    available.delay + to_duration(waiting / available.slots),
                                    to_duration(cost * members / available.slots), now);
}

}  // namespace bramleytrack::load
