#include "steering/target_speeds.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

// Of the exponential average: enough to smooth requests of different lengths.
constexpr double max_average_weight = 8;
// An answer that comes much too early (a request with hardly any work) doesn't outweigh late ones,
// and one within the clock's millisecond isn't infinitely early.
constexpr double max_sample = 4;
// Capacity is multiplied by the speed: a target never drops to zero, which would also stop the
// answers that show its recovery.
constexpr double min_speed = 0.05;
// The median of two is no better a measure than either of them.
constexpr std::size_t min_measured_targets = 3;
// After this many half-lives a sixteenth of the weight is left, and the evidence is dropped. It
// must last longer than a half-life: 96 instances that share 120 targets by zone receive an answer
// of about 50 ms from each target 1.7 times a second at most, and from one that is eight times
// slower only every five seconds.
constexpr int max_half_lives = 4;

constexpr clock::duration comparison_interval{100};
// Comparing takes about 0.1 us for each target. The interval grows by a millisecond for each of
// this many targets, so that comparing takes a bounded share of the processor time.
constexpr std::size_t targets_per_millisecond = 50;

// Bounds on memory. A fleet of 300 instances reports at most 900 different targets at a time.
constexpr std::size_t max_estimates = 8'192;
constexpr std::size_t max_reported_targets = 2'048;
// The median of this many witnesses wouldn't change much with more of them.
constexpr std::size_t max_reports_per_target = 16;

struct measured_target {
    double average = 0;
    double freshness = 0;
};

// Weighted by freshness: when load rises, the averages of targets that have not answered since are
// too high, and those that have answered would all seem slow.
double weighted_median(std::vector<measured_target>& targets) {
    std::ranges::sort(targets, {}, &measured_target::average);
    double total = 0;
    for (const auto& each : targets) {
        total += each.freshness;
    }
    double sum = 0;
    for (const auto& each : targets) {
        sum += each.freshness;
        if (sum >= total / 2) {
            return each.average;
        }
    }
    return targets.back().average;
}

double median(std::span<double> values) {
    std::ranges::sort(values);
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

double fade(double speed, double freshness) {
    return std::lerp(1.0, speed, freshness);
}

}  // namespace

void target_speeds::record_answer(std::string_view service, routing_token token,
                                  clock::duration expected, clock::duration observed,
                                  clock::time_point now) {
    if (expected <= clock::duration::zero() || observed < clock::duration::zero()) {
        return;
    }
    auto found = estimates_.find(token);
    if (found == estimates_.end()) {
        if (estimates_.size() >= max_estimates) {
            return;
        }
        found = estimates_.try_emplace(token).first;
    }
    auto& own = found->second;
    const auto service_hash = hash_of(service);
    const double kept = freshness(now - own.answered_at);
    if (own.service != service_hash || kept == 0) {
        own = {};
        own.service = service_hash;
    }
    const double sample = std::min(
        static_cast<double>(expected.count()) / static_cast<double>(observed.count()), max_sample);
    own.answers = std::min(own.answers + 1, std::max(1, limits_.min_answers));
    own.weight = std::clamp(own.weight * kept + 1, static_cast<double>(own.answers),
                            std::max(max_average_weight, static_cast<double>(own.answers)));
    own.average += (sample - own.average) / own.weight;
    own.answered_at = now;
    compare(now);
}

void target_speeds::on_report(std::string_view peer, const target_speed_report& report,
                              clock::time_point now) {
    // Also false for a speed that is not a number.
    if (!(report.speed > 0)) {
        return;
    }
    const bool is_slow = report.speed < limits_.max_slow_speed;
    auto found = reports_.find(report.token);
    if (found == reports_.end()) {
        if (!is_slow || reports_.size() >= max_reported_targets) {
            return;
        }
        found = reports_.try_emplace(report.token).first;
    }
    auto& reports = found->second;
    const auto peer_hash = hash_of(peer);
    std::erase_if(reports, [&](const auto& each) { return each.peer == peer_hash; });
    if (is_slow) {
        if (reports.size() >= max_reports_per_target) {
            reports.erase(std::ranges::min_element(reports, {}, &peer_report::received_at));
        }
        reports.push_back(
            {.peer = peer_hash, .speed = std::max(report.speed, min_speed), .received_at = now});
    }
    if (reports.empty()) {
        reports_.erase(found);
    }
}

double target_speeds::speed_of(routing_token token, clock::time_point now) const {
    std::array<double, max_reports_per_target + 1> speeds{};
    std::size_t count = 0;
    if (const auto reported = reports_.find(token); reported != reports_.end()) {
        for (const auto& each : reported->second) {
            if (is_fresh(each, now)) {
                speeds.at(count++) = fade(each.speed, freshness(now - each.received_at));
            }
        }
    }
    const auto min_witnesses = static_cast<std::size_t>(std::max(1, limits_.min_witnesses));
    if (count + 1 < min_witnesses) {
        return 1;
    }
    if (const auto measured = estimates_.find(token); measured != estimates_.end()) {
        const double speed = own_speed(measured->second, now);
        if (speed < limits_.max_slow_speed) {
            speeds.at(count++) = speed;
        }
    }
    return count < min_witnesses ? 1 : median(std::span{speeds}.first(count));
}

std::vector<target_speed_report> target_speeds::slowest(std::size_t max_count,
                                                        clock::time_point now) const {
    std::vector<target_speed_report> result;
    for (const auto& [token, own] : estimates_) {
        const double speed = own_speed(own, now);
        if (speed < limits_.max_slow_speed) {
            result.push_back({.token = token, .speed = speed});
        }
    }
    // Of targets that are equally slow, all instances choose the same ones: those get witnesses.
    std::ranges::sort(result, [](const auto& first, const auto& second) {
        return std::pair{first.speed, first.token} < std::pair{second.speed, second.token};
    });
    result.resize(std::min(result.size(), max_count));
    return result;
}

void target_speeds::expire(clock::time_point now) {
    std::erase_if(estimates_, [&](const auto& entry) {
        return freshness(now - entry.second.answered_at) == 0;
    });
    for (auto& [token, reports] : reports_) {
        std::erase_if(reports, [&](const auto& each) { return !is_fresh(each, now); });
    }
    std::erase_if(reports_, [](const auto& entry) { return entry.second.empty(); });
}

double target_speeds::freshness(clock::duration age) const {
    if (age > limits_.half_life * max_half_lives) {
        return 0;
    }
    // The clock may have been set back.
    const auto elapsed = static_cast<double>(std::max(age, clock::duration::zero()).count());
    return std::exp2(-elapsed / static_cast<double>(limits_.half_life.count()));
}

double target_speeds::own_speed(const estimate& own, clock::time_point now) const {
    return own.speed < 1 ? fade(own.speed, freshness(now - own.answered_at)) : 1;
}

bool target_speeds::is_fresh(const peer_report& report, clock::time_point now) const {
    return now - report.received_at <= limits_.report_lifetime;
}

void target_speeds::compare(clock::time_point now) {
    const auto interval =
        comparison_interval + clock::duration{estimates_.size() / targets_per_millisecond};
    if (compared_at_.has_value() && now >= *compared_at_ && now - *compared_at_ < interval) {
        return;
    }
    compared_at_ = now;
    std::unordered_map<std::uint64_t, std::vector<measured_target>> by_service;
    const auto is_measured = [&](const estimate& own) {
        return own.answers >= limits_.min_answers && freshness(now - own.answered_at) > 0;
    };
    for (const auto& [token, own] : estimates_) {
        if (is_measured(own)) {
            by_service[own.service].push_back(
                {.average = own.average, .freshness = freshness(now - own.answered_at)});
        }
    }
    std::unordered_map<std::uint64_t, double> medians;
    for (auto& [service, targets] : by_service) {
        if (targets.size() >= min_measured_targets) {
            medians[service] = weighted_median(targets);
        }
    }
    for (auto& [token, own] : estimates_) {
        const auto found = is_measured(own) ? medians.find(own.service) : medians.end();
        own.speed =
            found == medians.end() ? 1 : std::clamp(own.average / found->second, min_speed, 1.0);
    }
}

}  // namespace bramleytrack::steering
