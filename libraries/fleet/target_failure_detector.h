// Whether a target that leaves packets unanswered has died: asked of the target, then of peers.
//
// Load that it answers: hundreds of instances share the flows of hundreds of targets, and an
// instance has one flow of a target, or none. One silent flow is no evidence, so callers of a dead
// target would wait for their deadlines one by one. Here the first packet that a caller repeats
// makes the instance try to reach the target, and when it can't, three peers do; what is found
// spreads with the digests. As in SWIM (Das, Gupta and Motivala, 2002): a direct probe, then
// indirect ones.
//
// Failure: an instance that is cut off finds every target dead, and its word would end flows of
// targets that live. So what a peer says never ends a flow: it starts the same check here, and only
// peers of the own zone are believed, since a cut between zones makes each find the other dead.
//
// Failure: targets of a service take no connections from here, though they answer packets, and each
// that is slow for a moment would count as dead. So nothing is decided about a service before one
// of its targets has taken a connection; two others are tried together with the first suspect.
#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/rate_budget.h"
#include "discovery/directory.h"

namespace bramleytrack::fleet {

struct failure_detector_limits {
    // Peers that are asked answer after a probe of theirs, or not at all.
    clock::duration answers_within{200};
    std::size_t peers_to_ask = 3;
    // Other targets of a service that are tried with its first suspect.
    std::size_t controls = 2;
    // Peers that must have failed to reach the target too, unless there are fewer.
    std::size_t least_confirmations = 2;
    // What a probe has found holds for so long; callers that repeat packets meanwhile start none.
    clock::duration finding_lifetime{1'000};
    // Under overload all targets answer late, and each repetition makes one suspect. A zone of
    // targets may go at once; beyond this budget the others wait for their callers' next
    // repetition.
    double probes_at_once = 64;
    double probes_per_second = 10;
    // Targets that went leave the list within some two seconds.
    clock::duration verdict_lifetime{3'000};
    // One that is still listed then is probed again so long before, or callers of all instances
    // would try it at the same moment.
    clock::duration renewal{500};
    // The age that a digest tells grows short by the time on the way. Verdicts that seem no further
    // apart are the same one, which would go round for longer if each teller made it newer.
    clock::duration same_verdict{1'000};
    std::size_t max_verdicts = 4'096;
    // Verdicts in one digest, those told least often first: 12 bytes each.
    std::size_t verdicts_in_digest = 16;
    // Each digest reaches several peers, each of which passes it on.
    int tellings = 3;
};

// What is to be done in the course of an inquiry.
class failure_detector_actions {
public:
    failure_detector_actions() = default;
    failure_detector_actions(const failure_detector_actions&) = delete;
    failure_detector_actions& operator=(const failure_detector_actions&) = delete;
    virtual ~failure_detector_actions() = default;

    // Tries to reach the target; target_failure_detector::on_probe is called with the outcome.
    virtual void probe(const discovery::target& target) = 0;
    virtual void ask(const discovery::peer_entry& peer, discovery::routing_token token) = 0;
    virtual void answer(const discovery::peer_entry& peer, discovery::routing_token token,
                        bool is_reachable) = 0;
    // Neither this instance nor those named reach the target, which was first probed then.
    virtual void on_dead(const discovery::target& target, clock::time_point probed_at,
                         std::span<const std::string> confirmed_by, clock::time_point now) = 0;
    // A peer's word, which holds until then: new flows had better go elsewhere.
    virtual void on_reported_dead(const discovery::target& target, clock::time_point until) = 0;
    // The target was reached from here, whatever peers say.
    virtual void on_reached(const discovery::target& target) = 0;
};

// A target that was found dead, as digests tell it.
struct dead_target {
    discovery::routing_token token = 0;
    clock::duration age{0};  // since it was found
};

class target_failure_detector {
public:
    target_failure_detector(const discovery::directory& known, std::string self, std::string zone,
                            failure_detector_actions& actions, failure_detector_limits limits = {});

    // A caller's packet came again, and nothing shows that the target has had the first.
    void suspect(discovery::routing_token token, clock::time_point now);
    // A peer's digest tells of a dead target; `has_flows` says whether flows of it are known here.
    void on_reported_dead(std::string_view peer, const dead_target& told, bool has_flows,
                          clock::time_point now);

    void on_probe(discovery::routing_token token, bool is_reachable, clock::time_point now);
    void on_probe_request(std::string_view peer, discovery::routing_token token,
                          clock::time_point now);
    void on_answer(std::string_view peer, discovery::routing_token token, bool is_reachable,
                   clock::time_point now);
    // The target wrote to the store: it lives.
    void on_entry(discovery::routing_token token);
    void expire(clock::time_point now);

    // For the next digest.
    std::vector<dead_target> take_verdicts(clock::time_point now);
    // Whether some verdict hasn't been told yet.
    bool has_news() const { return has_news_; }

private:
    enum class stage { probing, asking, concluded };

    struct inquiry {
        stage at = stage::probing;
        clock::time_point since;    // of the stage
        clock::time_point begun;    // when the probe was sent
        bool is_suspected = false;  // here; otherwise a peer asked
        bool is_reachable = true;   // holds after the probe
        std::vector<std::string> askers;
        std::vector<std::string> asked;
        std::vector<std::string> confirmed_by;  // of those that were asked
    };

    struct verdict {
        clock::time_point since;
        int told = 0;
        bool is_own = false;      // found here, not only told by a peer
        bool is_refuted = false;  // the target was reached from here since
    };

    // Nothing while there is no budget for a probe.
    inquiry* begin(const discovery::target& target, clock::time_point now);
    void conclude(inquiry& subject, clock::time_point now);
    void probe_controls(const discovery::target& suspected, clock::time_point now);
    void ask_peers(discovery::routing_token token, inquiry& subject, clock::time_point now);
    void find_dead(discovery::routing_token token, inquiry& subject, clock::time_point now);
    bool is_confirmed(const inquiry& subject) const;
    std::vector<const discovery::peer_entry*> peers_for(discovery::routing_token token,
                                                        clock::time_point now) const;
    bool is_said_dead(discovery::routing_token token, clock::time_point now) const;
    void note_verdict(discovery::routing_token token, const verdict& noted);
    void renew_verdicts(clock::time_point now);
    void refute(discovery::routing_token token);

    const discovery::directory& known_;
    std::string self_;
    std::string zone_;
    failure_detector_actions& actions_;
    failure_detector_limits limits_;
    rate_budget probes_;
    std::set<std::string, std::less<>> reached_services_;  // of which a target took a connection
    std::unordered_map<discovery::routing_token, inquiry> inquiries_;
    std::unordered_map<discovery::routing_token, verdict> verdicts_;  // own ones and peers'
    bool has_news_ = false;
};

}  // namespace bramleytrack::fleet
