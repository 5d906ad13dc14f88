// Predicts when a request would end, so that what can't end before its deadline is refused on
// arrival.
//
// Load: saturation. Without it every queue fills up with requests that are dispatched too late to
// end in time: at twice the load the slots do work that nobody waits for any more, and callers hear
// of it only at their deadlines.
// A request that has to wait is let in when it ends in time even if its own service takes the
// mean and two mean deviations: what waits ahead is a sum and averages out, the request itself
// doesn't.
#pragma once

#include "load/target_load.h"

namespace bramleytrack::load {

// With a free slot and nobody waiting nothing is displaced, so the mean decides.
clock::time_point end_if_dispatched(const target_load& load, const work& wanted,
                                    clock::time_point now);
// If dispatched now while others wait: the mean and the margin.
clock::time_point latest_end(const target_load& load, const work& waiting, clock::time_point now);
clock::time_point end_if_queued(const configuration::target& target, const target_load& load,
                                const work& wanted, clock::time_point now);

// Until the work that waits now is done, and from then on in steps of the member's share.
clock::duration retry_after_of_rejected(const configuration::target& target, target_load& load,
                                        const work& refused, clock::time_point now);

}  // namespace bramleytrack::load
