// Decides whether a target that leaves packets unanswered is dead, by direct and indirect probes.
//
// Hundreds of instances share the flows of hundreds of targets, so an instance has one flow of a
// target or none. One silent flow is too little evidence for a verdict, and waiting for more would
// let each caller of a dead target run into its deadline. Therefore the first packet that a caller
// retransmits triggers a direct probe, which is an attempt to connect to the target. When that
// fails, up to three peers probe the target too, as in SWIM (Das, Gupta and Motivala, 2002). The
// verdict is disseminated with the digests.
//
// An instance that is cut off finds every target dead, and its reports would end flows of live
// targets. A peer's report alone therefore ends no flow. It makes new flows avoid the target, and
// if flows of the target are open here, this instance probes it. If this probe fails too, the
// report counts as the confirmation, and the target is declared dead without indirect probes. Only
// reports from the same zone are accepted, since a partition between zones makes each find the
// targets of the other dead.
//
// If the targets of a service accept no connections from here although they answer packets, each
// one that is slow for a moment would count as dead. So this instance declares no target of a
// service dead before one of the service has accepted a connection from it; two other targets are
// probed as controls together with the first suspect. Without known peers, no target is declared
// dead, since this instance's own link may be cut.
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
    // A peer sends its result after its own probe has ended, or not at all.
    clock::duration indirect_probe_timeout{200};
    // Peers that are requested to probe a suspect.
    std::size_t indirect_probe_peers = 3;
    // Other targets of a service that are probed together with its first suspect.
    std::size_t control_targets = 2;
    // Peers that must have failed to reach the target too, unless fewer were requested to probe it.
    std::size_t min_confirmations = 2;
    // For how long a probe result is reused: retransmissions by callers start no probe meanwhile.
    clock::duration probe_result_lifetime{1'000};
    // Under overload all targets answer late, and each retransmission makes one a suspect; a whole
    // zone of targets may also fail at once. Suspects beyond this budget are probed at their
    // callers' next retransmission.
    double probe_burst = 64;
    double probes_per_second = 10;
    // Targets that have ended leave the list within about two seconds.
    clock::duration verdict_lifetime{3'000};
    // A dead target that is still listed is probed again this long before its verdict expires;
    // otherwise callers of all instances would try it at the same moment.
    clock::duration reprobe_lead_time{500};
    // The age in a digest doesn't include the transmission delay, so a forwarded verdict seems
    // younger than it is. Verdicts that seem at most this far apart are taken for the same one;
    // otherwise it would circulate for longer, since each forwarder makes it younger.
    clock::duration same_verdict_tolerance{1'000};
    std::size_t max_verdicts = 4'096;
    // Those sent least often come first. A verdict takes 12 bytes.
    std::size_t max_verdicts_per_digest = 16;
    // The number of digests that carry a verdict; each digest reaches several peers. A receiver
    // sends the reported verdict with its own digests too.
    int max_sends_per_verdict = 3;
};

// What the failure detector needs from its environment.
class failure_detector_actions {
public:
    failure_detector_actions() = default;
    failure_detector_actions(const failure_detector_actions&) = delete;
    failure_detector_actions& operator=(const failure_detector_actions&) = delete;
    virtual ~failure_detector_actions() = default;

    // Starts a probe, which is an attempt to connect to the target; its outcome is passed to
    // target_failure_detector::on_probe_result.
    virtual void probe(const discovery::target& target) = 0;
    virtual void request_indirect_probe(const discovery::peer_entry& peer,
                                        discovery::routing_token token) = 0;
    virtual void send_indirect_probe_result(const discovery::peer_entry& peer,
                                            discovery::routing_token token, bool is_reachable) = 0;
    // Neither this instance nor the peers in `confirmed_by` reach the target. The list is empty if
    // a valid verdict already existed, such as a peer's report. `probed_at` is when this instance's
    // probe began.
    virtual void on_dead(const discovery::target& target, clock::time_point probed_at,
                         std::span<const std::string> confirmed_by, clock::time_point now) = 0;
    // A peer reports the target dead: new flows should avoid it until then.
    virtual void on_reported_dead(const discovery::target& target, clock::time_point until) = 0;
    // A target for which a verdict exists is alive: this instance has reached it, or it has written
    // to the store. This overrides reports of peers.
    virtual void on_found_alive(const discovery::target& target) = 0;
};

// A verdict as digests carry it.
struct dead_target {
    discovery::routing_token token = 0;
    clock::duration age{0};  // of the verdict
};

class target_failure_detector {
public:
    target_failure_detector(const discovery::directory& directory, std::string self,
                            std::string zone, failure_detector_actions& actions,
                            failure_detector_limits limits = {});

    // A caller retransmitted a packet, and nothing shows that the target received the first one.
    void suspect(discovery::routing_token token, clock::time_point now);
    // A peer's digest reports a dead target; `has_flows` is whether flows of it are open here, and
    // only then the target is probed.
    void on_reported_dead(std::string_view peer, const dead_target& report, bool has_flows,
                          clock::time_point now);

    void on_probe_result(discovery::routing_token token, bool is_reachable, clock::time_point now);
    void on_indirect_probe_request(std::string_view peer, discovery::routing_token token,
                                   clock::time_point now);
    void on_indirect_probe_result(std::string_view peer, discovery::routing_token token,
                                  bool is_reachable, clock::time_point now);
    // The target wrote to the store, so it is alive.
    void on_store_update(discovery::routing_token token);
    // Drops checks and verdicts whose lifetime is over, and probes dead targets whose verdict is
    // about to expire.
    void expire(clock::time_point now);

    // The verdicts to send with the next digest.
    std::vector<dead_target> take_verdicts(clock::time_point now);
    bool has_unsent_verdicts() const { return has_unsent_verdicts_; }

private:
    enum class check_phase { probing, indirect_probing, completed };

    struct target_check {
        check_phase phase = check_phase::probing;
        clock::time_point phase_since;
        clock::time_point probed_at;
        // Otherwise the target is only probed as a control target or for a peer, and a failed probe
        // leads to no verdict.
        bool is_suspected_locally = false;
        bool is_reachable = true;  // valid once the probe has ended
        std::vector<std::string> requesters;
        std::vector<std::string> indirect_probers;
        std::vector<std::string> confirmed_by;  // subset of indirect_probers
    };

    struct verdict {
        clock::time_point since;
        int sent_count = 0;
        bool is_local = false;    // decided by this instance, not only reported by a peer
        bool is_refuted = false;  // this instance has found the target alive since
    };

    // Returns null when the probe budget is exhausted.
    target_check* begin_check(const discovery::target& target, clock::time_point now);
    void complete(target_check& subject, clock::time_point now);
    void probe_control_targets(const discovery::target& suspected, clock::time_point now);
    void begin_indirect_probes(discovery::routing_token token, target_check& subject,
                               clock::time_point now);
    void declare_dead(discovery::routing_token token, target_check& subject, clock::time_point now);
    bool is_confirmed(const target_check& subject) const;
    std::vector<const discovery::peer_entry*> select_indirect_probers(
        discovery::routing_token token, clock::time_point now) const;
    bool has_valid_verdict(discovery::routing_token token, clock::time_point now) const;
    void record_verdict(discovery::routing_token token, const verdict& recorded);
    void reprobe_expiring_targets(clock::time_point now);
    void refute(discovery::routing_token token);

    const discovery::directory& directory_;
    std::string self_;
    std::string zone_;
    failure_detector_actions& actions_;
    failure_detector_limits limits_;
    rate_budget probes_;
    // Services of which a target has accepted a connection.
    std::set<std::string, std::less<>> reached_services_;
    std::unordered_map<discovery::routing_token, target_check> checks_;
    std::unordered_map<discovery::routing_token, verdict> verdicts_;  // local and reported ones
    bool has_unsent_verdicts_ = false;
};

}  // namespace bramleytrack::fleet
