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
    wire::forward first;
    first.service_name = service->name;
    first.role = wire::forward_role::to_home;
    first.content = std::move(content);
    forward_to_home(std::move(first), now);
}

void router::forward_to_home(wire::forward content, clock::time_point now) {
    const auto candidates = routing::candidates_of(shared_.configuration, content.service_name,
                                                   routing::key_of(content.content));
    if (candidates.empty()) {
        give_up(content.content, result_code::no_eligible_target);
        return;
    }
    if (shared_.ownership.is_moving(candidates.front()->name)) {
        path_.hold(candidates.front()->name, std::move(content));
        return;
    }
    const auto home = shared_.ownership.owner_of(*candidates.front(), shared_.peers, now);
    if (home == shared_.self.name) {
        path_.to_home(std::move(content), now);
        return;
    }
    if (home.empty()) {
        on_no_owner(candidates.front()->name, content.content, now);
        return;
    }
    without_owner_.erase(candidates.front()->name);
    content.role = wire::forward_role::to_home;
    pass_on(std::move(content), home);
}

void router::forward_to_owner(wire::forward content, clock::time_point now) {
    const auto* target = shared_.configuration.find_target(content.target);
    if (target == nullptr) {
        give_up(content.content, result_code::unknown_flow);
        return;
    }
    if (shared_.ownership.is_moving(target->name)) {
        path_.hold(target->name, std::move(content));
        return;
    }
    const auto owner = shared_.ownership.owner_of(*target, shared_.peers, now);
    if (owner == shared_.self.name) {
        path_.to_owner(std::move(content), now);
        return;
    }
    if (owner.empty()) {
        on_no_owner(target->name, content.content, now);
        return;
    }
    without_owner_.erase(target->name);
    content.role = wire::forward_role::to_owner;
    pass_on(std::move(content), owner);
}

void router::pass_on(wire::forward content, std::string_view peer) {
    if (++content.hops > max_hops) {
        shared_.out.drop(content.content, result_code::too_many_hops);
        return;
    }
    ++shared_.counts.packets_forwarded;
    wire::peer_message message;
    message.__set_forwarded(content);
    shared_.out.send_peer(peer, std::move(message));
}

// Failure: an instance that has just started, or sees a target between two owners, tells a caller
// "unknown" of a request that another instance has its answer of. Within the time that a takeover
// lasts nothing has been given up: the caller's next copy finds the owner.
void router::on_no_owner(const std::string& target, const wire::packet& subject,
                         clock::time_point now) {
    const auto since = without_owner_.try_emplace(target, now).first->second;
    const bool is_request = subject.kind == wire::packet_kind::request;
    if (is_request && now - since < takeover_time && can_be_taken_over(target, now)) {
        shared_.out.drop(subject, result_code::zone_unreachable);
        return;
    }
    give_up(subject, result_code::zone_unreachable);
}

// Failure: all instances of a zone die, nobody can take its targets over, and requests on their
// flows get no outcome before their deadlines. An instance that has just started hasn't heard of
// the zone's instances yet and can't know.
bool router::can_be_taken_over(const std::string& target, clock::time_point now) const {
    const auto* subject = shared_.configuration.find_target(target);
    const bool knows_peers = now - shared_.self.started >= takeover_time;
    return subject == nullptr || !knows_peers ||
           !shared_.peers.eligible_owners(subject->zone, now).empty();
}

// Failure: another copy of the same request may have taken a path that still works, so "not run"
// could be false. Only the opening of a flow is refused here: no request precedes its acceptance.
void router::give_up(const wire::packet& subject, result_code code) {
    if (subject.kind == wire::packet_kind::open) {
        shared_.out.refuse(subject, code, unreachable_retry_after);
        return;
    }
    if (subject.kind == wire::packet_kind::request) {
        shared_.out.answer_unknown(subject, code);
        return;
    }
    shared_.out.drop(subject, code);
}

}  // namespace bramleytrack::entry
