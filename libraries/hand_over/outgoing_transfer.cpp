#include "hand_over/outgoing_transfer.h"

#include <algorithm>

namespace bramleytrack::hand_over {

outgoing_transfer::outgoing_transfer(std::string receiver, std::vector<wire::hand_over> parts,
                                     clock::time_point now)
    : receiver_{std::move(receiver)},
      parts_{std::move(parts)},
      states_(parts_.size()),
      last_progress_{now} {}

std::vector<const wire::hand_over*> outgoing_transfer::take_due_parts(clock::time_point now) {
    std::vector<const wire::hand_over*> due;
    const auto end = std::min(states_.size(), first_unacknowledged_ + transfer_window);
    for (auto i = first_unacknowledged_; i < end; ++i) {
        auto& state = states_[i];
        if (state.is_acknowledged || (state.sent && now - *state.sent < part_retry_interval)) {
            continue;
        }
        state.sent = now;
        due.push_back(&parts_[i]);
    }
    return due;
}

void outgoing_transfer::acknowledge(std::int32_t part, clock::time_point now) {
    const auto index = static_cast<std::size_t>(part);
    if (part < 0 || index >= states_.size() || states_[index].is_acknowledged) {
        return;
    }
    states_[index].is_acknowledged = true;
    last_progress_ = now;
    while (first_unacknowledged_ < states_.size() &&
           states_[first_unacknowledged_].is_acknowledged) {
        ++first_unacknowledged_;
    }
}

}  // namespace bramleytrack::hand_over
