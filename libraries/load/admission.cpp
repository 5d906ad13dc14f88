#include "load/admission.h"

#include <algorithm>

namespace bramleytrack::load {
namespace {

refusal make_refusal(const configuration::target& target, target_load& load, const work& refused,
                     result_code code, clock::time_point now) {
    return {.id = refused.id,
            .code = code,
            .retry_after = load.strategy->retry_after(target, load, refused, now)};
}

}  // namespace

int connection_bound(const configuration::target& target, const target_load& load,
                     clock::time_point now) {
    return load.cold.connection_bound(target, now);
}

int slot_bound(const configuration::target& target, const target_load& load,
               clock::time_point now) {
    const int assumed = now < load.assumed_until ? load.assumed_slots : 0;
    return std::max(0, load.cold.slot_bound(target, now) - assumed);
}

bool admits_flow(const configuration::target& target, const target_load& load,
                 clock::time_point now) {
    if (target.state != configuration::target_state::active ||
        load.inherited.is_awaiting_report(now)) {
        return false;
    }
    return load.connections + load.inherited.assumed(now) < connection_bound(target, load, now);
}

admission admit_request(const configuration::target& target, target_load& load, const work& request,
                        clock::time_point now) {
    load.member_demand.record(request.member, load.times.of(request.member, request.kind).mean,
                              now);
    const bool can_run_now =
        load.queue.empty() && load.slots_in_use < slot_bound(target, load, now);
    const auto end = can_run_now ? load.strategy->end_if_dispatched(load, request, now)
                                 : load.strategy->end_if_queued(target, load, request, now);
    const bool meets_deadline = end <= request.deadline && now < request.deadline;
    if (!meets_deadline &&
        !(can_run_now && load.times.take_probe(request.member, request.kind, now))) {
        return make_refusal(target, load, request, result_code::deadline_too_near, now);
    }
    if (can_run_now) {
        return run_now{};
    }
    wait_for_slot result;
    const auto queue_capacity = static_cast<std::size_t>(target.slots) * max_queued_per_slot;
    if (load.queue.size() >= queue_capacity) {
        const auto evicted_request = load.strategy->evict_for(load.queue, request.member);
        if (!evicted_request) {
            return make_refusal(target, load, request, result_code::queue_full, now);
        }
        const work evicted_work{.id = evicted_request->id,
                                .member = evicted_request->member,
                                .kind = evicted_request->kind,
                                .deadline = evicted_request->deadline};
        result.evicted = make_refusal(target, load, evicted_work, result_code::queue_full, now);
    }
    load.queue.push(request, load.times.of(request.member, request.kind).mean, now);
    return result;
}

std::vector<refusal> take_infeasible(const configuration::target& target, target_load& load,
                                     clock::time_point now) {
    const auto taken = load.queue.take_if([&](const waiting_request& each) {
        const work as_work{
            .id = each.id, .member = each.member, .kind = each.kind, .deadline = each.deadline};
        return now >= each.deadline ||
               load.strategy->latest_end(load, as_work, now) > each.deadline;
    });
    std::vector<refusal> result;
    for (const auto& each : taken) {
        const work as_work{
            .id = each.id, .member = each.member, .kind = each.kind, .deadline = each.deadline};
        result.push_back(make_refusal(target, load, as_work, result_code::deadline_too_near, now));
    }
    return result;
}

std::optional<records::request_id> take_next(const configuration::target& target, target_load& load,
                                             clock::time_point now) {
    if (load.slots_in_use >= slot_bound(target, load, now)) {
        return std::nullopt;
    }
    const auto next = (load.queue.*load.strategy->take)();
    return next ? std::optional{next->id} : std::nullopt;
}

void enqueue_admitted(target_load& load, const work& request, clock::time_point now) {
    load.queue.push(request, load.times.of(request.member, request.kind).mean, now);
}

void record_dispatch(target_load& load, const work& request, clock::time_point now) {
    load.running[request.id] = {.member = std::string{request.member},
                                .kind = request.kind,
                                .cost = load.times.of(request.member, request.kind).mean,
                                .dispatched_at = now};
}

void record_end(target_load& load, const records::request_id& id, run_outcome outcome,
                clock::time_point now) {
    const auto found = load.running.find(id);
    if (found == load.running.end()) {
        return;
    }
    const auto& ended = found->second;
    if (outcome != run_outcome::unmeasured) {
        load.times.record(ended.member, ended.kind, now - ended.dispatched_at, now);
    }
    load.queue.charge(ended.member,
                      static_cast<double>((now - ended.dispatched_at).count()) - ended.cost);
    load.running.erase(found);
}

}  // namespace bramleytrack::load
