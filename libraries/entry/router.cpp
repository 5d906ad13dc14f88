#include "entry/router.h"

#include "routing/candidates.h"

namespace bramleytrack::entry {

void router::on_caller_packet(wire::packet content, clock::time_point now) {
    ++shared_.counts.packets_from_callers;
    const auto* service = shared_.configuration.find_service_by_address(content.service_address);
    if (service == nullptr) {
        shared_.out.drop(content, result_code::unknown_service);
        return;
    }
    wire::forward forwarded;
    forwarded.service_name = service->name;
    forwarded.role = wire::forward_role::to_home;
    forwarded.content = std::move(content);
    forward_to_home(std::move(forwarded), now);
}

void router::forward_to_home(wire::forward forwarded, clock::time_point now) {
    const auto candidates = routing::candidates_of(shared_.configuration, forwarded.service_name,
                                                   routing::key_of(forwarded.content));
    if (candidates.empty()) {
        fail_packet(forwarded.content, result_code::no_eligible_target);
        return;
    }
    if (shared_.ownership.is_moving(candidates.front()->name)) {
        path_.hold(candidates.front()->name, std::move(forwarded));
        return;
    }
    const auto home = shared_.ownership.owner_of(*candidates.front(), shared_.peers, now);
    if (home == shared_.self.name) {
        path_.to_home(std::move(forwarded), now);
        return;
    }
    if (home.empty()) {
        handle_missing_owner(candidates.front()->name, forwarded.content, now);
        return;
    }
    ownerless_since_.erase(candidates.front()->name);
    forwarded.role = wire::forward_role::to_home;
    forward_to_peer(std::move(forwarded), home);
}

void router::forward_to_owner(wire::forward forwarded, clock::time_point now) {
    const auto* target = shared_.configuration.find_target(forwarded.target);
    if (target == nullptr) {
        fail_packet(forwarded.content, result_code::unknown_flow);
        return;
    }
    if (shared_.ownership.is_moving(target->name)) {
        path_.hold(target->name, std::move(forwarded));
        return;
    }
    const auto owner = shared_.ownership.owner_of(*target, shared_.peers, now);
    if (owner == shared_.self.name) {
        path_.to_owner(std::move(forwarded), now);
        return;
    }
    if (owner.empty()) {
        handle_missing_owner(target->name, forwarded.content, now);
        return;
    }
    ownerless_since_.erase(target->name);
    forwarded.role = wire::forward_role::to_owner;
    forward_to_peer(std::move(forwarded), owner);
}

void router::forward_to_peer(wire::forward forwarded, std::string_view peer) {
    if (++forwarded.hops > max_hops) {
        shared_.out.drop(forwarded.content, result_code::too_many_hops);
        return;
    }
    ++shared_.counts.packets_forwarded;
    wire::peer_message message;
    message.__set_forwarded(forwarded);
    shared_.out.send_peer(peer, std::move(message));
}

// An instance that has just started, or that sees a target between two owners, must not answer
// "unknown" to a request whose answer another instance holds. So requests are dropped until
// takeover_time has passed, and the caller's next copy reaches the new owner.
void router::handle_missing_owner(const std::string& target, const wire::packet& packet,
                                  clock::time_point now) {
    const auto since = ownerless_since_.try_emplace(target, now).first->second;
    const bool is_request = packet.kind == wire::packet_kind::request;
    if (is_request && now - since < takeover_time && can_be_taken_over(target, now)) {
        shared_.out.drop(packet, result_code::zone_unreachable);
        return;
    }
    fail_packet(packet, result_code::zone_unreachable);
}

// If all instances of a zone are dead, no one can take over its targets, and waiting would leave
// requests on their flows without an outcome until their deadlines. An instance that has just
// started has not yet received heartbeats from the zone and cannot tell.
bool router::can_be_taken_over(const std::string& target, clock::time_point now) const {
    const auto* found = shared_.configuration.find_target(target);
    const bool has_complete_view = now - shared_.self.started >= takeover_time;
    return found == nullptr || !has_complete_view ||
           !shared_.peers.eligible_owners(found->zone, now).empty();
}

// Another copy of the same request may have taken a path that still works, so "not run" could be
// false for a request. Only the opening of a flow is refused here, because no request precedes its
// acceptance.
void router::fail_packet(const wire::packet& packet, result_code code) {
    if (packet.kind == wire::packet_kind::open) {
        shared_.out.refuse(packet, code, unreachable_retry_after);
        return;
    }
    if (packet.kind == wire::packet_kind::request) {
        shared_.out.answer_unknown(packet, code);
        return;
    }
    shared_.out.drop(packet, code);
}

}  // namespace bramleytrack::entry
