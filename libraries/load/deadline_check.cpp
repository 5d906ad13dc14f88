#include "load/deadline_check.h"

#include <algorithm>
#include <cmath>

#include "load/admission.h"

namespace bramleytrack::load {
namespace {

// Each round closes most of the gap to the fixed point: if the other members use 0.6 of the slots,
// 0.6 to the power of six leaves 5% of it.
constexpr int prediction_rounds = 6;
// The demand of other members may rise above its recent rate, and a request that then misses its
// deadline in the queue is refused late; a larger margin refuses requests that would have ended in
// time.
constexpr double wait_margin = 1.65;

// Slots that an earlier owner may have filled are usually confirmed free within this time: reports
// of the target end the assumption, see requests::target_owner.
constexpr clock::duration max_assumption_delay{1'000};

clock::duration to_duration(double milliseconds) {
    return clock::duration{static_cast<clock::rep>(std::ceil(milliseconds))};
}

// Estimated service time that the running requests still need, milliseconds.
double remaining_running_work(const target_load& load, clock::time_point now) {
    double sum = 0;
    for (const auto& [id, each] : load.running) {
        sum += std::max(0.0, each.cost - static_cast<double>((now - each.dispatched_at).count()));
    }
    return sum;
}

// Number of slots that serve the queue, and the delay until they do.
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
    return {
        .slots = static_cast<double>(std::max(1, target.slots)),
        .delay = std::clamp(load.assumed_until - now, clock::duration{0}, max_assumption_delay)};
}

}  // namespace

clock::time_point end_if_dispatched(const target_load& load, const work& request,
                                    clock::time_point now) {
    return now + to_duration(load.times.of(request.member, request.kind).mean);
}

clock::time_point latest_end(const target_load& load, const work& waiting, clock::time_point now) {
    return now + to_duration(load.times.of(waiting.member, waiting.kind).upper_bound());
}

clock::time_point end_if_queued(const configuration::target& target, const target_load& load,
                                const work& request, clock::time_point now) {
    const auto& time = load.times.of(request.member, request.kind);
    const auto available = capacity_of(target, load, now);
    const double own_work =
        load.queue.member_work_until_completion(request.member, request.kind, time.mean) -
        time.mean;
    // The work that other members add until then depends on the wait, which depends on that work: a
    // fixed-point iteration.
    double wait = 0;
    for (int round = 0; round < prediction_rounds; ++round) {
        double work_ahead = remaining_running_work(load, now) + own_work;
        load.member_demand.for_each_rate(now, [&](std::string_view other, double rate) {
            if (other != request.member) {
                work_ahead += load.queue.other_member_work_ahead(
                    request.member, own_work + time.mean, other, rate * wait);
            }
        });
        wait = work_ahead / available.slots;
    }
    return now + available.delay + to_duration(wait_margin * wait + time.upper_bound());
}

clock::duration retry_after_of_refused(const configuration::target& target, target_load& load,
                                       const work& refused, clock::time_point now) {
    const auto available = capacity_of(target, load, now);
    const double cost = load.times.of(refused.member, refused.kind).mean;
    const double waiting = remaining_running_work(load, now) + load.queue.cost();
    const auto members =
        static_cast<double>(std::max<std::size_t>(1, load.queue.waiting_members()));
    return load.retry_after.assign(refused,
                                   available.delay + to_duration(waiting / available.slots),
                                   to_duration(cost * members / available.slots), now);
}

}  // namespace bramleytrack::load
