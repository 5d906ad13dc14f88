#include "overload_targets.h"

#include <cmath>

namespace bramleytrack::experiments {
namespace {

constexpr double work_sigma = 0.5;

}  // namespace

overload_targets::overload_targets(const overload_pattern& pattern)
    : pattern_{pattern}, targets_(static_cast<std::size_t>(pattern.targets)) {
    const auto slow = std::lround(pattern.slow_share * pattern.targets);
    for (std::size_t i = 0; i < static_cast<std::size_t>(slow); ++i) {
        targets_[i].slowdown = pattern.slow_factor;
    }
}

void overload_targets::fail() {
    const auto dead = std::lround(pattern_.dead_share * pattern_.targets);
    for (std::size_t i = 0; i < static_cast<std::size_t>(dead); ++i) {
        targets_[i].is_dead = true;
    }
}

arrival overload_targets::receive(std::size_t target, int caller) {
    auto& receiver = targets_[target];
    if (receiver.running < pattern_.slots) {
        ++receiver.running;
        return arrival::started;
    }
    if (receiver.waiting.size() < static_cast<std::size_t>(pattern_.queue)) {
        receiver.waiting.push_back(caller);
        return arrival::queued;
    }
    return arrival::shed;
}

std::optional<int> overload_targets::finish(std::size_t target) {
    auto& worker = targets_[target];
    --worker.running;
    if (worker.waiting.empty()) {
        return std::nullopt;
    }
    const int next = worker.waiting.front();
    worker.waiting.pop_front();
    ++worker.running;
    return next;
}

clock::duration overload_targets::work_time(std::size_t target, const overload_route& route,
                                            std::mt19937_64& random) const {
    std::lognormal_distribution<double> work{std::log(route.work_ms) - work_sigma * work_sigma / 2,
                                             work_sigma};
    const double work_ms = work(random) * targets_[target].slowdown;
    return clock::duration{1 + std::lround(route.is_work_fixed ? route.work_ms : work_ms)};
}

}  // namespace bramleytrack::experiments
