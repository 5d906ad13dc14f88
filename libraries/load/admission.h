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

// Maximum number of queued requests per configured slot of the target (target.slots, not
// slot_bound): with all slots in service, a request waits for at most about 8 service times. During
// a cold start or after a takeover fewer slots serve the same queue, and only the deadline check
// bounds the wait.
constexpr int max_queued_per_slot = 8;

// This owner does not run the request; final. It is reported to the caller as not run, or as
// unknown if an earlier owner may have run it.
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
// Maximum number of requests that this owner may have running on the target at `now`. Slots that
// requests of an earlier owner may still hold are already subtracted. connection_bound is the limit
// of the whole target: admits_flow compares it with the flows of both owners.
int slot_bound(const configuration::target& target, const target_load& load, clock::time_point now);

bool admits_flow(const configuration::target& target, const target_load& load,
                 clock::time_point now);

// Decides on a request that has just arrived, and queues it or evicts a queued request accordingly.
// The caller, requests::target_owner, dispatches the request or replies to the callers of refused
// and evicted ones.
admission admit_request(const configuration::target& target, target_load& load, const work& request,
                        clock::time_point now);
// Removes the queued requests that can no longer meet their deadlines from the queue.
std::vector<refusal> take_infeasible(const configuration::target& target, target_load& load,
                                     clock::time_point now);
// Removes the next request to run from the queue; nothing if no slot is free or none is queued.
std::optional<records::request_id> take_next(const configuration::target& target, target_load& load,
                                             clock::time_point now);

// Queues a request without an admission check: it was admitted by an earlier owner or before the
// target shed it, or it has just been admitted with run_now while the owner holds no lease.
void enqueue_admitted(target_load& load, const work& request, clock::time_point now);

// Called for each dispatch and each end of a dispatched request, to measure service times.
void record_dispatch(target_load& load, const work& request, clock::time_point now);
enum class run_outcome {
    answered,
    timed_out,   // aborted by the target at its deadline: a lower limit of its service time
    unmeasured,  // shed by the target: its service time is not recorded
};
void record_end(target_load& load, const records::request_id& id, run_outcome outcome,
                clock::time_point now);

}  // namespace bramleytrack::load
