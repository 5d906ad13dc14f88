// Checks of targets that leave packets unanswered: sockets, messages and log lines for what
// fleet/target_failure_detector decides.
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
                  const discovery::directory& known, steering::steering& core,
                  peer_exchange& exchange, event_log& log);

    // Called when flows of a dead target were ended, so that the resets are sent.
    void on_flows_ended(std::function<void()> callback) { flows_ended_ = std::move(callback); }

    // Checks the targets that the core has become suspicious of.
    void check_suspects(clock::time_point now);
    void on_entry(std::string_view target_id);
    void expire(clock::time_point now) { inquiries_.expire(now); }

    std::int64_t probes() const { return probes_begun_; }
    std::int64_t found_dead() const { return found_dead_; }

private:
    void probe(const discovery::target& target) override;
    void request_indirect_probe(const discovery::peer_entry& peer,
                                discovery::routing_token token) override;
    void send_indirect_probe_result(const discovery::peer_entry& peer,
                                    discovery::routing_token token, bool is_reachable) override;
    void on_dead(const discovery::target& target, clock::time_point probed_at,
                 std::span<const std::string> confirmed_by, clock::time_point now) override;
    void on_reported_dead(const discovery::target& target, clock::time_point until) override;
    void on_reached(const discovery::target& target) override;

    void on_verdicts(std::string_view peer, std::span<const wire::dead_target_report> told,
                     clock::time_point now);

    steering::steering& core_;
    peer_exchange& exchange_;
    event_log& log_;
    fleet::target_failure_detector inquiries_;
    net::reach_probes probes_;
    std::function<void()> flows_ended_;
    std::int64_t probes_begun_ = 0;
    std::int64_t found_dead_ = 0;
};

}  // namespace bramleytrack
