#include "steering/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace bramleytrack::steering {
namespace {

// Less than a flow in some seconds has no meaning beside the probes.
constexpr double lowest = 0.02;

}  // namespace

double capacity::fair_share() const {
    return static_cast<double>(std::max(1, slots)) / std::max(1, instances);
}

double concurrency_limit::value(const capacity& target) const {
    const double highest = highest_by_slot * std::max(1, target.slots);
    return value_ > 0 ? std::min(value_, highest) : highest;
}

void concurrency_limit::on_answer(clock::duration took, clock::duration objective, int open,
                                  const capacity& target) {
    const double current = value(target);
    if (static_cast<double>(took.count()) > goal * static_cast<double>(objective.count())) {
        value_ = std::max(lowest, std::min(current, open + 1.0) * fall);
        return;
    }
    // Answers of a target that isn't at its limit say nothing of what it bears beyond.
    if (open + 1.0 >= current) {
        value_ = current + rise;
    }
}

bool concurrency_limit::has_room(const target_use& use, const capacity& target, double share,
                                 clock::time_point now) const {
    const double current = value(target) * share;
    if (use.open + 1 <= current) {
        return true;
    }
    if (use.open >= 1) {
        return false;
    }
    // Failure: a service whose work takes longer than its objective, or whose targets are all slow,
    // has only late answers, and a limit that falls without end would refuse callers while slots
    // are idle. Each instance may use its share of idle slots: together they fill the slots and no
    // queue.
    const bool has_idle_slot = use.open + use.elsewhere < target.slots;
    const double rate = std::max(current, has_idle_slot ? target.fair_share() : 0.0);
    const clock::duration spacing{std::llround(use.answer_ms / rate)};
    // Each flow that is let in goes on sending, so probes of all instances together are kept rare.
    return now - use.opened_at >= std::min(probe_interval * target.instances, spacing);
}

}  // namespace bramleytrack::steering
