// Probes of targets that leave packets unanswered.
//
// Performs the actions of fleet::target_failure_detector with sockets, messages to peers and log
// lines. Which targets are probed, and which count as dead, is decided in the detector.
#pragma once

#include <ev++.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "fleet/target_failure_detector.h"
#include "net/reach_probes.h"
#include "peer_exchange.h"
#include "steering/steering.h"

namespace bramleytrack {

class target_checks final : private fleet::failure_detector_actions {
public:
    target_checks(ev::loop_ref loop, const settings::steering_settings& settings,
                  const discovery::directory& directory, steering::steering& steering,
                  peer_exchange& peers, event_log& log);

    // Called after flows of a dead target were ended, when their resets are ready to be sent.
    void on_flows_ended(std::function<void()> callback) {
        flows_ended_callback_ = std::move(callback);
    }

    // Starts checks of the targets that `steering` has newly reported as suspect.
    void check_suspects(clock::time_point now);
    // A store entry of the target was received, which counts as evidence that it is alive.
    void on_entry(std::string_view target_id);
    void expire(clock::time_point now) { failure_detector_.expire(now); }

    std::int64_t probes_started() const { return probes_started_; }
    std::int64_t targets_found_dead() const { return targets_found_dead_; }

private:
    void probe(const discovery::target& target) override;
    void request_indirect_probe(const discovery::peer_entry& peer,
                                discovery::routing_token token) override;
    void send_indirect_probe_result(const discovery::peer_entry& peer,
                                    discovery::routing_token token, bool is_reachable) override;
    void on_dead(const discovery::target& target, clock::time_point probed_at,
                 std::span<const std::string> confirmed_by, clock::time_point now) override;
    void on_reported_dead(const discovery::target& target, clock::time_point until) override;
    void on_found_alive(const discovery::target& target) override;

    void on_dead_targets(std::string_view peer, std::span<const wire::dead_target_report> reports,
                         clock::time_point now);

    steering::steering& steering_;
    peer_exchange& peer_exchange_;
    event_log& log_;
    fleet::target_failure_detector failure_detector_;
    net::reach_probes probes_;
    std::function<void()> flows_ended_callback_;
    std::int64_t probes_started_ = 0;
    std::int64_t targets_found_dead_ = 0;
};

}  // namespace bramleytrack
