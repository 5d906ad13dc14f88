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

// Retry-After of work for a zone that is out of service: the other zones accept it immediately, on
// a new flow.
constexpr clock::duration zone_out_retry_after{100};

bool may_be_copy(const request& record, const wire::packet& content) {
    return record.fingerprint == records::unknown_fingerprint ||
           record.fingerprint == records::fingerprint_of(content);
}

// Whether `content` is a new request that reuses the number of `record`. If a caller closes a flow
// and opens one with the same number, request 1 of the new flow would otherwise get the outcome of
// the earlier request 1. A copy has the same content, so different content under a number whose
// flow was closed is a new request.
bool is_number_reused(const request& record, const wire::packet& content) {
    const bool is_finished = record.state == request_state::ended && !record.holds_slot;
    return record.is_flow_closed && is_finished && !may_be_copy(record, content);
}

}  // namespace

target_owner::target_owner(const shared_state& shared, packet_path& path)
    : shared_{shared},
      path_{path},
      last_dispatch_number_{hash_of(hash_of(shared.self.name),
                                    static_cast<std::uint64_t>(shared.self.incarnation))} {}

void target_owner::handle(wire::forward forwarded, clock::time_point now) {
    struct entry {
        packet_kind kind;
        handler handle;
    };
    static constexpr std::array handlers{
        entry{packet_kind::open, &target_owner::open_flow},
        entry{packet_kind::data, &target_owner::forward_to_target},
        entry{packet_kind::acknowledge, &target_owner::forward_to_target},
        entry{packet_kind::request, &target_owner::accept_request},
        entry{packet_kind::cancel, &target_owner::cancel_request},
        entry{packet_kind::close, &target_owner::close_flow},
    };
    const auto* target = shared_.configuration.find_target(forwarded.target);
    const auto* dispatcher = std::ranges::find(handlers, forwarded.content.kind, &entry::kind);
    if (target == nullptr || dispatcher == handlers.end()) {
        shared_.out.drop(forwarded.content, result_code::malformed_datagram);
        return;
    }
    if (!shared_.configuration.is_zone_in(target->zone)) {
        reply_zone_out_of_service(forwarded.content, now);
        return;
    }
    // Two flows may collide on one key, or two instances may briefly both act as the home of a flow
    // and place it on two of this instance's targets. The flow record decides, so that no packet is
    // sent to a target that the flow isn't placed on.
    const auto* flow = shared_.flows.find(routing::key_of(forwarded.content));
    if (flow != nullptr && !flows::is_same_flow(*flow, forwarded.content)) {
        shared_.out.drop(forwarded.content, result_code::wrong_service);
        return;
    }
    if (flow != nullptr && flow->record.target != forwarded.target) {
        forwarded.target = flow->record.target;
        path_.to_owner(std::move(forwarded), now);
        return;
    }
    // A flow belongs to the service that its opening packet was sent to, even if the address has
    // been reassigned to another service since.
    if (flow != nullptr && forwarded.content.kind != packet_kind::open) {
        forwarded.service_name = flow->record.service_name;
    }
    // While instances hold different configuration versions, a packet for one service could reach a
    // target of another. The packet therefore carries the service that the first instance resolved,
    // which is compared here, right before the packet is sent to the target.
    if (target->service != forwarded.service_name) {
        shared_.out.drop(forwarded.content, result_code::wrong_service);
        return;
    }
    (this->*dispatcher->handle)(*target, std::move(forwarded), now);
}

// Replies to a packet for a target whose zone is out of service; nothing is sent to such a target.
// A request without a record may have run under an earlier owner, so its outcome is unknown.
void target_owner::reply_zone_out_of_service(const wire::packet& content, clock::time_point now) {
    switch (content.kind) {
        case packet_kind::request:
            if (auto* existing = shared_.requests.find(id_of(content))) {
                resend_outcome(*existing, content, now);
                return;
            }
            shared_.out.answer_unknown(content, result_code::zone_out);
            return;
        case packet_kind::open:
            shared_.out.refuse(content, result_code::zone_out, zone_out_retry_after);
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
        refuse(*waiting, result_code::zone_out, zone_out_retry_after, now);
    }
}

void target_owner::open_flow(const configuration::target& target, wire::forward forwarded,
                             clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    auto& load = shared_.loads[target.name];
    if (shared_.flows.find(key) == nullptr) {
        // Two owners that don't receive each other's heartbeats could both open one flow. The
        // packet is dropped; the caller retransmits it, and by then one of them has given the
        // target up.
        if (!shared_.peers.holds_lease(now)) {
            shared_.out.drop(forwarded.content, result_code::not_owner);
            return;
        }
        if (!load::admits_flow(target, load, now)) {
            wire::placement_declined declined;
            declined.content = std::move(forwarded.content);
            declined.target = target.name;
            declined.code = static_cast<std::int32_t>(result_code::target_full);
            path_.decline(declined, now);
            return;
        }
        ensure_flow(forwarded, now);
    }
    shared_.out.send_target(target, std::move(forwarded.content));
}

flows::flow& target_owner::ensure_flow(const wire::forward& forwarded, clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    auto* existing = shared_.flows.find(key);
    const bool is_opening_packet = forwarded.content.kind == packet_kind::open;
    if (existing != nullptr && existing->record.target == forwarded.target) {
        existing->last_used = now;
        return *existing;
    }
    wire::flow_record record;
    record.key = static_cast<std::int64_t>(key);
    record.service_address = forwarded.content.service_address;
    record.service_name = forwarded.service_name;
    record.caller = forwarded.content.caller;
    record.flow = forwarded.content.flow;
    record.member = forwarded.content.member;
    record.target = forwarded.target;
    // A failed previous owner may have dispatched a request of which a copy arrives now; running
    // the copy would run the request twice. No dispatched request runs past its deadline and no
    // copy is older than records::max_request_lifetime, so for that long after the takeover such a
    // request is answered as unknown. The same holds for a flow of which a hand-over brought no
    // record.
    auto in_doubt_until = shared_.loads[forwarded.target].assumed_until;
    const auto* owned = shared_.ownership.find(forwarded.target);
    if (!is_opening_packet && owned != nullptr &&
        owned->acquired_by == membership::origin::handed_over) {
        in_doubt_until = std::max(in_doubt_until, now + records::max_request_lifetime);
    }
    // A late copy of an opening may reach the successor of the owner that opened the flow. If the
    // successor treated the flow as new, it would run copies of requests that have already run.
    // Only the home marks a flow as new: after a lookup that did not find it (flows/lookup), or
    // without a lookup if it has been the home of the flow for longer than flows::opening_lifetime.
    record.in_doubt_until = forwarded.is_new ? 0 : to_milliseconds(in_doubt_until);
    auto& added = shared_.flows.put(
        record, is_opening_packet ? flows::flow_state::opening : flows::flow_state::established,
        now);
    added.home_id = flows::home_id_of({.self = shared_.self,
                                       .configuration = shared_.configuration,
                                       .peers = shared_.peers,
                                       .ownership = shared_.ownership,
                                       .flows = shared_.flows,
                                       .out = shared_.out},
                                      forwarded.service_name, key, now);
    ++shared_.loads[forwarded.target].connections;
    if (!is_opening_packet) {
        shared_.loads[forwarded.target].inherited.on_recovered();
        ++shared_.counts.flows_recovered;
    }
    return added;
}

void target_owner::forward_to_target(const configuration::target& target, wire::forward forwarded,
                                     clock::time_point now) {
    ensure_flow(forwarded, now);
    shared_.out.send_target(target, std::move(forwarded.content));
}

void target_owner::accept_request(const configuration::target& target, wire::forward forwarded,
                                  clock::time_point now) {
    const auto id = id_of(forwarded.content);
    if (auto* existing = shared_.requests.find(id)) {
        if (!is_number_reused(*existing, forwarded.content)) {
            resend_outcome(*existing, forwarded.content, now);
            return;
        }
        shared_.requests.erase(id);
    }
    // Without a record, a later copy could run, so the request must not be reported as not run.
    if (!shared_.requests.has_capacity(id.flow, forwarded.content.payload.size())) {
        shared_.out.answer_unknown(forwarded.content, result_code::too_many_requests);
        return;
    }
    const auto in_doubt_until = to_time_point(ensure_flow(forwarded, now).record.in_doubt_until);
    auto& added = shared_.requests.add(id, std::move(forwarded.content), target.name, now);
    // This long after the deadline, the record of an earlier copy may have expired.
    const bool is_stale = now >= added.deadline + records::max_request_lifetime;
    added.may_have_run = now < in_doubt_until || is_stale;
    if (added.may_have_run && !is_repeatable(added.content)) {
        // may_have_run is set, so refuse() reports the request as unknown whatever the code is.
        refuse(added, result_code::outcome_unknown, clock::duration{0}, now);
        return;
    }
    if (added.deadline <= now) {
        refuse(added, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    auto& load = shared_.loads[target.name];
    const auto decision = load::admit_request(target, load, work_of(added, load), now);
    if (std::holds_alternative<load::run_now>(decision)) {
        if (shared_.peers.holds_lease(now)) {
            dispatch(target, added, now);
        } else {
            load::enqueue_admitted(load, work_of(added, load), now);
        }
    } else if (const auto* refused = std::get_if<load::refusal>(&decision)) {
        apply_refusal(*refused, now);
    } else if (const auto& evicted = std::get<load::wait_for_slot>(decision).evicted) {
        apply_refusal(*evicted, now);
    }
}

void target_owner::apply_refusal(const load::refusal& refused, clock::time_point now) {
    auto* record = shared_.requests.find(refused.id);
    if (record != nullptr && record->state == request_state::waiting) {
        refuse(*record, refused.code, refused.retry_after, now);
    }
}

void target_owner::resend_outcome(request& existing, const wire::packet& copy,
                                  clock::time_point now) {
    if (!may_be_copy(existing, copy)) {
        shared_.out.answer_unknown(copy, result_code::number_reused);
        return;
    }
    shared_.requests.extend_retention(existing, now);
    if (existing.state == request_state::ended) {
        shared_.out.send_caller(existing.content);
    }
}

// Refuses a request: this owner does not run it. It is reported to the caller as not run, which is
// true of a request that waits or that the target has shed. If an earlier owner may have dispatched
// it, it is reported as unknown instead, and `code` and `retry_after` are ignored.
// record_early_cancel also stores the outcome `refused`, for a request that has not arrived yet.
void target_owner::refuse(request& record, result_code code, clock::duration retry_after,
                          clock::time_point now) {
    if (record.may_have_run) {
        end_request(record,
                    reply_to(record.content, packet_kind::unknown, result_code::outcome_unknown),
                    now);
        return;
    }
    auto reply = reply_to(record.content, packet_kind::refused, code);
    reply.come_back_ms = static_cast<std::int32_t>(retry_after.count());
    end_request(record, std::move(reply), now);
}

void target_owner::dispatch(const configuration::target& target, request& record,
                            clock::time_point now) {
    // The process may have been paused while the request was queued. Checking the deadline right
    // before sending keeps a resumed process from dispatching an expired request.
    if (now >= record.deadline) {
        refuse(record, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    shared_.requests.dispatch(record, static_cast<std::int64_t>(++last_dispatch_number_));
    update_slots_in_use(target.name);
    auto& load = shared_.loads[target.name];
    load::record_dispatch(load, work_of(record, load), now);
    auto content = record.content;
    content.dispatch = record.dispatch;
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
        apply_refusal(refused, now);
    }
    if (load.queue.empty() || !shared_.peers.holds_lease(now)) {
        return;
    }
    while (const auto next = load::take_next(target, load, now)) {
        auto* record = shared_.requests.find(*next);
        if (record != nullptr && record->state == request_state::waiting) {
            dispatch(target, *record, now);
        }
    }
}

// Sets the outcome of the request and sends it to the caller. The slot is freed separately by
// free_slot, because the target may still be running the request.
void target_owner::end_request(request& record, wire::packet outcome, clock::time_point now) {
    if (record.state == request_state::waiting) {
        shared_.loads[record.target].queue.erase(record.id);
    }
    const auto* target = shared_.configuration.find_target(record.target);
    shared_.out.report_request_ended(
        {.service = target == nullptr ? std::string{} : target->service,
         .member = outcome.member,
         .outcome = outcome.kind,
         .elapsed = now - record.arrived});
    shared_.out.send_caller(outcome);
    shared_.requests.end(record, std::move(outcome), now);
}

void target_owner::free_slot(request& record, load::run_outcome ending, clock::time_point now) {
    shared_.requests.free_slot(record);
    load::record_end(shared_.loads[record.target], record.id, ending, now);
    update_slots_in_use(record.target);
}

void target_owner::update_slots_in_use(std::string_view target) {
    shared_.loads[std::string{target}].slots_in_use = shared_.requests.slots_held_on(target);
}

void target_owner::cancel_request(const configuration::target& target, wire::forward forwarded,
                                  clock::time_point now) {
    auto* existing = shared_.requests.find(id_of(forwarded.content));
    if (existing == nullptr) {
        record_early_cancel(target, forwarded, now);
        return;
    }
    if (existing->state == request_state::waiting) {
        refuse(*existing, result_code::cancelled, clock::duration{0}, now);
        return;
    }
    if (existing->state == request_state::ended) {
        // The cancellation crossed with the outcome, or the outcome was lost.
        if (existing->fingerprint != records::unknown_fingerprint) {
            shared_.out.send_caller(existing->content);
        }
        return;
    }
    // The slot stays in use until the target reports the end of the request or the deadline passes.
    forwarded.content.dispatch = existing->dispatch;
    shared_.out.send_target(target, std::move(forwarded.content));
}

// A cancellation can overtake its request, which would then run although the caller has abandoned
// it. The cancellation is recorded as the outcome that the request finds when it arrives. No reply
// is sent now: the record of a request that ran may have expired, and "not run" would be false.
void target_owner::record_early_cancel(const configuration::target& target,
                                       const wire::forward& forwarded, clock::time_point now) {
    const auto id = id_of(forwarded.content);
    const auto* flow = shared_.flows.find(id.flow);
    if (flow == nullptr || !shared_.requests.has_capacity(id.flow, 0)) {
        return;
    }
    auto& added = shared_.requests.add(id, forwarded.content, target.name, now);
    added.fingerprint = records::unknown_fingerprint;
    added.may_have_run = to_milliseconds(now) < flow->record.in_doubt_until;
    const auto kind = added.may_have_run ? packet_kind::unknown : packet_kind::refused;
    shared_.requests.end(added, reply_to(forwarded.content, kind, result_code::cancelled), now);
}

void target_owner::close_flow(const configuration::target& target, wire::forward forwarded,
                              clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    shared_.out.send_target(target, std::move(forwarded.content));
    for (const auto number : shared_.requests.numbers_of(key)) {
        auto& record = *shared_.requests.find({key, number});
        record.is_flow_closed = true;
        if (record.state == request_state::waiting) {
            refuse(record, result_code::cancelled, clock::duration{0}, now);
        }
    }
    flows::erase_flow(shared_.flows, shared_.loads, key);
}

}  // namespace bramleytrack::requests
