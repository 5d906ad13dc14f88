// The owner's periodic and ownership-driven work: initializes acquired targets, requests their
// reports, and ends overdue requests.
#include "requests/target_owner.h"
#include "requests/work_of_request.h"

namespace bramleytrack::requests {
namespace {

using wire::packet_kind;

// Interval between report requests to a target, normally and while the owner assumes that requests
// of an earlier owner hold slots.
constexpr clock::duration report_interval{1'000};
constexpr clock::duration takeover_report_interval{200};
// Interval between calls of on_tick.
constexpr clock::duration tick_length{100};

}  // namespace

void target_owner::on_acquired(const configuration::target& target, membership::origin acquired_by,
                               clock::time_point now) {
    auto& load = shared_.loads[target.name];
    load = {};
    recount_load(target, now);
    if (acquired_by == membership::origin::taken_over) {
        // Requests of the failed owner may still hold slots, and further requests would exceed the
        // target's slots. None of them runs past its deadline, so all slots are assumed to be in
        // use for max_predecessor_work_lifetime; answers and reports end the assumption sooner.
        load.assumed_slots = target.slots;
        load.assumed_until = now + max_predecessor_work_lifetime;
        const auto reported = shared_.reported_loads.find(target.name);
        load.inherited.begin(reported == shared_.reported_loads.end()
                                 ? std::nullopt
                                 : std::optional{reported->second.connections},
                             now);
    }
    // Waiting requests are dispatched on the next tick, because a hand-over restores the slots that
    // an earlier owner's requests may hold, and the cold-start state, only after this call.
    request_report(target, now);
}

void target_owner::on_merged(const configuration::target& target, clock::time_point now) {
    recount_load(target, now);
}

void target_owner::recount_load(const configuration::target& target, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    load.connections = shared_.flows.count_on(target.name);
    update_slots_in_use(target.name);
    // Requests that were waiting when the target was handed over are in no queue of this instance
    // yet. Unless they are queued, their callers get no answer until the deadline.
    load.queue.take_all();
    for (const auto& id : shared_.requests.waiting_on(target.name)) {
        load::enqueue_admitted(load, work_of(*shared_.requests.find(id), load), now);
    }
}

void target_owner::on_tick(clock::time_point now) {
    for (const auto& id : shared_.requests.due(now)) {
        if (auto* record = shared_.requests.find(id)) {
            expire(*record, now);
        }
    }
    for (const auto& [name, owned] : shared_.ownership.owned()) {
        const auto* target = shared_.configuration.find_target(name);
        if (target == nullptr) {
            continue;
        }
        dispatch_waiting(*target, now);
        // A removed target without flows may have stopped, and its address may be in use by another
        // process.
        const bool may_have_stopped = target->state == configuration::target_state::removed &&
                                      shared_.flows.count_on(name) == 0;
        if (may_have_stopped) {
            continue;
        }
        const auto& load = shared_.loads[name];
        const bool assumes_held_slots = load.assumed_slots > 0 && now < load.assumed_until;
        const auto interval = assumes_held_slots ? takeover_report_interval : report_interval;
        if (to_milliseconds(now) % interval.count() < tick_length.count()) {
            request_report(*target, now);
        }
    }
}

void target_owner::expire(request& record, clock::time_point now) {
    if (record.state == request_state::waiting) {
        refuse(record, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    const bool was_running = record.holds_slot;
    if (was_running) {
        free_slot(record, load::run_outcome::timed_out, now);
    }
    if (record.state == request_state::dispatched) {
        end_request(record,
                    reply_to(record.content, packet_kind::unknown, result_code::deadline_passed),
                    now);
        return;
    }
    if (!was_running) {
        shared_.requests.erase(record.id);
    }
}

void target_owner::request_report(const configuration::target& target, clock::time_point now) {
    wire::packet report_request;
    report_request.kind = packet_kind::report_wanted;
    report_request.sequence = to_milliseconds(now);
    shared_.out.send_target(target, std::move(report_request));
}

}  // namespace bramleytrack::requests
