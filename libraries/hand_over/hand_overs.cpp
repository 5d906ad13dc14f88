// Moves of ownership between live instances: the part of the membership protocol that transfers
// records.
#include <algorithm>

#include "hand_over/hand_over_parts.h"
#include "hand_over/membership_protocol.h"
#include "load/admission.h"
#include "routing/candidates.h"

namespace bramleytrack::hand_over {
namespace {

// A complete move is erased this long after its start, if it has not been erased before because the
// receiver's claim arrived or the receiver failed. The receiver claims the target within one
// heartbeat, so an older entry is no longer relevant.
constexpr clock::duration move_retention{10'000};

wire::peer_message to_message(const wire::hand_over& part) {
    wire::peer_message message;
    message.__set_handed_over(part);
    return message;
}

}  // namespace

void membership_protocol::start_hand_over(std::string_view target, const peer& receiver,
                                          clock::time_point now) {
    wire::hand_over head;
    auto parts = extract_records(target, head, now);
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
    send_due_parts(added->second, now);
}

// When heartbeats are lost, a peer may take the target over from a live owner, and both own it. The
// claim with the higher epoch, or with equal epochs the greater name, has precedence. This
// instance, whose claim lacks it, stops serving the target and sends its records to the claimant,
// which then also holds the flows and requests that it has not received itself.
void membership_protocol::yield_target(std::string_view target, clock::time_point now) {
    const auto peer_claim = shared_.peers.claim_of(target, now);
    if (peer_claim.claimant == nullptr) {
        return;
    }
    wire::hand_over head;
    head.is_merge = true;
    head.epoch = peer_claim.epoch;
    auto parts = extract_records(target, head, now);
    shared_.ownership.relinquish(target, peer_claim);
    shared_.out.log(log_event{"target_yielded"}
                        .with("target", target)
                        .with("receiver", peer_claim.claimant->name));
    const auto [added, is_new] = outgoing_.insert_or_assign(
        std::string{target}, outgoing_transfer{peer_claim.claimant->name, std::move(parts), now});
    send_due_parts(added->second, now);
}

// Removes the records of an owned target from the tables and splits them into parts. After this the
// instance dispatches nothing to the target, so the receiver's slot count is exact.
std::vector<wire::hand_over> membership_protocol::extract_records(std::string_view target,
                                                                  wire::hand_over head,
                                                                  clock::time_point now) {
    const auto& load = shared_.loads[std::string{target}];
    const auto& owned = *shared_.ownership.find(target);
    head.target = target;
    head.fence_ms = std::max(clock::duration{0}, owned.fence_until - now).count();
    head.cold_left_ms = load.cold.remaining(now).count();
    head.assumed_slots = now < load.assumed_until ? load.assumed_slots : 0;
    auto flows = shared_.flows.records_on(target);
    save_locations(flows, target, now);
    auto parts = split_into_parts(head, std::move(flows), shared_.requests.records_on(target));
    erase_records(target);
    return parts;
}

// The home of a flow is the instance that owns the flow's first candidate. An owner that hands a
// target over may remain the home of some of the target's flows. It keeps their locations;
// otherwise a late copy of an opening packet would open the flow at a second target.
void membership_protocol::save_locations(std::span<const wire::flow_record> flows,
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

void membership_protocol::send_due_parts(outgoing_transfer& transfer, clock::time_point now) {
    for (const auto* part : transfer.take_due_parts(now)) {
        shared_.out.send_peer(transfer.receiver(), to_message(*part));
    }
}

void membership_protocol::update_transfers(clock::time_point now) {
    for (auto each = outgoing_.begin(); each != outgoing_.end();) {
        each = update_transfer(each->first, each->second, now) ? outgoing_.erase(each)
                                                               : std::next(each);
    }
}

// Returns true if the transfer has ended.
bool membership_protocol::update_transfer(const std::string& target, outgoing_transfer& transfer,
                                          clock::time_point now) {
    const auto* receiver = shared_.peers.find(transfer.receiver());
    const bool is_gone = receiver == nullptr || !shared_.peers.is_alive(transfer.receiver(), now) ||
                         transfer.is_stalled(now);
    if (transfer.is_merge()) {
        if (is_gone) {
            shared_.out.log(log_event{"merge_abandoned"}.with("target", target));
            return true;
        }
        send_due_parts(transfer, now);
        return false;
    }
    const auto* move = shared_.ownership.find_move(target);
    const auto peer_claim = shared_.peers.claim_of(target, now);
    if (peer_claim.claimant != nullptr && peer_claim.epoch >= transfer.epoch()) {
        // Either the receiver has all parts and its acknowledgements were lost, or another instance
        // has taken the target over meanwhile and lacks the records.
        const bool has_arrived = peer_claim.claimant->name == transfer.receiver() &&
                                 peer_claim.epoch == transfer.epoch();
        complete_move(target, now);
        if (!has_arrived) {
            auto parts = transfer.take_parts();
            for (auto& part : parts) {
                part.is_merge = true;
                part.epoch = peer_claim.epoch;
            }
            transfer = outgoing_transfer{peer_claim.claimant->name, std::move(parts), now};
        }
        return has_arrived;
    }
    // If the receiver failed or restarted before it had all parts, the records would be lost with
    // it. This instance still has them and still claims the target.
    if (is_gone || move == nullptr || receiver->incarnation != move->receiver_incarnation) {
        reclaim_target(target, transfer, now);
        return true;
    }
    send_due_parts(transfer, now);
    return false;
}

void membership_protocol::complete_move(const std::string& target, clock::time_point now) {
    shared_.ownership.complete_move(target);
    held_.release(target);
    send_heartbeats(now);
}

void membership_protocol::reclaim_target(const std::string& target, outgoing_transfer& transfer,
                                         clock::time_point now) {
    const auto* found = shared_.configuration.find_target(target);
    if (found == nullptr) {
        shared_.ownership.erase_move(target);
        held_.release(target);
        return;
    }
    // The receiver may have had all parts and dispatched requests before it failed.
    shared_.ownership.acquire(target, {.acquired_by = origin::taken_over,
                                       .since = now,
                                       .epoch = shared_.ownership.next_epoch(target),
                                       .fence_until = now + records::max_request_lifetime});
    for (const auto& part : transfer.parts()) {
        merge_records(*found, part, now, /*lists_all_requests=*/false);
    }
    on_gained_(*found, origin::taken_over);
    shared_.out.log(log_event{"target_taken_back"}
                        .with("target", target)
                        .with("receiver", transfer.receiver()));
    held_.release(target);
    send_heartbeats(now);
}

void membership_protocol::expire_moves(clock::time_point now) {
    std::vector<std::string> expired;
    for (const auto& [name, move] : shared_.ownership.moved()) {
        const auto peer_claim = shared_.peers.claim_of(name, now);
        const bool is_claimed = peer_claim.claimant != nullptr && peer_claim.epoch >= move.epoch;
        const bool is_old = now - move.since >= move_retention;
        const auto* receiver = shared_.peers.find(move.receiver);
        const bool is_gone = !shared_.peers.is_alive(move.receiver, now) ||
                             receiver->incarnation != move.receiver_incarnation;
        // A leaving instance needs the time of its last move, see announce_stop.
        const bool is_needed = leaving_since_ && now - move.since < leave_forwarding_time;
        if (move.is_complete && !is_needed && (is_claimed || is_old || is_gone)) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
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

// A part that is not accepted is not acknowledged. The sender of a move then receives a claim with
// at least the epoch of the move, or its transfer times out and it reclaims the target. A merge is
// abandoned at its time-out.
void membership_protocol::on_hand_over(const wire::peer_message& message, clock::time_point now) {
    const auto& part = message.handed_over;
    const auto* target = shared_.configuration.find_target(part.target);
    if (target == nullptr) {
        return;
    }
    const auto* owned = shared_.ownership.find(part.target);
    if (part.is_merge) {
        if (owned != nullptr) {
            merge_records(*target, part, now, /*lists_all_requests=*/false);
            on_merged_(*target);
            acknowledge(message.sender, part);
        }
        return;
    }
    if (owned != nullptr && owned->epoch == part.epoch) {
        acknowledge(message.sender, part);  // a retransmitted part of a complete transfer
        return;
    }
    // Parts of an earlier transfer may arrive late, after a further move, and this instance would
    // become a second owner. The epoch of such parts does not exceed the highest epoch seen.
    if (part.epoch < shared_.ownership.next_epoch(part.target)) {
        return;
    }
    auto& transfer = incoming_[part.target];
    if (part.epoch < transfer.epoch) {
        return;
    }
    if (part.epoch > transfer.epoch || message.sender != transfer.sender ||
        message.incarnation != transfer.incarnation) {
        transfer = {.sender = message.sender,
                    .incarnation = message.incarnation,
                    .epoch = part.epoch,
                    .parts = {}};
    }
    transfer.parts.insert_or_assign(part.part, part);
    if (transfer.parts.size() == static_cast<std::size_t>(part.parts)) {
        const auto received = std::move(transfer);
        incoming_.erase(part.target);
        complete_hand_over(*target, received, now);
    }
    acknowledge(message.sender, part);
}

void membership_protocol::complete_hand_over(const configuration::target& target,
                                             const incoming_transfer& transfer,
                                             clock::time_point now) {
    const auto& head = transfer.parts.begin()->second;
    const auto fence = now + clock::duration{head.fence_ms};
    shared_.ownership.acquire(target.name, {.acquired_by = origin::handed_over,
                                            .since = now,
                                            .epoch = transfer.epoch,
                                            .fence_until = fence});
    shared_.flows.erase_on(target.name);  // held only as the home of these flows
    std::int64_t flows = 0;
    for (const auto& [number, part] : transfer.parts) {
        merge_records(target, part, now, /*lists_all_requests=*/true);
        flows += static_cast<std::int64_t>(part.flows.size());
    }
    on_gained_(target, origin::handed_over);
    restore_load(target, head, now);
    shared_.out.log(log_event{"target_received"}.with("target", target.name).with("flows", flows));
    send_heartbeats(now);
}

// Adds the records that this instance doesn't hold yet. `lists_all_requests` is false if another
// owner may have dispatched requests that these records don't list. Until in_doubt_until, a request
// on one of the added flows that has no record here then counts as one that may have run.
void membership_protocol::merge_records(const configuration::target& target,
                                        const wire::hand_over& part, clock::time_point now,
                                        bool lists_all_requests) {
    const auto* owned = shared_.ownership.find(target.name);
    for (auto record : part.flows) {
        const auto* existing = shared_.flows.find(static_cast<routing::flow_key>(record.key));
        if (existing != nullptr && existing->record.target == target.name) {
            continue;
        }
        if (!lists_all_requests) {
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
    // A target may be handed over during its cold start. Its ramp continues where it was; a new
    // owner that took the target for warm would give it full load.
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
        send_due_parts(transfer, now);
        return;
    }
    const bool is_merge = transfer.is_merge();
    outgoing_.erase(found);
    if (!is_merge) {
        complete_move(acknowledged.target, now);
    }
}

}  // namespace bramleytrack::hand_over
