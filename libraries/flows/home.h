// The home of a flow is the owner of the first candidate of the flow's key. It chooses the flow's
// target when the flow is opened, and routes its later packets to that target.
#pragma once

#include <deque>
#include <set>
#include <string>
#include <unordered_map>

#include "configuration/configuration.h"
#include "configuration/history.h"
#include "flows/flow_query_responder.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "flows/lookup.h"
#include "load/placement.h"
#include "load/target_load.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "outbox/packet_path.h"
#include "records/request_table.h"

namespace bramleytrack::flows {

// The record of a flow without packets for this long is dropped, but the flow is not ended: the
// next packet starts a lookup, and the target still holds the flow.
constexpr clock::duration idle_timeout{900'000};

class home {
public:
    // References to the parts of the instance that this class uses.
    struct shared_state {
        const identity& self;
        counters& counts;
        const configuration::configuration& configuration;
        configuration::history& previous;
        membership::peer_table& peers;
        membership::ownership& ownership;
        flows::flow_table& flows;
        flows::location_table& locations;
        records::request_table& requests;
        load::target_loads& loads;
        load::reported_loads& reported_loads;
        load::unreported_placements& placements;
        outbox& out;
    };

    home(const shared_state& shared, packet_path& path);
    home(const home&) = delete;
    home& operator=(const home&) = delete;

    // Handles a packet that has reached its flow's home.
    void handle(wire::forward forwarded, clock::time_point now);
    void on_declined(const wire::placement_declined& declined, clock::time_point now);
    void on_query(std::string_view sender, const wire::flow_query& query, clock::time_point now);
    void on_query_answer(const wire::flow_query_answer& answer, clock::time_point now);
    // Returns true if the reset answers a probe of a lookup and must not reach the caller.
    bool on_target_reset(const configuration::target& target, const wire::packet& content,
                         clock::time_point now);
    void on_locations(std::string_view sender, const wire::flow_locations& locations,
                      clock::time_point now);
    void on_tick(clock::time_point now);

private:
    // Searches the request records of this instance only.
    const records::request* find_local_request(const wire::packet& content) const;
    struct placement_attempt {
        std::set<std::string, std::less<>> declined;  // targets whose owners declined the flow
        clock::time_point since;
    };

    void place(wire::forward forwarded, clock::time_point now);
    void open(wire::forward forwarded, clock::time_point now);
    void send_query(const wire::flow_query& query, clock::time_point now);
    void on_lookup_result(wire::forward held_packet, const std::optional<std::string>& target,
                          clock::time_point now);
    // Whether an earlier home may have opened the flow, so that a lookup must precede its
    // placement.
    bool may_exist_already(const wire::forward& forwarded, clock::time_point now) const;
    void expire_idle_flows(clock::time_point now);
    void expire_placement_attempts(clock::time_point now);
    void forward_to_peer(std::string_view peer, wire::forward forwarded);
    bool belongs_to_other_service(std::string_view target, std::string_view service) const;
    void record_location(routing::flow_key key, std::string_view target, clock::time_point now);
    std::string choose_target(const wire::forward& forwarded, const placement_attempt& attempt,
                              clock::time_point now) const;

    shared_state shared_;
    packet_path& path_;
    clock::time_point last_expiry_;
    lookup lookup_;
    flow_query_responder flow_query_responder_;
    std::unordered_map<routing::flow_key, placement_attempt> placement_attempts_;
    // Keys of placement_attempts_, oldest first. A key is repeated each time its attempt is
    // renewed.
    std::deque<routing::flow_key> placement_attempt_order_;
};

}  // namespace bramleytrack::flows
