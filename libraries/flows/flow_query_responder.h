// Answers flow queries for the targets that this instance owns. A flow that is in the flow table or
// the location table is reported with its target. Where the records may be incomplete, the target
// itself is probed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "membership/ownership.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "routing/candidates.h"

namespace bramleytrack::flows {

// A copy of an opening packet arrives at most this long after the first one.
constexpr clock::duration opening_lifetime{10'000};

class flow_query_responder {
public:
    // References to the parts of the instance that this class uses.
    struct shared_state {
        const identity& self;
        const configuration::configuration& configuration;
        membership::ownership& ownership;
        flows::flow_table& flows;
        flows::location_table& locations;
        outbox& out;
    };

    using answer_callback = std::function<void(
        std::string_view requester, const wire::flow_query_answer& answer, clock::time_point now)>;

    flow_query_responder(const shared_state& shared, answer_callback answer)
        : shared_{shared}, answer_{std::move(answer)} {}

    void on_query(std::string_view requester, const wire::flow_query& query, clock::time_point now);
    // Returns true if the reset answers a probe of this class and must not reach the caller.
    bool on_reset(const configuration::target& target, const wire::packet& content,
                  clock::time_point now);
    void on_tick(clock::time_point now);

    // The peer that may open the flow, because its query was answered with "not known"; empty if
    // there is none.
    std::string home_delegated_to(routing::flow_key key, clock::time_point now) const;

private:
    struct pending_probe {
        std::string requester;
        wire::forward forwarded;
        clock::time_point since;
    };
    struct delegated_opening {
        std::string home;
        clock::time_point since;
    };

    bool is_ruled_out(const wire::forward& forwarded, clock::time_point now) const;
    void probe_target(std::string_view requester, const wire::forward& forwarded,
                      clock::time_point now);
    void reply(std::string_view requester, const wire::forward& forwarded, bool is_certain,
               clock::time_point now);
    void reply_with_target(std::string_view requester, const wire::forward& forwarded,
                           std::string_view target, clock::time_point now);

    shared_state shared_;
    answer_callback answer_;
    std::map<std::pair<routing::flow_key, std::string>, pending_probe> pending_probes_;
    std::unordered_map<routing::flow_key, delegated_opening> delegated_openings_;
};

}  // namespace bramleytrack::flows
