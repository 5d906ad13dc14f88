// Admission control: decides whether a target can take one more flow or request now.
//
// Handles demand above a target's capacity, most of all right after a cold start. If each instance
// admitted on its own, a target with 2 slots would get that many requests from every instance.
// The operators' limits are enforced exactly, because a single owner counts; see cold_start.h for
// the limits right after a start.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "base/result_code.h"
#include "load/target_load.h"

namespace bramleytrack::load {

// Queued requests per slot: bounds the wait to a few service times.
constexpr int max_queued_per_slot = 8;

// The request is not run; final.
struct refusal {
    records::request_id id;
    result_code code = result_code::queue_full;
    clock::duration retry_after{};
};

struct run_now {};
struct wait_for_slot {
    std::optional<refusal> evicted;  // evicted from a full queue for this request
};
using admission = std::variant<run_now, wait_for_slot, refusal>;

// Maximum number of flows on the target at `now`.
int connection_bound(const configuration::target& target, const target_load& load,
                     clock::time_point now);
// Maximum number of running requests on the target at `now`.
int slot_bound(const configuration::target& target, const target_load& load, clock::time_point now);

bool admits_flow(const configuration::target& target, const target_load& load,
                 clock::time_point now);

// Decides on a request that has just arrived. The caller of this function carries the decision out:
// it dispatches the request, or notifies the callers of refused ones.
admission admit_request(const configuration::target& target, target_load& load, const work& request,
                        clock::time_point now);
// Removes the queued requests that can no longer meet their deadlines from the queue.
std::vector<refusal> take_infeasible(const configuration::target& target, target_load& load,
                                     clock::time_point now);
// Removes the next request to run from the queue; nothing if no slot is free or none is queued.
std::optional<records::request_id> take_next(const configuration::target& target, target_load& load,
                                             clock::time_point now);

// Queues a request that was admitted before, by an earlier owner or before the target shed it.
void requeue(target_load& load, const work& request, clock::time_point now);

// Called for each dispatch and each end of a dispatched request, to measure service times.
void record_dispatch(target_load& load, const work& request, clock::time_point now);
enum class run_outcome {
    answered,
    timed_out,  // aborted by the target at its deadline: a lower limit of its service time
    not_run,    // shed or cancelled: no measure of the service time
};
void record_end(target_load& load, const records::request_id& id, run_outcome outcome,
                clock::time_point now);

}  // namespace bramleytrack::load
