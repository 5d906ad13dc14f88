#include "steering/caller_shares.h"

#include <algorithm>

namespace bramleytrack::steering {

void caller_shares::on_attempt(std::uint32_t caller, clock::time_point now) {
    const auto found = callers_.find(caller);
    if (found != callers_.end()) {
        found->second.last_attempt_at = now;
    } else if (callers_.size() < limits_.max_callers) {
        callers_.emplace(caller, share{.open_requests = 0, .last_attempt_at = now});
    }
}

void caller_shares::on_request_begun(std::uint32_t caller) {
    const auto found = callers_.find(caller);
    if (found == callers_.end() && callers_.size() >= limits_.max_callers) {
        return;
    }
    ++(found == callers_.end() ? callers_[caller] : found->second).open_requests;
    ++open_requests_;
}

void caller_shares::on_request_ended(std::uint32_t caller) {
    const auto found = callers_.find(caller);
    // A request that began while the table was full was not counted.
    if (found == callers_.end() || found->second.open_requests == 0) {
        return;
    }
    --found->second.open_requests;
    --open_requests_;
}

void caller_shares::expire(clock::time_point now) {
    std::erase_if(callers_, [this, now](const auto& each) {
        return each.second.open_requests == 0 &&
               now - each.second.last_attempt_at > limits_.retention;
    });
}

bool caller_shares::is_heavy(std::uint32_t caller) const {
    const auto found = callers_.find(caller);
    if (found == callers_.end() || found->second.open_requests < limits_.min_open_requests) {
        return false;
    }
    const double mean = (open_requests_ + 1.0) / static_cast<double>(callers_.size());
    return found->second.open_requests + 1 > limits_.tolerance * mean;
}

}  // namespace bramleytrack::steering
