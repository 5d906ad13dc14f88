// Finds the target of a flow of which the home has no record: after a crash of the home or of an
// owner, and after a change that moved the home.
//
// The lookup proceeds by elimination. First the owners of all candidates are queried for their
// records. If none holds the flow, they probe their targets with a packet that changes no state: a
// target that does not hold the flow sends a reset, as in TCP, and otherwise it stays silent. When
// all candidates but one are ruled out, the flow is on that one; when all are, the flow is gone.
// The result is never guessed: with two undecided candidates the lookup continues until it times
// out.
//
// If weights and targets have changed more often than there are configurations in the history, the
// flow's target may no longer be a candidate, and a live flow would be reset. So before a flow
// counts as gone, all other targets of its service are queried in the same way.
//
// Limits: max_queried_candidates messages per round, max_queried_targets in the second stage, one
// round every retransmit_interval, and one held packet per flow. Later packets of a flow with a
// running lookup are dropped: callers retransmit what is not answered, and a queue per flow would
// let the crash of one instance exhaust the memory of another.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/history.h"
#include "outbox/outbox.h"
#include "routing/candidates.h"

namespace bramleytrack::flows {

constexpr std::size_t max_lookups = 4096;
constexpr std::size_t max_queried_candidates = 8;
constexpr std::size_t max_queried_targets = 64;

class lookup {
public:
    // References to the parts of the instance that this class uses.
    struct shared_state {
        const configuration::configuration& configuration;
        const configuration::history& previous;
        outbox& out;
    };

    // Called once per lookup that ends with a result; without a target the flow is gone.
    using result_callback = std::function<void(
        wire::forward held_packet, std::optional<std::string> target, clock::time_point now)>;
    // Sends the query to the owner of query.content.target; answers are passed to on_answer().
    using query_callback =
        std::function<void(const wire::flow_query& query, clock::time_point now)>;

    lookup(const shared_state& shared, query_callback send_query, result_callback on_result)
        : shared_{shared}, send_query_{std::move(send_query)}, on_result_{std::move(on_result)} {}

    void start(wire::forward forwarded, clock::time_point now);
    void on_answer(const wire::flow_query_answer& answer, clock::time_point now);
    void on_tick(clock::time_point now);

    // Whether a lookup for an opening packet of this flow is running.
    bool is_opening(routing::flow_key key) const;
    // Ends a lookup without a result and returns the held packet.
    std::optional<wire::forward> abandon(routing::flow_key key);

private:
    struct candidate {
        std::string target;
        bool has_answered = false;  // its owner's records do not contain the flow
    };
    struct pending_lookup {
        wire::forward held_packet;
        std::vector<candidate> undecided;
        std::vector<std::string> queried_targets;  // by the first stage; empty during it
        clock::time_point stage_started_at;
        std::int64_t configuration_version = 0;
        clock::time_point started_at;
        clock::time_point queried_at;
        std::optional<clock::time_point> targets_probed_at;
        std::optional<clock::time_point> ruled_out_at;  // when the last candidate was ruled out
    };

    std::vector<candidate> candidates(const wire::forward& forwarded) const;
    void add_candidates(const configuration::configuration& configuration,
                        const wire::forward& forwarded, std::vector<candidate>& result) const;
    void query_undecided(routing::flow_key key, clock::time_point now);
    void finish(routing::flow_key key, std::optional<std::string> target, clock::time_point now);
    void fail_packet(const wire::forward& forwarded);
    void evaluate(routing::flow_key key, clock::time_point now);
    // Starts the second stage with all other targets of the service; false if there are none.
    bool query_remaining_targets(routing::flow_key key, clock::time_point now);

    shared_state shared_;
    query_callback send_query_;
    result_callback on_result_;
    std::unordered_map<routing::flow_key, pending_lookup> lookups_;
};

}  // namespace bramleytrack::flows
