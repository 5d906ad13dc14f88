// Metrics of an instance that routes by token, in the Prometheus text format.
#pragma once

#include <memory>
#include <span>
#include <string>

#include "steering/steering.h"

namespace bramleytrack::observability {

// Capacity, open requests and demand of one service; see steering::admission.
struct service_gauges {
    std::string service;
    double slots = 0;  // of its targets that accept new flows
    double open_local = 0;
    double open_remote = 0;
    double demand_local = 0;
    double demand_remote = 0;
};

// Values of the instance's state at the time of a scrape.
struct steering_gauges {
    std::int64_t configuration_version = 0;
    std::int64_t known_revision = 0;
    std::int64_t confirmation_age_ms = -1;  // -1: never
    std::int64_t targets = 0;
    std::int64_t zones_out = 0;
    std::int64_t peers = 0;
    std::int64_t flows = 0;
    std::int64_t store_calls = 0;
    std::int64_t dropped_log_lines = 0;
    std::int64_t malformed_datagrams = 0;
    std::int64_t rejected_peer_messages = 0;
    std::int64_t dropped_sends = 0;
    std::int64_t target_probes = 0;
    std::int64_t targets_found_dead = 0;
    bool is_store_reachable = false;
    bool is_ready = false;
};

class steering_metrics final : public steering::flow_observer {
public:
    steering_metrics();
    ~steering_metrics() override;

    void on_opening_answered(const discovery::target& answered_by,
                             clock::duration elapsed) override;
    void on_answer(const discovery::target& answered_by, clock::duration elapsed) override;
    void on_decision(std::string_view service, const steering::decision& decision) override;

    std::string render(const steering_gauges& state, std::span<const service_gauges> services);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace bramleytrack::observability
