// One balancer instance without I/O: takes events and times, and returns actions.
//
// Deterministic: the same events at the same times give the same actions. Owns the subsystems and
// dispatches each event to the one that handles it.
#pragma once

#include <span>

#include "distribution/configuration_sync.h"
#include "entry/plain_hashing.h"
#include "entry/router.h"
#include "flows/flow_resetter.h"
#include "flows/home.h"
#include "flows/location_announcer.h"
#include "hand_over/membership_protocol.h"
#include "instance/context.h"
#include "requests/target_owner.h"

namespace bramleytrack {

class instance final : private packet_path {
public:
    explicit instance(identity self);

    void on_caller_packet(wire::packet content, clock::time_point now);
    void on_target_packet(std::string_view address, const wire::packet& content,
                          clock::time_point now);
    void on_peer_message(const wire::peer_message& message, clock::time_point now);
    void on_configuration(std::string_view text, std::int64_t version, clock::time_point now);
    void on_instance_list(std::span<const membership::listed_instance> listed);
    void on_tick(clock::time_point now);

    // Starts a planned leave: targets are handed over to the zone's other instances.
    void leave() { membership_.leave(); }
    bool may_stop() const { return membership_.may_stop(); }

    // True once if the store has to be read regardless of its version, see
    // distribution::configuration_sync.
    bool take_store_wanted() { return configuration_sync_.take_store_reread_needed(); }

    std::vector<action> take_actions() { return context_.out.take_actions(); }
    const context& state() const { return context_; }

private:
    void to_home(wire::forward forwarded, clock::time_point now) override;
    void to_owner(wire::forward forwarded, clock::time_point now) override;
    void hold(std::string_view target, wire::forward forwarded) override;
    void decline(const wire::placement_declined& declined, clock::time_point now) override;
    bool is_baseline() const { return context_.self.strategy == routing_strategy::plain_hashing; }
    void on_forward(wire::forward forwarded, clock::time_point now);
    // Routes a target's packet to the owner of the target, whichever instance receives it.
    void route_target_packet(const configuration::target& target, const wire::packet& content,
                             clock::time_point now);
    void begin_event(clock::time_point now);
    void dispatch_message(const wire::peer_message& message, clock::time_point now);
    void route_released(clock::time_point now);

    context context_;
    entry::router router_;
    entry::plain_hashing baseline_;
    flows::home home_;
    flows::location_announcer location_announcer_;
    flows::flow_resetter flow_resetter_;
    requests::target_owner target_owner_;
    hand_over::membership_protocol membership_;
    distribution::configuration_sync configuration_sync_;
    clock::time_point now_;  // time of the current event
};

}  // namespace bramleytrack
