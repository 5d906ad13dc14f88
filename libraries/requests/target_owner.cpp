#include "requests/target_owner.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "flows/erase_flow.h"
#include "flows/location_announcer.h"
#include "load/admission.h"
#include "requests/work_of_request.h"
#include "routing/candidates.h"

namespace bramleytrack::requests {
namespace {

using wire::packet_kind;

// Come-back time of work for a zone that is out: other zones take it at once, on a new flow.
constexpr clock::duration zone_out_come_back{100};

// Whether `content` can be a copy of the request that `known` records.
bool is_copy(const request& known, const wire::packet& content) {
    return known.fingerprint == records::any_content ||
           known.fingerprint == records::fingerprint_of(content);
}

// Failure: a caller closes a flow and opens one with the same number; its request 1 would get the
// outcome of the earlier request 1. A copy has the same content, so other content under a number
// whose flow was closed is a new request.
bool is_superseded(const request& known, const wire::packet& content) {
    const bool is_over = known.state == request_state::ended && !known.holds_slot;
    return known.is_flow_closed && is_over && !is_copy(known, content);
}

}  // namespace

target_owner::target_owner(const shared_state& shared, packet_path& path)
    : shared_{shared},
      path_{path},
      last_dispatch_{hash_of(hash_of(shared.self.name),
                             static_cast<std::uint64_t>(shared.self.incarnation))} {}

void target_owner::handle(wire::forward content, clock::time_point now) {
    struct entry {
        packet_kind kind;
        handler handle;
    };
    static constexpr std::array table{
        entry{packet_kind::open, &target_owner::open_flow},
        entry{packet_kind::data, &target_owner::pass_to_target},
        entry{packet_kind::acknowledge, &target_owner::pass_to_target},
        entry{packet_kind::request, &target_owner::accept_request},
        entry{packet_kind::cancel, &target_owner::cancel_request},
        entry{packet_kind::close, &target_owner::close_flow},
    };
    const auto* target = shared_.configuration.find_target(content.target);
    const auto* found = std::ranges::find(table, content.content.kind, &entry::kind);
    if (target == nullptr || found == table.end()) {
        shared_.out.drop(content.content, result_code::malformed_datagram);
        return;
    }
    if (!shared_.configuration.is_zone_in(target->zone)) {
        reply_zone_out(content.content, now);
        return;
    }
    // Failure: two flows with one key, or two homes for a moment that placed one flow on two of
    // this instance's targets. The record decides; nothing goes to a target that the flow isn't on.
    const auto* known = shared_.flows.find(routing::key_of(content.content));
    if (known != nullptr && !flows::is_same_flow(*known, content.content)) {
        shared_.out.drop(content.content, result_code::wrong_service);
        return;
    }
    if (known != nullptr && known->record.target != content.target) {
        content.target = known->record.target;
        path_.to_owner(std::move(content), now);
        return;
    }
    // A flow belongs to the service that its opening packet was sent to, also when the address has
    // been given to another service since.
    if (known != nullptr && content.content.kind != packet_kind::open) {
        content.service_name = known->record.service_name;
    }
    // Failure: views of the configuration differ and a packet for one service reaches a target of
    // another. The service that the first instance resolved travels along and is compared here,
    // right before the target.
    if (target->service != content.service_name) {
        shared_.out.drop(content.content, result_code::wrong_service);
        return;
    }
    (this->*found->handle)(*target, std::move(content), now);
}

// The zone of the flow's target is out: nothing is sent there any more. A request that this owner
// has no record of may have run under an earlier owner.
void target_owner::reply_zone_out(const wire::packet& content, clock::time_point now) {
    switch (content.kind) {
        case packet_kind::request:
            if (auto* known = shared_.requests.find(id_of(content))) {
                repeat_outcome(*known, content, now);
                return;
            }
            shared_.out.answer_unknown(content, result_code::zone_out);
            return;
        case packet_kind::open:
            shared_.out.refuse(content, result_code::zone_out, zone_out_come_back);
            return;
        default:
            shared_.out.send_caller(reply_to(content, packet_kind::reset, result_code::zone_out));
    }
}

void target_owner::refuse_waiting(load::target_load& load, clock::time_point now) {
    for (const auto& each : load.queue.take_all()) {
        auto* waiting = shared_.requests.find(each.id);
        if (waiting == nullptr || waiting->state != request_state::waiting) {
            continue;
        }
        give_up(*waiting, result_code::zone_out, zone_out_come_back, now);
    }
}

void target_owner::open_flow(const configuration::target& target, wire::forward content,
                             clock::time_point now) {
    const auto key = routing::key_of(content.content);
    auto& load = shared_.loads[target.name];
    if (shared_.flows.find(key) == nullptr) {
        // Failure: two owners that don't hear each other open one flow twice, and each knows it
        // then. The caller sends the opening again; by then one of them has yielded.
        if (!shared_.peers.holds_lease(now)) {
            shared_.out.drop(content.content, result_code::not_owner);
            return;
        }
        if (!load::admits_flow(target, load, now)) {
            wire::placement_declined declined;
            declined.content = std::move(content.content);
            declined.target = target.name;
            declined.code = static_cast<std::int32_t>(result_code::target_full);
            path_.decline(declined, now);
            return;
        }
        ensure_flow(content, now);
    }
    shared_.out.send_target(target, std::move(content.content));
}

flows::flow& target_owner::ensure_flow(const wire::forward& content, clock::time_point now) {
    const auto key = routing::key_of(content.content);
    auto* known = shared_.flows.find(key);
    const bool is_open = content.content.kind == packet_kind::open;
    if (known != nullptr && known->record.target == content.target) {
        known->last_used = now;
        return *known;
    }
    wire::flow_record record;
    record.key = static_cast<std::int64_t>(key);
    record.service_address = content.content.service_address;
    record.service_name = content.service_name;
    record.caller = content.content.caller;
    record.flow = content.content.flow;
    record.member = content.content.member;
    record.target = content.target;
    // Failure: the owner before this one died and may have dispatched a request whose copy arrives
    // now; it would run twice. Nothing that it dispatched runs past its deadline, and no copy is
    // older than records::max_request_lifetime, so until that has passed since the takeover such a
    // request is answered as unknown. A flow that no hand-over brought is in doubt for as long.
    auto doubt = shared_.loads[content.target].assumed_until;
    const auto* owned = shared_.ownership.find(content.target);
    if (!is_open && owned != nullptr && owned->how == membership::origin::handed_over) {
        doubt = std::max(doubt, now + records::max_request_lifetime);
    }
    // Failure: a late copy of an opening comes to the successor of the owner that had opened the
    // flow, which would take it for new and run copies of requests that have run. Only the home's
    // word makes a flow certain: it has looked at every candidate (flows/lookup).
    record.in_doubt_until = content.is_new ? 0 : to_milliseconds(doubt);
    auto& added = shared_.flows.put(
        record, is_open ? flows::flow_state::opening : flows::flow_state::established, now);
    added.home_id = flows::home_id_of({.self = shared_.self,
                                       .configuration = shared_.configuration,
                                       .peers = shared_.peers,
                                       .ownership = shared_.ownership,
                                       .flows = shared_.flows,
                                       .out = shared_.out},
                                      content.service_name, key, now);
    ++shared_.loads[content.target].connections;
    if (!is_open) {
        shared_.loads[content.target].inherited.on_recovered();
        ++shared_.counts.flows_recovered;
    }
    return added;
}

void target_owner::pass_to_target(const configuration::target& target, wire::forward content,
                                  clock::time_point now) {
    ensure_flow(content, now);
    shared_.out.send_target(target, std::move(content.content));
}

void target_owner::accept_request(const configuration::target& target, wire::forward content,
                                  clock::time_point now) {
    const auto id = id_of(content.content);
    if (auto* known = shared_.requests.find(id)) {
        if (!is_superseded(*known, content.content)) {
            repeat_outcome(*known, content.content, now);
            return;
        }
        shared_.requests.erase(id);
    }
    // Without a record "not run" could become false with a later copy.
    if (!shared_.requests.has_room(id.flow, content.content.payload.size())) {
        shared_.out.answer_unknown(content.content, result_code::too_many_requests);
        return;
    }
    const auto in_doubt_until = to_time_point(ensure_flow(content, now).record.in_doubt_until);
    auto& added = shared_.requests.add(id, std::move(content.content), target.name, now);
    // Past the lifetime of its copies the record of an earlier copy may be gone.
    const bool is_stale = now >= added.deadline + records::max_request_lifetime;
    added.is_in_doubt = now < in_doubt_until || is_stale;
    if (added.is_in_doubt && !may_run_twice(added.content)) {
        give_up(added, result_code::outcome_unknown, clock::duration{0}, now);
        return;
    }
    if (added.deadline <= now) {
        give_up(added, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    auto& load = shared_.loads[target.name];
    const auto decision = load::admit_request(target, load, work_of(added, load), now);
    if (std::holds_alternative<load::run_now>(decision)) {
        if (shared_.peers.holds_lease(now)) {
            dispatch(target, added, now);
        } else {
            load::requeue(load, work_of(added, load), now);
        }
    } else if (const auto* refused = std::get_if<load::refusal>(&decision)) {
        refuse_request(*refused, now);
    } else if (const auto& left = std::get<load::wait_for_slot>(decision).evicted) {
        refuse_request(*left, now);
    }
}

void target_owner::refuse_request(const load::refusal& refused, clock::time_point now) {
    auto* subject = shared_.requests.find(refused.id);
    if (subject != nullptr && subject->state == request_state::waiting) {
        give_up(*subject, refused.code, refused.retry_after, now);
    }
}

void target_owner::repeat_outcome(request& known, const wire::packet& copy, clock::time_point now) {
    if (!is_copy(known, copy)) {
        shared_.out.answer_unknown(copy, result_code::number_reused);
        return;
    }
    shared_.requests.renew(known, now);
    if (known.state == request_state::ended) {
        shared_.out.send_caller(known.content);
    }
}

// The only place that says "not run". It is true of a request that waits or that the target has
// shed, unless an owner before this one may have dispatched it.
void target_owner::give_up(request& subject, result_code code, clock::duration retry_after,
                           clock::time_point now) {
    if (subject.is_in_doubt) {
        end_request(subject,
                    reply_to(subject.content, packet_kind::unknown, result_code::outcome_unknown),
                    now);
        return;
    }
    auto refusal = reply_to(subject.content, packet_kind::refused, code);
    refusal.come_back_ms = static_cast<std::int32_t>(retry_after.count());
    end_request(subject, std::move(refusal), now);
}

void target_owner::dispatch(const configuration::target& target, request& subject,
                            clock::time_point now) {
    // Failure: the process was paused with work in its queue and goes on where it was. Checked
    // here, right before the packet leaves.
    if (now >= subject.deadline) {
        give_up(subject, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    shared_.requests.dispatch(subject, static_cast<std::int64_t>(++last_dispatch_));
    count_slots(target.name);
    auto& load = shared_.loads[target.name];
    load::note_dispatched(load, work_of(subject, load), now);
    auto content = subject.content;
    content.dispatch = subject.dispatch;
    shared_.out.send_target(target, std::move(content));
}

void target_owner::dispatch_waiting(const configuration::target& target, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    if (!shared_.configuration.is_zone_in(target.zone)) {
        load.cold.on_out_of_service(now);
        refuse_waiting(load, now);
        return;
    }
    for (const auto& refused : load::take_infeasible(target, load, now)) {
        refuse_request(refused, now);
    }
    if (load.queue.empty() || !shared_.peers.holds_lease(now)) {
        return;
    }
    while (const auto next = load::take_next(target, load, now)) {
        auto* subject = shared_.requests.find(*next);
        if (subject != nullptr && subject->state == request_state::waiting) {
            dispatch(target, *subject, now);
        }
    }
}

// Gives the request its outcome and tells the caller at once. Its slot is another matter: the
// target may still be running it, see free_slot.
void target_owner::end_request(request& subject, wire::packet outcome, clock::time_point now) {
    if (subject.state == request_state::waiting) {
        shared_.loads[subject.target].queue.erase(subject.id);
    }
    const auto* target = shared_.configuration.find_target(subject.target);
    shared_.out.note_ended({.service = target == nullptr ? std::string{} : target->service,
                            .member = outcome.member,
                            .outcome = outcome.kind,
                            .elapsed = now - subject.arrived});
    shared_.out.send_caller(outcome);
    shared_.requests.end(subject, std::move(outcome), now);
}

void target_owner::free_slot(request& subject, load::ending how, clock::time_point now) {
    shared_.requests.free_slot(subject);
    load::note_ended(shared_.loads[subject.target], subject.id, how, now);
    count_slots(subject.target);
}

void target_owner::count_slots(std::string_view target) {
    shared_.loads[std::string{target}].slots_in_use = shared_.requests.dispatched_on(target);
}

void target_owner::cancel_request(const configuration::target& target, wire::forward content,
                                  clock::time_point now) {
    auto* known = shared_.requests.find(id_of(content.content));
    if (known == nullptr) {
        note_early_cancel(target, content, now);
        return;
    }
    if (known->state == request_state::waiting) {
        give_up(*known, result_code::cancelled, clock::duration{0}, now);
        return;
    }
    if (known->state == request_state::ended) {
        // The cancellation crossed with the outcome, or that was lost.
        if (known->fingerprint != records::any_content) {
            shared_.out.send_caller(known->content);
        }
        return;
    }
    // The slot stays in use until the target says that it has stopped, or the deadline passes.
    content.content.dispatch = known->dispatch;
    shared_.out.send_target(target, std::move(content.content));
}

// Failure: a cancellation overtakes its request, which would then run for nobody. It is recorded,
// so that the request finds its outcome. Nothing is said yet: the outcome may be forgotten already,
// and then "not run" would be false.
void target_owner::note_early_cancel(const configuration::target& target,
                                     const wire::forward& content, clock::time_point now) {
    const auto id = id_of(content.content);
    const auto* flow = shared_.flows.find(id.flow);
    if (flow == nullptr || !shared_.requests.has_room(id.flow, 0)) {
        return;
    }
    auto& added = shared_.requests.add(id, content.content, target.name, now);
    added.fingerprint = records::any_content;
    added.is_in_doubt = to_milliseconds(now) < flow->record.in_doubt_until;
    const auto kind = added.is_in_doubt ? packet_kind::unknown : packet_kind::refused;
    shared_.requests.end(added, reply_to(content.content, kind, result_code::cancelled), now);
}

void target_owner::close_flow(const configuration::target& target, wire::forward content,
                              clock::time_point now) {
    const auto key = routing::key_of(content.content);
    shared_.out.send_target(target, std::move(content.content));
    for (const auto number : shared_.requests.numbers_of(key)) {
        auto& subject = *shared_.requests.find({key, number});
        subject.is_flow_closed = true;
        if (subject.state == request_state::waiting) {
            give_up(subject, result_code::cancelled, clock::duration{0}, now);
        }
    }
    flows::erase_flow(shared_.flows, shared_.loads, key);
}

}  // namespace bramleytrack::requests
