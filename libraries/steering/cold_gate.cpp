#include "steering/cold_gate.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

// Longer than any target stays cold; its allowance isn't needed afterwards.
constexpr clock::duration allowance_lifetime{60'000};

}  // namespace

void cold_gate::on_registered(clock::time_point now) {
    if (!is_registered_) {
        is_registered_ = true;
        registered_at_ = now;
    }
}

bool cold_gate::is_owner(const discovery::target& target,
                         const discovery::directory& directory) const {
    const auto own_score = hash_of(target.token, hash_of(self_));
    const auto ranks_higher = [&](const auto& each) {
        return each.first != self_ && hash_of(target.token, hash_of(each.first)) > own_score;
    };
    return std::ranges::none_of(directory.peers(), ranks_higher) &&
           std::ranges::none_of(directory.departed_peers(), ranks_higher);
}

bool cold_gate::may_open(const discovery::target& target, double flows_per_second,
                         const discovery::directory& directory, clock::time_point now) {
    const bool is_settled =
        is_registered_ && !is_isolated_ && now - registered_at_ >= limits_.settling_time;
    if (!is_settled || !is_owner(target, directory)) {
        return false;
    }
    auto& allowance = allowances_.try_emplace(target.token, limits_.burst).first->second;
    return allowance.refill(flows_per_second * limits_.rate_fraction, now) >= 1;
}

void cold_gate::on_flow_opened(const discovery::target& target, clock::time_point now) {
    if (!target.is_cold(now)) {
        return;
    }
    const auto found = allowances_.find(target.token);
    if (found != allowances_.end()) {
        found->second.consume(1);
    }
}

void cold_gate::expire(clock::time_point now) {
    std::erase_if(allowances_, [now](const auto& each) {
        return now - each.second.refilled_at() > allowance_lifetime;
    });
}

}  // namespace bramleytrack::steering
