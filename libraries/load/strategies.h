// The decisions that an experiment may replace by a baseline, as a table of functions. The daemons
// use default_strategies() only; bramleybench replaces single entries to measure their effect.
#pragma once

#include <optional>

#include "load/fair_queue.h"
#include "load/work.h"

namespace bramleytrack::configuration {
struct target;
}

namespace bramleytrack::load {

struct target_load;

struct strategies {
    // Removes the next queued request to dispatch.
    std::optional<waiting_request> (fair_queue::*take)();
    // Evicts a request from a full queue for one of this member; nothing: the new one is refused.
    std::optional<waiting_request> (*evict_for)(fair_queue& queue, std::string_view member);
    // Predicted end of a request that is admitted now; see deadline_check.h.
    clock::time_point (*end_if_dispatched)(const target_load& load, const work& request,
                                           clock::time_point now);
    clock::time_point (*latest_end)(const target_load& load, const work& waiting,
                                    clock::time_point now);
    clock::time_point (*end_if_queued)(const configuration::target& target, const target_load& load,
                                       const work& request, clock::time_point now);
    // Retry-After time of a refused request.
    clock::duration (*retry_after)(const configuration::target& target, target_load& load,
                                   const work& refused, clock::time_point now);
    // Class by which service times are estimated.
    work_class (*class_of)(bool may_repeat, std::size_t payload_size);
};

const strategies& default_strategies();

}  // namespace bramleytrack::load
