// Moves of an ownership between live instances: the part of the membership protocol that carries
// records.
#include <algorithm>

#include "hand_over/hand_over_parts.h"
#include "hand_over/membership_protocol.h"
#include "load/admission.h"
#include "routing/candidates.h"

namespace bramleytrack::hand_over {
namespace {

// A receiver claims what it has got within one heartbeat; a move older than this says nothing.
constexpr clock::duration move_memory{10'000};

wire::peer_message to_message(const wire::hand_over& part) {
    wire::peer_message message;
    message.__set_handed_over(part);
    return message;
}

}  // namespace

void membership_protocol::start_hand_over(std::string_view target, const peer& receiver,
                                          clock::time_point now) {
    wire::hand_over head;
    auto parts = cut_out(target, head, now);
    const auto epoch = shared_.ownership.begin_move(target, receiver, now);
    for (auto& part : parts) {
        part.epoch = epoch;
    }
    shared_.out.log(log_event{"target_handed_over"}
                        .with("target", target)
                        .with("receiver", receiver.name)
                        .with("parts", static_cast<std::int64_t>(parts.size())));
    const auto [added, is_new] = outgoing_.insert_or_assign(
        std::string{target}, outgoing_transfer{receiver.name, std::move(parts), now});
    send_due(added->second, now);
}

// Failure: heartbeats were lost, a peer took the target over from a live owner, and both own it.
// The later claim is valid. The other instance stops at once and sends what it knows, so that the
// peer learns of flows and requests that it has never seen.
void membership_protocol::start_yield(std::string_view target, clock::time_point now) {
    const auto valid = shared_.peers.claim_of(target, now);
    if (valid.claimant == nullptr) {
        return;
    }
    wire::hand_over head;
    head.is_merge = true;
    head.epoch = valid.epoch;
    auto parts = cut_out(target, head, now);
    shared_.ownership.relinquish(target, valid);
    shared_.out.log(
        log_event{"target_yielded"}.with("target", target).with("receiver", valid.claimant->name));
    const auto [added, is_new] = outgoing_.insert_or_assign(
        std::string{target}, outgoing_transfer{valid.claimant->name, std::move(parts), now});
    send_due(added->second, now);
}

// Takes the records of an owned target out of the tables and cuts them into parts. From here on
// this instance dispatches nothing to the target, so that the receiver's count is exact.
std::vector<wire::hand_over> membership_protocol::cut_out(std::string_view target,
                                                          wire::hand_over head,
                                                          clock::time_point now) {
    const auto& load = shared_.loads[std::string{target}];
    const auto& owned = *shared_.ownership.find(target);
    head.target = target;
    head.fence_ms = std::max(clock::duration{0}, owned.fence_until - now).count();
    head.cold_left_ms = load.cold.remaining(now).count();
    head.assumed_slots = now < load.assumed_until ? load.assumed_slots : 0;
    auto flows = shared_.flows.records_on(target);
    keep_locations(flows, target, now);
    auto parts = split(head, std::move(flows), shared_.requests.records_on(target));
    erase_records(target);
    return parts;
}

// Failure: the owner of a target hands it over and forgets its flows, though it stays the home of
// some of them. A late copy of an opening packet then opens the flow at a second target.
void membership_protocol::keep_locations(std::span<const wire::flow_record> flows,
                                         std::string_view target, clock::time_point now) {
    for (const auto& record : flows) {
        const auto key = static_cast<routing::flow_key>(record.key);
        const auto candidates =
            routing::candidates_of(shared_.configuration, record.service_name, key);
        if (!candidates.empty() && candidates.front()->name != target &&
            shared_.ownership.find(candidates.front()->name) != nullptr) {
            shared_.locations.put(key, target, now);
        }
    }
}

void membership_protocol::erase_records(std::string_view target) {
    shared_.flows.erase_on(target);
    shared_.requests.erase_on(target);
    shared_.loads.erase(std::string{target});
}

void membership_protocol::send_due(outgoing_transfer& transfer, clock::time_point now) {
    for (const auto* part : transfer.take_due(now)) {
        shared_.out.send_peer(transfer.receiver(), to_message(*part));
    }
}

void membership_protocol::tend_transfers(clock::time_point now) {
    for (auto each = outgoing_.begin(); each != outgoing_.end();) {
        each = tend(each->first, each->second, now) ? outgoing_.erase(each) : std::next(each);
    }
}

// Returns true when the transfer is over.
bool membership_protocol::tend(const std::string& target, outgoing_transfer& transfer,
                               clock::time_point now) {
    const auto* receiver = shared_.peers.find(transfer.receiver());
    const bool is_gone = receiver == nullptr || !shared_.peers.is_alive(transfer.receiver(), now) ||
                         transfer.is_stalled(now);
    if (transfer.is_merge()) {
        if (is_gone) {
            shared_.out.log(log_event{"merge_abandoned"}.with("target", target));
            return true;
        }
        send_due(transfer, now);
        return false;
    }
    const auto* move = shared_.ownership.find_move(target);
    const auto valid = shared_.peers.claim_of(target, now);
    if (valid.claimant != nullptr && valid.epoch >= transfer.epoch()) {
        // The receiver has it all and its acknowledgements were lost, or another instance has taken
        // the target over in the meantime and lacks the records.
        const bool has_arrived =
            valid.claimant->name == transfer.receiver() && valid.epoch == transfer.epoch();
        finish(target, now);
        if (!has_arrived) {
            auto parts = transfer.take_parts();
            for (auto& part : parts) {
                part.is_merge = true;
                part.epoch = valid.epoch;
            }
            transfer = outgoing_transfer{valid.claimant->name, std::move(parts), now};
        }
        return has_arrived;
    }
    // Failure: the receiver died or was restarted before it had everything, and the records would
    // be lost with it. This instance still has them and still claims the target.
    if (is_gone || move == nullptr || receiver->incarnation != move->receiver_incarnation) {
        take_back(target, transfer, now);
        return true;
    }
    send_due(transfer, now);
    return false;
}

void membership_protocol::finish(const std::string& target, clock::time_point now) {
    shared_.ownership.complete_move(target);
    held_.release(target);
    send_heartbeats(now);
}

void membership_protocol::take_back(const std::string& target, outgoing_transfer& transfer,
                                    clock::time_point now) {
    const auto* found = shared_.configuration.find_target(target);
    if (found == nullptr) {
        shared_.ownership.erase_move(target);
        held_.release(target);
        return;
    }
    // The receiver may have had all parts and dispatched work before it died.
    shared_.ownership.acquire(target, {.acquired_by = origin::taken_over,
                                       .since = now,
                                       .epoch = shared_.ownership.next_epoch(target),
                                       .fence_until = now + records::max_request_lifetime});
    for (const auto& part : transfer.parts()) {
        absorb(*found, part, now, false);
    }
    on_gained_(*found, origin::taken_over);
    shared_.out.log(log_event{"target_taken_back"}
                        .with("target", target)
                        .with("receiver", transfer.receiver()));
    held_.release(target);
    send_heartbeats(now);
}

void membership_protocol::tend_moves(clock::time_point now) {
    std::vector<std::string> over;
    for (const auto& [name, move] : shared_.ownership.moved()) {
        const auto valid = shared_.peers.claim_of(name, now);
        const bool is_claimed = valid.claimant != nullptr && valid.epoch >= move.epoch;
        const bool is_old = now - move.since >= move_memory;
        const auto* receiver = shared_.peers.find(move.receiver);
        const bool is_gone = !shared_.peers.is_alive(move.receiver, now) ||
                             receiver->incarnation != move.receiver_incarnation;
        // A leaving instance keeps the time of its last move, see say_goodbye.
        const bool is_needed = leaving_since_ && now - move.since < leave_linger;
        if (move.is_complete && !is_needed && (is_claimed || is_old || is_gone)) {
            over.push_back(name);
        }
    }
    for (const auto& name : over) {
        shared_.ownership.erase_move(name);
    }
}

void membership_protocol::acknowledge(std::string_view sender, const wire::hand_over& part) {
    wire::hand_over_acknowledged acknowledged;
    acknowledged.target = part.target;
    acknowledged.epoch = part.epoch;
    acknowledged.part = part.part;
    wire::peer_message message;
    message.__set_acknowledged(acknowledged);
    shared_.out.send_peer(sender, std::move(message));
}

// A part that isn't taken is not acknowledged either: the sender then learns of a later claim, or
// its transfer stalls and it takes the target back.
void membership_protocol::on_hand_over(const wire::peer_message& message, clock::time_point now) {
    const auto& part = message.handed_over;
    const auto* target = shared_.configuration.find_target(part.target);
    if (target == nullptr) {
        return;
    }
    const auto* owned = shared_.ownership.find(part.target);
    if (part.is_merge) {
        if (owned != nullptr) {
            absorb(*target, part, now, false);
            on_merged_(*target);
            acknowledge(message.sender, part);
        }
        return;
    }
    if (owned != nullptr && owned->epoch == part.epoch) {
        acknowledge(message.sender, part);  // a repeated part of a transfer that is complete
        return;
    }
    // Failure: parts of an earlier transfer arrive late, after the target has moved on, and this
    // instance would own it beside the valid owner. The epoch of such parts is not above all seen.
    if (part.epoch < shared_.ownership.next_epoch(part.target)) {
        return;
    }
    auto& whole = incoming_[part.target];
    if (part.epoch < whole.epoch) {
        return;
    }
    if (part.epoch > whole.epoch || message.sender != whole.sender ||
        message.incarnation != whole.incarnation) {
        whole = {.sender = message.sender,
                 .incarnation = message.incarnation,
                 .epoch = part.epoch,
                 .parts = {}};
    }
    whole.parts.insert_or_assign(part.part, part);
    if (whole.parts.size() == static_cast<std::size_t>(part.parts)) {
        const auto all = std::move(whole);
        incoming_.erase(part.target);
        complete(*target, all, now);
    }
    acknowledge(message.sender, part);
}

void membership_protocol::complete(const configuration::target& target, const incoming& whole,
                                   clock::time_point now) {
    const auto& head = whole.parts.begin()->second;
    const auto fence = now + clock::duration{head.fence_ms};
    shared_.ownership.acquire(target.name, {.acquired_by = origin::handed_over,
                                            .since = now,
                                            .epoch = whole.epoch,
                                            .fence_until = fence});
    shared_.flows.erase_on(target.name);  // what this instance knew as a home only
    std::int64_t flows = 0;
    for (const auto& [number, part] : whole.parts) {
        absorb(target, part, now, true);
        flows += static_cast<std::int64_t>(part.flows.size());
    }
    on_gained_(target, origin::handed_over);
    restore_load(target, head, now);
    shared_.out.log(log_event{"target_received"}.with("target", target.name).with("flows", flows));
    send_heartbeats(now);
}

// Adds what is not known yet. Unless the hand-over was whole, another instance may have dispatched
// work on any of the flows, and all are fenced.
void membership_protocol::absorb(const configuration::target& target, const wire::hand_over& part,
                                 clock::time_point now, bool is_whole) {
    const auto* owned = shared_.ownership.find(target.name);
    for (auto record : part.flows) {
        const auto* known = shared_.flows.find(static_cast<routing::flow_key>(record.key));
        if (known != nullptr && known->record.target == target.name) {
            continue;
        }
        if (!is_whole) {
            const auto fence = owned->fence_until + records::deadline_grace;
            record.in_doubt_until = std::max(record.in_doubt_until, to_milliseconds(fence));
        }
        shared_.flows.put(record, flows::flow_state::established, now);
    }
    for (const auto& record : part.requests) {
        const records::request_id id{static_cast<routing::flow_key>(record.flow_key),
                                     record.request};
        if (shared_.requests.find(id) == nullptr) {
            shared_.requests.restore(record, target.name);
        }
    }
}

void membership_protocol::restore_load(const configuration::target& target,
                                       const wire::hand_over& part, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    // Failure: a target is handed over during its cold start and the new owner takes it for warm.
    // It shows as a cold target under full load. Its ramp goes on where it was.
    load.cold.resume(clock::duration{part.cold_left_ms}, now);
    load.assumed_slots = part.assumed_slots;
    load.assumed_until = now + clock::duration{part.fence_ms} + records::deadline_grace;
}

void membership_protocol::on_acknowledged(std::string_view sender,
                                          const wire::hand_over_acknowledged& acknowledged,
                                          clock::time_point now) {
    const auto found = outgoing_.find(acknowledged.target);
    if (found == outgoing_.end() || found->second.receiver() != sender ||
        found->second.epoch() != acknowledged.epoch) {
        return;
    }
    auto& transfer = found->second;
    transfer.acknowledge(acknowledged.part, now);
    if (!transfer.is_complete()) {
        send_due(transfer, now);
        return;
    }
    const bool is_merge = transfer.is_merge();
    outgoing_.erase(found);
    if (!is_merge) {
        finish(acknowledged.target, now);
    }
}

}  // namespace bramleytrack::hand_over
