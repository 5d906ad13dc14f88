#include "steering/caller_shares.h"

#include <algorithm>

namespace bramleytrack::steering {

void caller_shares::on_asked(std::uint32_t caller, clock::time_point now) {
    const auto found = callers_.find(caller);
    if (found != callers_.end()) {
        found->second.asked_at = now;
    } else if (callers_.size() < limits_.max_callers) {
        callers_.emplace(caller, share{.open = 0, .asked_at = now});
    }
}

void caller_shares::on_request_begun(std::uint32_t caller) {
    const auto found = callers_.find(caller);
    if (found == callers_.end() && callers_.size() >= limits_.max_callers) {
        return;
    }
    ++(found == callers_.end() ? callers_[caller] : found->second).open;
    ++open_;
}

void caller_shares::on_request_ended(std::uint32_t caller) {
    const auto found = callers_.find(caller);
    // One that began when there was no room to count it.
    if (found == callers_.end() || found->second.open == 0) {
        return;
    }
    --found->second.open;
    --open_;
}

void caller_shares::expire(clock::time_point now) {
    std::erase_if(callers_, [this, now](const auto& each) {
        return each.second.open == 0 && now - each.second.asked_at > limits_.memory;
    });
}

bool caller_shares::is_heavy(std::uint32_t caller) const {
    const auto found = callers_.find(caller);
    if (found == callers_.end() || found->second.open < limits_.least_open) {
        return false;
    }
    const double mean = (open_ + 1.0) / static_cast<double>(callers_.size());
    return found->second.open + 1 > limits_.tolerance * mean;
}

}  // namespace bramleytrack::steering
