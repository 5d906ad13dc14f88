// Decides whether a target can take one more flow or request now.
//
// Load: more work than the target bears, most of all right after a cold start.
// Without it: each instance admits on its own and a target with 2 slots gets many times as many.
// Thresholds: the operators' limits are exact, since one owner counts; see cold_start.h for what a
// target bears right after a start.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "base/result_code.h"
#include "load/target_load.h"

namespace bramleytrack::load {

// Waiting requests per slot: bounds the wait to a few service times.
constexpr int queue_per_slot = 8;

// A request that is not run; final.
struct refusal {
    records::request_id id;
    result_code code = result_code::queue_full;
    clock::duration retry_after{};
};

struct run_now {};
struct wait_for_slot {
    std::optional<refusal> evicted;  // left a full queue for this one
};
using admission = std::variant<run_now, wait_for_slot, refusal>;

// Flows that the target may hold at `now`.
int connection_bound(const configuration::target& target, const target_load& load,
                     clock::time_point now);
int slot_bound(const configuration::target& target, const target_load& load, clock::time_point now);

bool admits_flow(const configuration::target& target, const target_load& load,
                 clock::time_point now);

// A request has come. The caller of this function does what it says: runs it, or tells the refused.
admission admit_request(const configuration::target& target, target_load& load, const work& wanted,
                        clock::time_point now);
// Waiting requests that can't end in time any more; they have left the queue.
std::vector<refusal> take_infeasible(const configuration::target& target, target_load& load,
                                     clock::time_point now);
// The next request to run if a slot is free.
std::optional<records::request_id> take_next(const configuration::target& target, target_load& load,
                                             clock::time_point now);

// A request that was let in before, by an earlier owner or before the target shed it.
void requeue(target_load& load, const work& subject, clock::time_point now);

// Called with each dispatch and each end of a dispatched request, so that service times are known.
void note_dispatched(target_load& load, const work& subject, clock::time_point now);
enum class ending {
    answered,
    overdue,  // the target gave it up at its deadline: it takes at least so long
    not_run,  // shed or stopped: says nothing about service times
};
void note_ended(target_load& load, const records::request_id& id, ending how,
                clock::time_point now);

}  // namespace bramleytrack::load
