#include "flows/home.h"

#include <algorithm>

#include "entry/router.h"
#include "flows/forget_flow.h"
#include "load/admission.h"
#include "load/placement.h"

namespace bramleytrack::flows {
namespace {

// A placement that got no answer for so long is begun anew by the caller's next copy.
constexpr clock::duration placing_timeout{5'000};
// Come-back time when no candidate has room: targets free connections within seconds.
constexpr clock::duration no_room_come_back{2'000};

}  // namespace

home::home(const shared_state& shared, packet_path& path)
    : shared_{shared},
      path_{path},
      lookup_{
          {.configuration = shared.configuration, .previous = shared.previous, .out = shared.out},
          [this](const wire::flow_query& query, clock::time_point now) { ask(query, now); },
          [this](wire::forward held, const std::optional<std::string>& target,
                 clock::time_point now) { on_looked_up(std::move(held), target, now); }},
      flow_query_responder_{{.self = shared.self,
                             .configuration = shared.configuration,
                             .ownership = shared.ownership,
                             .flows = shared.flows,
                             .locations = shared.locations,
                             .out = shared.out},
                            [this](std::string_view asker, const wire::flow_query_answer& answer,
                                   clock::time_point now) {
                                if (asker == shared_.self.name) {
                                    lookup_.on_answer(answer, now);
                                    return;
                                }
                                wire::peer_message message;
                                message.__set_query_answer(answer);
                                shared_.out.send_peer(asker, std::move(message));
                            }} {}

// Failure: a caller closes its flow while the answer to its request is lost, and the copy of the
// request is told "unknown". The owner's record outlives the flow and has the answer.
const records::request* home::find_request(const wire::packet& content) const {
    const bool is_about_request =
        content.kind == wire::packet_kind::request || content.kind == wire::packet_kind::cancel;
    return is_about_request ? shared_.requests.find({routing::key_of(content), content.request})
                            : nullptr;
}

void home::handle(wire::forward content, clock::time_point now) {
    const auto key = routing::key_of(content.content);
    const auto* known = shared_.flows.find(key);
    if (known != nullptr && !is_same_flow(*known, content.content)) {
        shared_.out.drop(content.content, result_code::wrong_service);
        return;
    }
    const auto target = known != nullptr ? known->record.target : shared_.locations.find(key);
    const bool is_open = content.content.kind == wire::packet_kind::open;
    if (is_open && is_of_other_service(target, content.service_name)) {
        // The address belongs to another service than when the flow of this number was opened.
        forget_flow(shared_.flows, shared_.loads, key);
        shared_.locations.erase(key);
        open(std::move(content), now);
        return;
    }
    if (target.empty()) {
        if (is_open) {
            open(std::move(content), now);
        } else if (const auto* asked = find_request(content.content)) {
            content.target = asked->target;
            path_.to_owner(std::move(content), now);
        } else {
            lookup_.start(std::move(content), now);
        }
        return;
    }
    content.target = target;
    shared_.locations.touch(key, now);
    if (content.content.kind == wire::packet_kind::close) {
        shared_.locations.erase(key);
    }
    path_.to_owner(std::move(content), now);
}

bool home::is_of_other_service(std::string_view target, std::string_view service) const {
    const auto* found = shared_.configuration.find_target(target);
    return found != nullptr && found->service != service;
}

void home::place(wire::forward content, clock::time_point now) {
    const auto key = routing::key_of(content.content);
    auto& attempt = placing_[key];
    if (now - attempt.since >= placing_timeout) {
        attempt = {.declined = {}, .since = now};
        placing_order_.push_back(key);
    }
    content.target = choose_target(content, attempt, now);
    if (content.target.empty()) {
        placing_.erase(key);
        shared_.out.log(log_event{"flow_refused"}
                            .with("service", content.service_name)
                            .with("member", content.content.member)
                            .with("reason", "no candidate has room"));
        shared_.out.refuse(content.content, result_code::no_eligible_target, no_room_come_back);
        return;
    }
    remember(key, content.target, now);
    content.is_new = true;
    if (shared_.ownership.find(content.target) == nullptr) {
        shared_.placements.record_placement(content.target);
    }
    path_.to_owner(std::move(content), now);
}

std::string home::choose_target(const wire::forward& content, const placing& attempt,
                                clock::time_point now) const {
    const auto targets = routing::candidates_of(shared_.configuration, content.service_name,
                                                routing::key_of(content.content));
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
    wire::forward again;
    again.content = declined.content;
    const auto key = routing::key_of(declined.content);
    const auto* known = shared_.flows.find(key);
    const auto target = known != nullptr ? known->record.target : shared_.locations.find(key);
    if (!target.empty() && target != declined.target) {
        return;  // an older copy of the answer: the flow is placed elsewhere by now
    }
    if (target.empty() && !placing_.contains(key)) {
        return;  // a late copy: this home isn't placing the flow
    }
    forget_flow(shared_.flows, shared_.loads, key);
    shared_.locations.erase(key);
    const auto* service =
        shared_.configuration.find_service_by_address(declined.content.service_address);
    if (service == nullptr) {
        return;
    }
    again.service_name = service->name;
    auto& attempt = placing_[key];
    attempt.declined.insert(declined.target);
    attempt.since = now;
    placing_order_.push_back(key);
    place(std::move(again), now);
}

// Failure: a copy of the opening packet was treated by an earlier home of the flow, and placing the
// flow anew opens it at two targets. A home that is younger than such copies can be looks first.
bool home::may_be_open(const wire::forward& content, clock::time_point now) const {
    const auto key = routing::key_of(content.content);
    const auto targets = routing::candidates_of(shared_.configuration, content.service_name, key);
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
        const auto before = routing::candidates_of(each.content, content.service_name, key);
        return !before.empty() && before.front()->name != targets.front()->name;
    });
}

void home::open(wire::forward content, clock::time_point now) {
    const auto other_home = flow_query_responder_.ceded_to(routing::key_of(content.content), now);
    if (!other_home.empty()) {
        forward_to(other_home, std::move(content));
        return;
    }
    if (may_be_open(content, now)) {
        lookup_.start(std::move(content), now);
        return;
    }
    place(std::move(content), now);
}

void home::ask(const wire::flow_query& query, clock::time_point now) {
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
    // Two instances with different configurations each take themselves for the home of one new
    // flow. The one whose name comes first goes on; the other passes its packet there.
    const auto key = routing::key_of(query.content.content);
    if (lookup_.is_opening(key)) {
        if (std::string_view{shared_.self.name} < sender) {
            return;
        }
        if (auto held = lookup_.abandon(key)) {
            forward_to(sender, std::move(*held));
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

void home::on_looked_up(wire::forward held, const std::optional<std::string>& target,
                        clock::time_point now) {
    if (!target) {
        if (held.content.kind == wire::packet_kind::open) {
            place(std::move(held), now);
        } else {
            // The request may have run before the flow ended, so the reset alone leaves its caller
            // without an outcome.
            if (held.content.kind == wire::packet_kind::request) {
                shared_.out.answer_unknown(held.content, result_code::unknown_flow);
            }
            shared_.out.send_caller(
                reply_to(held.content, wire::packet_kind::reset, result_code::unknown_flow));
        }
        return;
    }
    held.target = *target;
    remember(routing::key_of(held.content), *target, now);
    path_.to_owner(std::move(held), now);
}

void home::forward_to(std::string_view peer, wire::forward content) {
    if (++content.hops > entry::max_hops) {
        shared_.out.drop(content.content, result_code::too_many_hops);
        return;
    }
    content.role = wire::forward_role::to_home;
    ++shared_.counts.packets_forwarded;
    wire::peer_message message;
    message.__set_forwarded(content);
    shared_.out.send_peer(peer, std::move(message));
}

void home::on_locations(std::string_view sender, const wire::flow_locations& locations,
                        clock::time_point now) {
    for (const auto& group : locations.groups) {
        for (const auto each : group.keys) {
            remember(static_cast<routing::flow_key>(each), group.target, now);
        }
    }
    wire::flow_locations_acknowledged acknowledged;
    acknowledged.batch = locations.batch;
    wire::peer_message message;
    message.__set_locations_acknowledged(acknowledged);
    shared_.out.send_peer(sender, std::move(message));
}

// A record of this instance's own goes before what a peer says: it is the original.
void home::remember(routing::flow_key key, std::string_view target, clock::time_point now) {
    if (shared_.flows.find(key) == nullptr && shared_.ownership.find(target) == nullptr) {
        shared_.locations.put(key, target, now);
    }
}

void home::expire(clock::time_point now) {
    constexpr clock::duration interval{60'000};  // the scan reads every flow
    if (now - last_expiry_ < interval) {
        return;
    }
    last_expiry_ = now;
    for (const auto key : shared_.flows.unused_since(now - idle_timeout)) {
        forget_flow(shared_.flows, shared_.loads, key);
    }
    shared_.locations.erase_idle(now - idle_timeout);
}

void home::on_tick(clock::time_point now) {
    shared_.previous.on_tick(now);
    expire(now);
    lookup_.on_tick(now);
    flow_query_responder_.on_tick(now);
    end_old_placings(now);
}

// Reads only what is due: at thousands of new flows a second the placings of the last seconds are
// too many to be looked through on every tick.
void home::end_old_placings(clock::time_point now) {
    while (!placing_order_.empty()) {
        const auto found = placing_.find(placing_order_.front());
        if (found != placing_.end() && now - found->second.since < placing_timeout) {
            return;
        }
        if (found != placing_.end()) {
            placing_.erase(found);
        }
        placing_order_.pop_front();
    }
}

}  // namespace bramleytrack::flows
