#include "load/service_time.h"

#include <algorithm>
#include <cmath>

namespace bramleytrack::load {
namespace {

constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double upper_deviations = 3;
// The clock counts whole milliseconds: a shorter time is recorded as this.
constexpr double min_service_time = 0.5;
// Member names come from callers: their number must not let the table grow without bound.
constexpr std::size_t max_members = 256;
constexpr clock::duration probe_interval{1'000};

}  // namespace

void service_time::record(double milliseconds, clock::time_point now) {
    const double observed = std::max(milliseconds, min_service_time);
    if (!has_estimate()) {
        mean = observed;
        deviation = observed / 2;
    } else {
        deviation += deviation_weight * (std::abs(observed - mean) - deviation);
        mean += mean_weight * (observed - mean);
    }
    last_observed_at = now;
}

double service_time::upper_bound() const {
    return mean + upper_deviations * deviation;
}

void service_times::record(std::string_view member, work_class kind, clock::duration elapsed,
                           clock::time_point now) {
    const auto milliseconds = static_cast<double>(elapsed.count());
    target_estimate_.record(milliseconds, now);
    by_class_.at(kind).record(milliseconds, now);
    auto found = by_member_.find(member);
    if (found == by_member_.end()) {
        if (by_member_.size() >= max_members) {
            return;
        }
        found = by_member_.try_emplace(std::string{member}).first;
    }
    found->second.at(kind).record(milliseconds, now);
}

const service_time* service_times::find_estimate(std::string_view member, work_class kind) const {
    const auto found = by_member_.find(member);
    if (found != by_member_.end() && found->second.at(kind).has_estimate()) {
        return &found->second.at(kind);
    }
    return by_class_.at(kind).has_estimate() ? &by_class_.at(kind) : nullptr;
}

const service_time& service_times::of(std::string_view member, work_class kind) const {
    const auto* estimate = find_estimate(member, kind);
    return estimate == nullptr ? target_estimate_ : *estimate;
}

bool service_times::take_probe(std::string_view member, work_class kind, clock::time_point now) {
    if (now - std::max(of(member, kind).last_observed_at, last_probe_) < probe_interval) {
        return false;
    }
    last_probe_ = now;
    return true;
}

}  // namespace bramleytrack::load
