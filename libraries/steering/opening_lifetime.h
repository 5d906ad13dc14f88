// For how long after its arrival an opening packet may be forwarded or refused.
//
// Guards against late openings. A caller retransmits an opening that is not accepted in time, and
// another instance may receive the retransmission and open the flow on another target. If the
// earlier packet was forwarded after that, a second target would accept the flow, and the caller
// would return the token of that target: the packets of an open flow would go to a target that
// resets them. A refusal would end the open flow as well.
//
// An instance therefore forwards or refuses an opening only until its caller sends the next one,
// however it was delayed: in the socket, during a pause of the process or in the opening queue. Of
// an opening and its retransmissions, at most the newest can still be accepted. A caller whose
// packets all reach a starting instance loses no time by it: its newest packet is placed.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace bramleytrack::steering {

struct opening_lifetime_limits {
    // The interval after the original; it doubles with each retransmission.
    clock::duration retransmission_interval{200};
    // After the last retransmission the caller waits for one more interval and gives up.
    std::uint32_t max_retransmissions{2};
    // The time that the packet takes to the target, and the target's response to the caller.
    clock::duration response_allowance{20};
};

// The time from an opening to the caller's next one, or after the last one until it gives up.
// `copy` is the number of the retransmission, 0 for the original.
constexpr clock::duration time_to_retransmission(std::uint32_t copy,
                                                 const opening_lifetime_limits& limits = {}) {
    const auto doublings = std::min(copy, limits.max_retransmissions);
    return limits.retransmission_interval * (1 << doublings);
}

constexpr clock::duration lifetime_of_opening(std::uint32_t copy,
                                              const opening_lifetime_limits& limits = {}) {
    return time_to_retransmission(copy, limits) - limits.response_allowance;
}

}  // namespace bramleytrack::steering
