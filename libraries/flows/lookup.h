// Finds out on which target a flow is that its home has no record of: after a crash of the home or
// of an owner, and after a change that moved the home.
//
// Recovery by elimination. First the owners of all candidates are asked for their records. If none
// knows the flow, they ask their targets with a packet that changes nothing: a target resets a flow
// that it doesn't know, as TCP does, and keeps silent otherwise. When all candidates but one are
// ruled out, the flow is there; when all are, it is gone. No answer is guessed: with two candidates
// in doubt the lookup goes on until it times out.
//
// Failure: weights and targets have changed more often than configurations are remembered, and the
// flow's target is no candidate any more; the flow would be reset though it lives. So before a flow
// counts as gone, all other targets of its service are asked in the same way.
//
// Bounds: max_candidates_asked messages a round, max_targets_asked in the second stage, a round
// every repeat_interval, one held packet a flow. Later packets of a flow that is looked up are
// dropped, since callers send again what isn't answered and a queue for each would let a crash of
// one instance fill the memory of another.
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
constexpr std::size_t max_candidates_asked = 8;
constexpr std::size_t max_targets_asked = 64;

class lookup {
public:
    // What it needs of the instance.
    struct shared_state {
        const configuration::configuration& configuration;
        const configuration::history& previous;
        outbox& out;
    };

    // Called once per lookup; without a target the flow is nowhere.
    using found_callback = std::function<void(wire::forward held, std::optional<std::string> target,
                                              clock::time_point now)>;
    // Asks the owner of content.target; answers come through on_answer.
    using ask_callback = std::function<void(const wire::flow_query& query, clock::time_point now)>;

    lookup(const shared_state& shared, ask_callback ask, found_callback found)
        : shared_{shared}, ask_{std::move(ask)}, found_{std::move(found)} {}

    void start(wire::forward content, clock::time_point now);
    void on_answer(const wire::flow_query_answer& answer, clock::time_point now);
    void on_tick(clock::time_point now);

    bool is_opening(routing::flow_key key) const;
    // Ends a lookup without a result and returns the packet that it held.
    std::optional<wire::forward> abandon(routing::flow_key key);

private:
    struct candidate {
        std::string target;
        bool has_answered = false;  // its owner's records don't hold the flow
    };
    struct running {
        wire::forward held;
        std::vector<candidate> undecided;
        std::vector<std::string> asked_targets;  // of the stage before; empty in the first one
        clock::time_point stage_began;
        std::int64_t configuration_version = 0;
        clock::time_point since;
        clock::time_point asked;
        std::optional<clock::time_point> targets_asked;
        std::optional<clock::time_point> ruled_out;  // since when no candidate is left
    };

    std::vector<candidate> candidates(const wire::forward& content) const;
    void add_candidates(const configuration::configuration& configuration,
                        const wire::forward& content, std::vector<candidate>& result) const;
    void ask_all(routing::flow_key key, clock::time_point now);
    void finish(routing::flow_key key, std::optional<std::string> target, clock::time_point now);
    void give_up(const wire::forward& content);
    void review(routing::flow_key key, clock::time_point now);
    // Asks for all other targets of the service; false when there is none.
    bool widen(routing::flow_key key, clock::time_point now);

    shared_state shared_;
    ask_callback ask_;
    found_callback found_;
    std::unordered_map<routing::flow_key, running> running_;
};

}  // namespace bramleytrack::flows
