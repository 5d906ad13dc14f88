#include "instance/instance.h"

#include "routing/candidates.h"

namespace bramleytrack {

instance::instance(identity self)
    : context_{std::move(self)},
      router_{{.self = context_.self,
               .counts = context_.counts,
               .configuration = context_.configuration,
               .peers = context_.peers,
               .ownership = context_.ownership,
               .out = context_.out},
              *this},
      baseline_{{.counts = context_.counts,
                 .configuration = context_.configuration,
                 .out = context_.out}},
      home_{{.self = context_.self,
             .counts = context_.counts,
             .configuration = context_.configuration,
             .previous = context_.previous,
             .peers = context_.peers,
             .ownership = context_.ownership,
             .flows = context_.flows,
             .locations = context_.locations,
             .requests = context_.requests,
             .loads = context_.loads,
             .reported_loads = context_.reported_loads,
             .placements = context_.placements,
             .out = context_.out},
            *this},
      location_announcer_{{.self = context_.self,
                           .configuration = context_.configuration,
                           .peers = context_.peers,
                           .ownership = context_.ownership,
                           .flows = context_.flows,
                           .out = context_.out}},
      flow_resetter_{{.configuration = context_.configuration,
                      .flows = context_.flows,
                      .locations = context_.locations,
                      .loads = context_.loads,
                      .out = context_.out}},
      target_owner_{{.self = context_.self,
                     .counts = context_.counts,
                     .configuration = context_.configuration,
                     .peers = context_.peers,
                     .ownership = context_.ownership,
                     .flows = context_.flows,
                     .requests = context_.requests,
                     .loads = context_.loads,
                     .reported_loads = context_.reported_loads,
                     .out = context_.out},
                    *this},
      membership_{
          {.self = context_.self,
           .configuration = context_.configuration,
           .is_configuration_confirmed = context_.is_configuration_confirmed,
           .peers = context_.peers,
           .ownership = context_.ownership,
           .is_leaving = context_.is_leaving,
           .flows = context_.flows,
           .locations = context_.locations,
           .requests = context_.requests,
           .loads = context_.loads,
           .reported_loads = context_.reported_loads,
           .placements = context_.placements,
           .out = context_.out},
          [this](const configuration::target& target, membership::origin origin) {
              target_owner_.on_acquired(target, origin, now_);
          },
          [this](const configuration::target& target) { target_owner_.on_merged(target, now_); }},
      configuration_sync_{{.configuration = context_.configuration,
                           .is_configuration_confirmed = context_.is_configuration_confirmed,
                           .previous = context_.previous,
                           .out = context_.out}},
      now_{context_.self.started} {}

void instance::on_caller_packet(wire::packet content, clock::time_point now) {
    begin_event(now);
    if (is_baseline()) {
        baseline_.on_caller_packet(std::move(content));
        return;
    }
    router_.on_caller_packet(std::move(content), now);
}

void instance::on_target_packet(std::string_view address, const wire::packet& content,
                                clock::time_point now) {
    begin_event(now);
    if (is_baseline()) {
        baseline_.on_target_packet(content);
        return;
    }
    const auto* target = context_.configuration.find_target_by_address(address);
    if (target == nullptr) {
        context_.out.drop(content, result_code::malformed_datagram);
        return;
    }
    const bool is_reset = content.kind == wire::packet_kind::reset;
    if (is_reset && home_.on_target_reset(*target, content, now)) {
        return;
    }
    route_target_packet(*target, content, now);
}

// A target answers the instance that sent it the request, which may have handed the target over
// since. Without routing, the answer would be lost and the new owner would report the outcome as
// unknown.
void instance::route_target_packet(const configuration::target& target, const wire::packet& content,
                                   clock::time_point now) {
    if (context_.ownership.find(target.name) != nullptr) {
        target_owner_.on_target_packet(target.address, content, now);
        return;
    }
    if (context_.ownership.is_moving(target.name)) {
        if (!membership_.held().hold(target.name, content)) {
            context_.out.drop(content, result_code::not_owner);
        }
        return;
    }
    const auto owner = context_.ownership.owner_of(target, context_.peers, now);
    if (owner.empty()) {
        context_.out.drop(content, result_code::not_owner);
        return;
    }
    wire::peer_message message;
    wire::target_packet relayed;
    relayed.target = target.name;
    relayed.content = content;
    message.__set_from_target(relayed);
    context_.out.send_peer(owner, std::move(message));
}

void instance::begin_event(clock::time_point now) {
    now_ = now;
    membership_.check_pause(now);
}

void instance::route_released(clock::time_point now) {
    auto [forwards, from_targets] = membership_.held().take_released();
    for (auto& each : forwards) {
        on_forward(std::move(each), now);
    }
    for (const auto& each : from_targets) {
        if (const auto* target = context_.configuration.find_target(each.target)) {
            route_target_packet(*target, each.content, now);
        }
    }
}

void instance::on_peer_message(const wire::peer_message& message, clock::time_point now) {
    begin_event(now);
    if (context_.peers.accept_message(message, now)) {
        dispatch_message(message, now);
        route_released(now);
    }
}

void instance::dispatch_message(const wire::peer_message& message, clock::time_point now) {
    if (message.__isset.beat) {
        membership_.on_heartbeat(message, now);
        configuration_sync_.on_heartbeat(message, now);
    }
    if (message.__isset.forwarded) {
        on_forward(message.forwarded, now);
    }
    if (message.__isset.declined) {
        home_.on_declined(message.declined, now);
    }
    if (message.__isset.locations) {
        home_.on_locations(message.sender, message.locations, now);
    }
    if (message.__isset.locations_acknowledged) {
        location_announcer_.on_acknowledged(message.locations_acknowledged);
    }
    if (message.__isset.query) {
        home_.on_query(message.sender, message.query, now);
    }
    if (message.__isset.query_answer) {
        home_.on_query_answer(message.query_answer, now);
    }
    if (message.__isset.wanted) {
        membership_.on_ownership_request(message.sender, message.wanted, now);
    }
    if (message.__isset.handed_over) {
        membership_.on_hand_over(message, now);
    }
    if (message.__isset.acknowledged) {
        membership_.on_acknowledged(message.sender, message.acknowledged, now);
    }
    if (message.__isset.from_target) {
        const auto* target = context_.configuration.find_target(message.from_target.target);
        if (target != nullptr && context_.ownership.find(target->name) != nullptr) {
            target_owner_.on_target_packet(target->address, message.from_target.content, now);
        }
    }
    if (message.__isset.configuration_request) {
        configuration_sync_.on_request(message.sender, message.configuration_request);
    }
    if (message.__isset.configuration) {
        configuration_sync_.on_part(message.sender, message.configuration, now);
    }
}

void instance::on_forward(wire::forward forwarded, clock::time_point now) {
    if (forwarded.role == wire::forward_role::to_owner) {
        router_.forward_to_owner(std::move(forwarded), now);
    } else {
        router_.forward_to_home(std::move(forwarded), now);
    }
}

void instance::on_configuration(std::string_view text, std::int64_t version,
                                clock::time_point now) {
    begin_event(now);
    configuration_sync_.on_store(text, version);
}

void instance::on_instance_list(std::span<const membership::listed_instance> listed) {
    context_.peers.set_listed(listed, now_);
}

void instance::on_tick(clock::time_point now) {
    begin_event(now);
    membership_.on_tick(now);
    route_released(now);
    target_owner_.on_tick(now);
    home_.on_tick(now);
    flow_resetter_.on_tick();
    if (membership_.take_view_changed()) {
        location_announcer_.request_scan();
    }
    location_announcer_.on_tick(now);
}

void instance::to_home(wire::forward forwarded, clock::time_point now) {
    home_.handle(std::move(forwarded), now);
}

void instance::to_owner(wire::forward forwarded, clock::time_point now) {
    if (context_.ownership.find(forwarded.target) != nullptr) {
        target_owner_.handle(std::move(forwarded), now);
        return;
    }
    router_.forward_to_owner(std::move(forwarded), now);
}

void instance::hold(std::string_view target, wire::forward forwarded) {
    if (!membership_.held().hold(target, forwarded)) {
        context_.out.drop(forwarded.content, result_code::not_owner);
    }
}

void instance::decline(const wire::placement_declined& declined, clock::time_point now) {
    const auto* service =
        context_.configuration.find_service_by_address(declined.content.service_address);
    if (service == nullptr) {
        return;
    }
    const auto candidates = routing::candidates_of(context_.configuration, service->name,
                                                   routing::key_of(declined.content));
    if (candidates.empty()) {
        return;
    }
    const auto home = context_.ownership.owner_of(*candidates.front(), context_.peers, now);
    if (home == context_.self.name) {
        home_.on_declined(declined, now);
        return;
    }
    wire::peer_message message;
    message.__set_declined(declined);
    context_.out.send_peer(home, std::move(message));
}

}  // namespace bramleytrack
