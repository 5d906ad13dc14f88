// Answers for owned targets whether a flow is there: from the records, and where these may have
// gaps by asking the target itself.
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

// No copy of an opening packet arrives later than this after the first one.
constexpr clock::duration opening_lifetime{10'000};

class flow_query_responder {
public:
    // What it needs of the instance.
    struct shared_state {
        const identity& self;
        const configuration::configuration& configuration;
        membership::ownership& ownership;
        flows::flow_table& flows;
        flows::location_table& locations;
        outbox& out;
    };

    using answer_callback = std::function<void(
        std::string_view asker, const wire::flow_query_answer& answer, clock::time_point now)>;

    flow_query_responder(const shared_state& shared, answer_callback answer)
        : shared_{shared}, answer_{std::move(answer)} {}

    void on_query(std::string_view asker, const wire::flow_query& query, clock::time_point now);
    // Returns true when the reset answered a question of this class and concerns no caller.
    bool on_reset(const configuration::target& target, const wire::packet& content,
                  clock::time_point now);
    void on_tick(clock::time_point now);

    // The peer that was told that a flow may be opened there; empty when there is none.
    std::string ceded_to(routing::flow_key key, clock::time_point now) const;

private:
    struct asked {
        std::string asker;
        wire::forward content;
        clock::time_point since;
    };
    struct ceded {
        std::string home;
        clock::time_point since;
    };

    bool is_ruled_out(const wire::forward& content, clock::time_point now) const;
    void ask_target(std::string_view asker, const wire::forward& content, clock::time_point now);
    void reply(std::string_view asker, const wire::forward& content, bool is_certain,
               clock::time_point now);
    void reply_known(std::string_view asker, const wire::forward& content, std::string_view target,
                     clock::time_point now);

    shared_state shared_;
    answer_callback answer_;
    std::map<std::pair<routing::flow_key, std::string>, asked> asked_;
    std::unordered_map<routing::flow_key, ceded> ceded_;
};

}  // namespace bramleytrack::flows
