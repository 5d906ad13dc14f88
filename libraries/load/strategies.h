// The decisions that an experiment may replace by a baseline, as a table of functions. The daemons
// use default_strategies() only; bramleybench swaps single entries to measure what each is worth.
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
    // Order in which waiting requests are dispatched.
    std::optional<waiting_request> (fair_queue::*take)();
    // Who leaves a full queue for a request of this member; nothing: the newcomer is refused.
    std::optional<waiting_request> (*evict_for)(fair_queue& queue, std::string_view member);
    // When a request would end if it were let in now; see deadline_check.h.
    clock::time_point (*end_if_dispatched)(const target_load& load, const work& wanted,
                                           clock::time_point now);
    clock::time_point (*latest_end)(const target_load& load, const work& waiting,
                                    clock::time_point now);
    clock::time_point (*end_if_queued)(const configuration::target& target, const target_load& load,
                                       const work& wanted, clock::time_point now);
    // What a refused caller is told.
    clock::duration (*retry_after)(const configuration::target& target, target_load& load,
                                   const work& refused, clock::time_point now);
    // Classes that service times are told apart by.
    work_class (*class_of)(bool may_repeat, std::size_t payload_size);
};

const strategies& default_strategies();

}  // namespace bramleytrack::load
