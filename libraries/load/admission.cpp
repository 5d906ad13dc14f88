#include "load/admission.h"

#include <algorithm>

namespace bramleytrack::load {
namespace {

refusal refuse(const configuration::target& target, target_load& load, const work& refused,
               result_code code, clock::time_point now) {
    return {.id = refused.id,
            .code = code,
            .retry_after = load.how->retry_after(target, load, refused, now)};
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

admission admit_request(const configuration::target& target, target_load& load, const work& wanted,
                        clock::time_point now) {
    load.asked.note(wanted.member, load.times.of(wanted.member, wanted.kind).mean, now);
    const bool is_free = load.queue.empty() && load.slots_in_use < slot_bound(target, load, now);
    const auto end = is_free ? load.how->end_if_dispatched(load, wanted, now)
                             : load.how->end_if_queued(target, load, wanted, now);
    const bool fits = end <= wanted.deadline && now < wanted.deadline;
    if (!fits && !(is_free && load.times.take_probe(wanted.member, wanted.kind, now))) {
        return refuse(target, load, wanted, result_code::deadline_too_near, now);
    }
    if (is_free) {
        return run_now{};
    }
    wait_for_slot result;
    const auto room = static_cast<std::size_t>(target.slots) * queue_per_slot;
    if (load.queue.size() >= room) {
        const auto left = load.how->evict_for(load.queue, wanted.member);
        if (!left) {
            return refuse(target, load, wanted, result_code::queue_full, now);
        }
        const work evicted{
            .id = left->id, .member = left->member, .kind = left->kind, .deadline = left->deadline};
        result.evicted = refuse(target, load, evicted, result_code::queue_full, now);
    }
    load.queue.push(wanted, load.times.of(wanted.member, wanted.kind).mean, now);
    return result;
}

std::vector<refusal> take_infeasible(const configuration::target& target, target_load& load,
                                     clock::time_point now) {
    const auto taken = load.queue.take_if([&](const waiting_request& each) {
        const work as_work{
            .id = each.id, .member = each.member, .kind = each.kind, .deadline = each.deadline};
        return now >= each.deadline || load.how->latest_end(load, as_work, now) > each.deadline;
    });
    std::vector<refusal> result;
    for (const auto& each : taken) {
        const work as_work{
            .id = each.id, .member = each.member, .kind = each.kind, .deadline = each.deadline};
        result.push_back(refuse(target, load, as_work, result_code::deadline_too_near, now));
    }
    return result;
}

std::optional<records::request_id> take_next(const configuration::target& target, target_load& load,
                                             clock::time_point now) {
    if (load.slots_in_use >= slot_bound(target, load, now)) {
        return std::nullopt;
    }
    const auto next = (load.queue.*load.how->take)();
    return next ? std::optional{next->id} : std::nullopt;
}

void requeue(target_load& load, const work& subject, clock::time_point now) {
    load.queue.push(subject, load.times.of(subject.member, subject.kind).mean, now);
}

void note_dispatched(target_load& load, const work& subject, clock::time_point now) {
    load.running[subject.id] = {.member = std::string{subject.member},
                                .kind = subject.kind,
                                .cost = load.times.of(subject.member, subject.kind).mean,
                                .since = now};
}

void note_ended(target_load& load, const records::request_id& id, ending how,
                clock::time_point now) {
    const auto found = load.running.find(id);
    if (found == load.running.end()) {
        return;
    }
    const auto& ended = found->second;
    if (how != ending::not_run) {
        load.times.note(ended.member, ended.kind, now - ended.since, now);
    }
    load.queue.charge(ended.member, static_cast<double>((now - ended.since).count()) - ended.cost);
    load.running.erase(found);
}

}  // namespace bramleytrack::load
