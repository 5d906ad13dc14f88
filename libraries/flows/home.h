// The home of a flow: places it when it opens and knows afterwards where it is.
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

// A flow that nobody used for this long is forgotten here, not ended: should it be used after all,
// it is looked up, and its target still knows it.
constexpr clock::duration idle_timeout{900'000};

class home {
public:
    // What it needs of the instance.
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

    // `content` has reached its flow's home.
    void handle(wire::forward content, clock::time_point now);
    void on_declined(const wire::placement_declined& declined, clock::time_point now);
    void on_query(std::string_view sender, const wire::flow_query& query, clock::time_point now);
    void on_query_answer(const wire::flow_query_answer& answer, clock::time_point now);
    // Returns true when the reset concerns a lookup and no caller.
    bool on_target_reset(const configuration::target& target, const wire::packet& content,
                         clock::time_point now);
    void on_locations(std::string_view sender, const wire::flow_locations& locations,
                      clock::time_point now);
    void on_tick(clock::time_point now);

private:
    const records::request* find_request(const wire::packet& content) const;
    struct placing {
        std::set<std::string, std::less<>> declined;  // targets that had no room
        clock::time_point since;
    };

    void place(wire::forward content, clock::time_point now);
    void open(wire::forward content, clock::time_point now);
    void ask(const wire::flow_query& query, clock::time_point now);
    void on_looked_up(wire::forward held, const std::optional<std::string>& target,
                      clock::time_point now);
    bool may_be_open(const wire::forward& content, clock::time_point now) const;
    void expire(clock::time_point now);
    void end_old_placings(clock::time_point now);
    void forward_to(std::string_view peer, wire::forward content);
    bool is_of_other_service(std::string_view target, std::string_view service) const;
    void remember(routing::flow_key key, std::string_view target, clock::time_point now);
    std::string choose_target(const wire::forward& content, const placing& attempt,
                              clock::time_point now) const;

    shared_state shared_;
    packet_path& path_;
    clock::time_point last_expiry_;
    lookup lookup_;
    flow_query_responder flow_query_responder_;
    std::unordered_map<routing::flow_key, placing> placing_;
    // Keys of placing_, oldest first; a key stands once for each time that its placing was renewed.
    std::deque<routing::flow_key> placing_order_;
};

}  // namespace bramleytrack::flows
