#include "flows/home.h"

#include <algorithm>

#include "entry/router.h"
#include "flows/erase_flow.h"
#include "load/admission.h"
#include "load/placement.h"

namespace bramleytrack::flows {
namespace {

// A placement attempt that is older than this is restarted by the caller's next copy of the opening
// packet.
constexpr clock::duration placement_timeout{5'000};
// Retry-After when no candidate is eligible: all are full, draining or without an owner, or there
// is none. Targets free connections within seconds.
constexpr clock::duration no_candidate_retry_after{2'000};

}  // namespace

home::home(const shared_state& shared, packet_path& path)
    : shared_{shared},
      path_{path},
      lookup_{
          {.configuration = shared.configuration, .previous = shared.previous, .out = shared.out},
          [this](const wire::flow_query& query, clock::time_point now) { send_query(query, now); },
          [this](wire::forward held_packet, const std::optional<std::string>& target,
                 clock::time_point now) { on_lookup_result(std::move(held_packet), target, now); }},
      flow_query_responder_{{.self = shared.self,
                             .configuration = shared.configuration,
                             .ownership = shared.ownership,
                             .flows = shared.flows,
                             .locations = shared.locations,
                             .out = shared.out},
                            [this](std::string_view requester,
                                   const wire::flow_query_answer& answer, clock::time_point now) {
                                if (requester == shared_.self.name) {
                                    lookup_.on_answer(answer, now);
                                    return;
                                }
                                wire::peer_message message;
                                message.__set_query_answer(answer);
                                shared_.out.send_peer(requester, std::move(message));
                            }} {}

// If a caller closes its flow while the answer to its request is lost, the copy of the request
// finds no flow and would be answered "unknown". The owner's request record outlives the flow and
// has the answer. Only the records of this instance are searched, so this helps only if it also
// owns the target of the request.
const records::request* home::find_local_request(const wire::packet& content) const {
    const bool is_about_request =
        content.kind == wire::packet_kind::request || content.kind == wire::packet_kind::cancel;
    return is_about_request ? shared_.requests.find({routing::key_of(content), content.request})
                            : nullptr;
}

void home::handle(wire::forward forwarded, clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    const auto* existing = shared_.flows.find(key);
    if (existing != nullptr && !is_same_flow(*existing, forwarded.content)) {
        shared_.out.drop(forwarded.content, result_code::wrong_service);
        return;
    }
    const auto target = existing != nullptr ? existing->record.target : shared_.locations.find(key);
    const bool is_opening_packet = forwarded.content.kind == wire::packet_kind::open;
    if (is_opening_packet && belongs_to_other_service(target, forwarded.service_name)) {
        // The address has been reassigned to another service since the flow with this number was
        // opened.
        erase_flow(shared_.flows, shared_.loads, key);
        shared_.locations.erase(key);
        open(std::move(forwarded), now);
        return;
    }
    if (target.empty()) {
        if (is_opening_packet) {
            open(std::move(forwarded), now);
        } else if (const auto* request = find_local_request(forwarded.content)) {
            forwarded.target = request->target;
            path_.to_owner(std::move(forwarded), now);
        } else {
            lookup_.start(std::move(forwarded), now);
        }
        return;
    }
    forwarded.target = target;
    shared_.locations.touch(key, now);
    if (forwarded.content.kind == wire::packet_kind::close) {
        shared_.locations.erase(key);
    }
    path_.to_owner(std::move(forwarded), now);
}

bool home::belongs_to_other_service(std::string_view target, std::string_view service) const {
    const auto* found = shared_.configuration.find_target(target);
    return found != nullptr && found->service != service;
}

void home::place(wire::forward forwarded, clock::time_point now) {
    const auto key = routing::key_of(forwarded.content);
    auto& attempt = placement_attempts_[key];
    if (now - attempt.since >= placement_timeout) {
        attempt = {.declined = {}, .since = now};
        placement_attempt_order_.push_back(key);
    }
    forwarded.target = choose_target(forwarded, attempt, now);
    if (forwarded.target.empty()) {
        placement_attempts_.erase(key);
        shared_.out.log(log_event{"flow_refused"}
                            .with("service", forwarded.service_name)
                            .with("member", forwarded.content.member)
                            .with("reason", "no eligible candidate"));
        shared_.out.refuse(forwarded.content, result_code::no_eligible_target,
                           no_candidate_retry_after);
        return;
    }
    record_location(key, forwarded.target, now);
    forwarded.is_new = true;
    if (shared_.ownership.find(forwarded.target) == nullptr) {
        shared_.placements.record_placement(forwarded.target);
    }
    path_.to_owner(std::move(forwarded), now);
}

std::string home::choose_target(const wire::forward& forwarded, const placement_attempt& attempt,
                                clock::time_point now) const {
    const auto targets = routing::candidates_of(shared_.configuration, forwarded.service_name,
                                                routing::key_of(forwarded.content));
    std::vector<load::candidate> candidates;
    for (const auto* target : targets) {
        load::candidate each;
        each.is_eligible = target->state == configuration::target_state::active &&
                           !attempt.declined.contains(target->name);
        const auto owned = shared_.loads.find(target->name);
        const auto reported = shared_.reported_loads.find(target->name);
        if (shared_.ownership.find(target->name) != nullptr && owned != shared_.loads.end()) {
            each.is_eligible = each.is_eligible && load::admits_flow(*target, owned->second, now);
            each.relative_load = owned->second.connections / target->weight;
        } else if (reported != shared_.reported_loads.end()) {
            const int expected =
                reported->second.connections + shared_.placements.placed_since_report(target->name);
            each.is_eligible = each.is_eligible && expected < reported->second.bound;
            each.relative_load = expected / target->weight;
        }
        const auto owner = shared_.ownership.owner_of(*target, shared_.peers, now);
        each.is_eligible = each.is_eligible && !owner.empty();
        candidates.push_back(each);
    }
    const auto order = load::order_candidates(candidates);
    return order.empty() ? std::string{} : targets[order.front()]->name;
}

void home::on_declined(const wire::placement_declined& declined, clock::time_point now) {
    wire::forward retry;
    retry.content = declined.content;
    const auto key = routing::key_of(declined.content);
    const auto* existing = shared_.flows.find(key);
    const auto target = existing != nullptr ? existing->record.target : shared_.locations.find(key);
    if (!target.empty() && target != declined.target) {
        return;  // a stale duplicate: the flow has been placed on another target since
    }
    if (target.empty() && !placement_attempts_.contains(key)) {
        return;  // a late duplicate: this home has no placement attempt for the flow
    }
    erase_flow(shared_.flows, shared_.loads, key);
    shared_.locations.erase(key);
    const auto* service =
        shared_.configuration.find_service_by_address(declined.content.service_address);
    if (service == nullptr) {
        return;
    }
    retry.service_name = service->name;
    auto& attempt = placement_attempts_[key];
    attempt.declined.insert(declined.target);
    attempt.since = now;
    placement_attempt_order_.push_back(key);
    place(std::move(retry), now);
}

// A copy of the opening packet may have been handled by an earlier home of the flow; placing the
// flow again would open it at two targets. An instance that has been the home for less than
// opening_lifetime therefore runs a lookup first.
bool home::may_exist_already(const wire::forward& forwarded, clock::time_point now) const {
    const auto key = routing::key_of(forwarded.content);
    const auto targets = routing::candidates_of(shared_.configuration, forwarded.service_name, key);
    if (targets.empty()) {
        return false;
    }
    const auto* owned = shared_.ownership.find(targets.front()->name);
    if (owned != nullptr && now - owned->since < opening_lifetime) {
        return true;
    }
    return std::ranges::any_of(shared_.previous.all(), [&](const auto& each) {
        if (each.replaced && now - *each.replaced >= opening_lifetime) {
            return false;
        }
        const auto before = routing::candidates_of(each.content, forwarded.service_name, key);
        return !before.empty() && before.front()->name != targets.front()->name;
    });
}

void home::open(wire::forward forwarded, clock::time_point now) {
    const auto other_home =
        flow_query_responder_.home_delegated_to(routing::key_of(forwarded.content), now);
    if (!other_home.empty()) {
        forward_to_peer(other_home, std::move(forwarded));
        return;
    }
    if (may_exist_already(forwarded, now)) {
        lookup_.start(std::move(forwarded), now);
        return;
    }
    place(std::move(forwarded), now);
}

void home::send_query(const wire::flow_query& query, clock::time_point now) {
    const auto* target = shared_.configuration.find_target(query.content.target);
    if (target == nullptr) {
        return;
    }
    const auto owner = shared_.ownership.owner_of(*target, shared_.peers, now);
    if (owner == shared_.self.name) {
        flow_query_responder_.on_query(owner, query, now);
    } else if (!owner.empty()) {
        wire::peer_message message;
        message.__set_query(query);
        shared_.out.send_peer(owner, std::move(message));
    }
}

void home::on_query(std::string_view sender, const wire::flow_query& query, clock::time_point now) {
    // Two instances with different configurations may both consider themselves the home of one new
    // flow. The one with the lexicographically smaller name continues; the other forwards its
    // packet to that peer.
    const auto key = routing::key_of(query.content.content);
    if (lookup_.is_opening(key)) {
        if (std::string_view{shared_.self.name} < sender) {
            return;
        }
        if (auto held_packet = lookup_.abandon(key)) {
            forward_to_peer(sender, std::move(*held_packet));
        }
    }
    flow_query_responder_.on_query(sender, query, now);
}

void home::on_query_answer(const wire::flow_query_answer& answer, clock::time_point now) {
    lookup_.on_answer(answer, now);
}

bool home::on_target_reset(const configuration::target& target, const wire::packet& content,
                           clock::time_point now) {
    return flow_query_responder_.on_reset(target, content, now);
}

void home::on_lookup_result(wire::forward held_packet, const std::optional<std::string>& target,
                            clock::time_point now) {
    if (!target) {
        if (held_packet.content.kind == wire::packet_kind::open) {
            place(std::move(held_packet), now);
        } else {
            // The request may have run before the flow ended, and a reset alone would leave its
            // caller without an outcome.
            if (held_packet.content.kind == wire::packet_kind::request) {
                shared_.out.answer_unknown(held_packet.content, result_code::unknown_flow);
            }
            shared_.out.send_caller(
                reply_to(held_packet.content, wire::packet_kind::reset, result_code::unknown_flow));
        }
        return;
    }
    held_packet.target = *target;
    record_location(routing::key_of(held_packet.content), *target, now);
    path_.to_owner(std::move(held_packet), now);
}

void home::forward_to_peer(std::string_view peer, wire::forward forwarded) {
    if (++forwarded.hops > entry::max_hops) {
        shared_.out.drop(forwarded.content, result_code::too_many_hops);
        return;
    }
    forwarded.role = wire::forward_role::to_home;
    ++shared_.counts.packets_forwarded;
    wire::peer_message message;
    message.__set_forwarded(forwarded);
    shared_.out.send_peer(peer, std::move(message));
}

void home::on_locations(std::string_view sender, const wire::flow_locations& locations,
                        clock::time_point now) {
    for (const auto& group : locations.groups) {
        for (const auto each : group.keys) {
            record_location(static_cast<routing::flow_key>(each), group.target, now);
        }
    }
    wire::flow_locations_acknowledged acknowledged;
    acknowledged.batch = locations.batch;
    wire::peer_message message;
    message.__set_locations_acknowledged(acknowledged);
    shared_.out.send_peer(sender, std::move(message));
}

// No location is stored for a flow that has a flow record here or whose target this instance owns:
// the flow record of an owned target already gives the location. A peer's report of a location is
// derived from such a record, so the local record takes precedence.
void home::record_location(routing::flow_key key, std::string_view target, clock::time_point now) {
    if (shared_.flows.find(key) == nullptr && shared_.ownership.find(target) == nullptr) {
        shared_.locations.put(key, target, now);
    }
}

void home::expire_idle_flows(clock::time_point now) {
    constexpr clock::duration interval{60'000};  // the scan visits every flow
    if (now - last_expiry_ < interval) {
        return;
    }
    last_expiry_ = now;
    for (const auto key : shared_.flows.unused_since(now - idle_timeout)) {
        erase_flow(shared_.flows, shared_.loads, key);
    }
    shared_.locations.erase_idle(now - idle_timeout);
}

void home::on_tick(clock::time_point now) {
    shared_.previous.on_tick(now);
    expire_idle_flows(now);
    lookup_.on_tick(now);
    flow_query_responder_.on_tick(now);
    expire_placement_attempts(now);
}

// Visits only attempts that are due: at thousands of new flows a second there are too many recent
// attempts to scan all of them on every tick.
void home::expire_placement_attempts(clock::time_point now) {
    while (!placement_attempt_order_.empty()) {
        const auto found = placement_attempts_.find(placement_attempt_order_.front());
        if (found != placement_attempts_.end() && now - found->second.since < placement_timeout) {
            return;
        }
        if (found != placement_attempts_.end()) {
            placement_attempts_.erase(found);
        }
        placement_attempt_order_.pop_front();
    }
}

}  // namespace bramleytrack::flows
