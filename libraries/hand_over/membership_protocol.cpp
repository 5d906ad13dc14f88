#include "hand_over/membership_protocol.h"

#include <algorithm>

#include "base/hash.h"
#include "load/admission.h"
#include "routing/candidates.h"

namespace bramleytrack::hand_over {
namespace {

// After a stall of the event loop, heartbeats of live owners still wait in the socket, and the
// first tick would declare these owners dead. A stall of this length delays takeovers until two
// more heartbeats could be received.
constexpr clock::duration max_loop_stall{300};
constexpr clock::duration takeover_delay = 2 * membership::heartbeat_interval;

}  // namespace

membership_protocol::membership_protocol(const shared_state& shared, gained_callback on_gained,
                                         merged_callback on_merged)
    : shared_{shared},
      on_gained_{std::move(on_gained)},
      on_merged_{std::move(on_merged)},
      last_event_{shared.self.started} {}

// If this process was paused, another instance may have taken its targets over; continuing as their
// owner would mean two owners that both dispatch. Datagrams that waited in the sockets may be
// handled before the first tick, so the gap is checked before every event. The records are outdated
// after a pause and are dropped. A pause between this check and a system call is covered by the
// deadline of the dispatched request, see records/request_table.h.
void membership_protocol::check_pause(clock::time_point now) {
    const auto gap = now - last_event_;
    last_event_ = std::max(last_event_, now);
    if (gap >= max_loop_stall) {
        shared_.ownership.delay_takeovers(now, takeover_delay);
    }
    if (gap <= membership::pause_limit) {
        return;
    }
    shared_.out.log(log_event{"paused"}.with("gap_ms", gap.count()));
    for (const auto& [name, owned] : shared_.ownership.owned()) {
        erase_records(name);
    }
    shared_.loads.clear();
    shared_.ownership.drop_all(now);
    outgoing_.clear();
    incoming_.clear();
    held_.release_all();
}

void membership_protocol::on_tick(clock::time_point now) {
    update_eligibility(now);
    shared_.peers.remove_expired(now);
    update_transfers(now);
    expire_moves(now);
    review_ownership(now);
    announce_stop(now);
    if (now - last_heartbeat_ >= membership::heartbeat_interval) {
        send_heartbeats(now);
    }
    const auto digest = view_digest(now);
    is_view_changed_ = is_view_changed_ || digest != last_view_digest_;
    last_view_digest_ = digest;
}

void membership_protocol::update_eligibility(clock::time_point now) {
    const bool should_leave =
        is_leave_requested_ || shared_.configuration.is_retired(shared_.self.name);
    shared_.is_leaving = should_leave;
    shared_.peers.set_self_eligible(!should_leave);
    if (!should_leave) {
        leaving_since_.reset();
    } else if (!leaving_since_) {
        leaving_since_ = now;
        send_heartbeats(now);
    }
}

void membership_protocol::announce_stop(clock::time_point now) {
    if (!leaving_since_ || has_announced_stop_) {
        return;
    }
    const bool is_idle = shared_.ownership.owned().empty() && outgoing_.empty() &&
                         now - *leaving_since_ >= leave_forwarding_time &&
                         std::ranges::all_of(shared_.ownership.moved(), [&](const auto& entry) {
                             return now - entry.second.since >= leave_forwarding_time;
                         });
    if (!is_idle && now - *leaving_since_ < leave_timeout) {
        return;
    }
    has_announced_stop_ = true;
    send_heartbeats(now);
}

void membership_protocol::review_ownership(clock::time_point now) {
    const auto change = shared_.ownership.reconcile(shared_.configuration, shared_.peers, now);
    for (const auto& name : change.unconfigured) {
        erase_records(name);
        shared_.ownership.release(name);
        shared_.out.log(log_event{"target_withdrawn"}.with("target", name));
    }
    for (const auto& name : change.superseded) {
        yield_target(name, now);
    }
    for (const auto& name : change.taken_over) {
        const auto& target = *shared_.configuration.find_target(name);
        shared_.out.log(log_event{"target_taken_over"}.with("target", name));
        // Keeps the records that the previous owner had sent before it failed.
        const auto partial = incoming_.find(name);
        if (partial != incoming_.end()) {
            for (const auto& [number, part] : partial->second.parts) {
                merge_records(target, part, now, /*lists_all_requests=*/false);
            }
            incoming_.erase(partial);
        }
        on_gained_(target, origin::taken_over);
    }
    for (const auto& name : change.to_request) {
        wire::ownership_wanted request;
        request.target = name;
        request.epoch = shared_.ownership.highest_epoch(name);
        wire::peer_message message;
        message.__set_wanted(request);
        shared_.out.send_peer(shared_.peers.claim_of(name, now).claimant->name, std::move(message));
    }
    if (!change.taken_over.empty()) {
        send_heartbeats(now);
    }
}

void membership_protocol::on_heartbeat(const wire::peer_message& message, clock::time_point now) {
    for (const auto& load : message.beat.owned) {
        shared_.reported_loads[load.target] = load;
        shared_.placements.reset_on_report(load.target);
        shared_.ownership.observe_epoch(load.target, load.epoch);
        const auto* owned = shared_.ownership.find(load.target);
        if (owned != nullptr &&
            membership::supersedes(load.epoch, message.sender, owned->epoch, shared_.self.name)) {
            yield_target(load.target, now);
        }
    }
}

void membership_protocol::on_ownership_request(std::string_view sender,
                                               const wire::ownership_wanted& request,
                                               clock::time_point now) {
    const auto* target = shared_.configuration.find_target(request.target);
    const auto* receiver = shared_.peers.find(sender);
    if (target == nullptr || receiver == nullptr ||
        shared_.ownership.find(request.target) == nullptr) {
        return;
    }
    const auto eligible = shared_.peers.eligible_owners(target->zone, now);
    if (routing::rendezvous_winner(eligible, request.target) == sender) {
        // After a restart this instance counts epochs from the beginning, while the receiver has
        // seen higher ones and would ignore the hand-over as outdated.
        shared_.ownership.observe_epoch(request.target, request.epoch);
        start_hand_over(request.target, *receiver, now);
    }
}

wire::heartbeat membership_protocol::make_heartbeat(clock::time_point now) {
    wire::heartbeat beat;
    beat.zone = shared_.self.zone;
    beat.address = shared_.self.peer_address;
    beat.configuration_version = shared_.configuration.version;
    beat.configuration_digest = static_cast<std::int64_t>(shared_.configuration.digest);
    beat.configuration_confirmed = shared_.is_configuration_confirmed;
    beat.is_leaving = shared_.is_leaving;
    beat.is_stopping = has_announced_stop_;
    beat.stamp = to_milliseconds(now);
    for (const auto& [name, owned] : shared_.ownership.owned()) {
        const auto* target = shared_.configuration.find_target(name);
        if (target == nullptr) {
            continue;
        }
        const auto& load = shared_.loads[name];
        wire::target_load entry;
        entry.target = name;
        entry.connections = load.connections;
        entry.slots_in_use = load.slots_in_use;
        entry.bound = load::connection_bound(*target, load, now);
        entry.epoch = owned.epoch;
        beat.owned.push_back(std::move(entry));
    }
    // A target that is being moved is claimed until the receiver has acknowledged all parts.
    for (const auto& [name, move] : shared_.ownership.moved()) {
        if (!move.is_complete) {
            wire::target_load entry;
            entry.target = name;
            entry.epoch = move.epoch - 1;
            beat.owned.push_back(std::move(entry));
        }
    }
    return beat;
}

void membership_protocol::send_heartbeats(clock::time_point now) {
    last_heartbeat_ = now;
    auto beat = make_heartbeat(now);
    for (const auto& [name, peer] : shared_.peers.peers()) {
        beat.echo = peer.last_stamp;
        wire::peer_message message;
        message.__set_beat(beat);
        shared_.out.send_peer(name, std::move(message));
    }
}

std::uint64_t membership_protocol::view_digest(clock::time_point now) const {
    auto digest = static_cast<std::uint64_t>(shared_.configuration.version);
    for (const auto& target : shared_.configuration.targets) {
        const auto owner = shared_.ownership.owner_of(target, shared_.peers, now);
        digest = hash_of(digest, hash_of(owner));
    }
    return digest;
}

}  // namespace bramleytrack::hand_over
