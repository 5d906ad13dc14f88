// Predicts when a request would end, so that one that can't end before its deadline is refused on
// arrival.
//
// Handles saturation. Without this check every queue fills up with requests that are dispatched too
// late to end in time: at twice the load the slots run requests that no caller waits for any more,
// and callers learn of the failure only at their deadlines.
// A request that has to wait is admitted if it ends in time even when its own service takes the
// mean plus three mean deviations: the work ahead of it is a sum, whose deviations
// average out, while those of a single request don't.
#pragma once

#include "load/target_load.h"

namespace bramleytrack::load {

// With a free slot and an empty queue the request displaces no other, so the mean is used.
clock::time_point end_if_dispatched(const target_load& load, const work& request,
                                    clock::time_point now);
// If dispatched now while others are queued: the upper bound of its service time is used.
clock::time_point latest_end(const target_load& load, const work& waiting, clock::time_point now);
// If queued behind the work that is expected to be served first.
clock::time_point end_if_queued(const configuration::target& target, const target_load& load,
                                const work& request, clock::time_point now);

// The time until the work queued now is done, plus the member's earlier refusals at one interval
// each; see retry_after_plan.h.
clock::duration retry_after_of_refused(const configuration::target& target, target_load& load,
                                       const work& refused, clock::time_point now);

}  // namespace bramleytrack::load
