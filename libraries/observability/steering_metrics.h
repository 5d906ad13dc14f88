// Metrics of an instance that routes by token, in the Prometheus text format.
#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "steering/steering.h"
#include "steering/wait_outcome.h"

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

// The use of a service by one route. All values are those of this instance alone, so that their sum
// over the instances is the value of the fleet.
struct route_gauges {
    std::string service;
    std::string route;
    double demand_slots = 0;       // slots that the requests of its callers would keep busy
    double entitlement_slots = 0;  // its part of the route's entitlement
    double open = 0;               // requests open through it
    double waiting = 0;            // openings that wait at it
};

// Maximum number of pairs of a service and a route, and of pairs of services, that get series of
// their own. A catalogue may name hundreds of routes, and it changes while the instance runs.
// Without a bound, memory grows with every pair that was ever used. Further pairs share one series
// with the label "other".
constexpr std::size_t max_metric_pairs = 200;

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
    std::int64_t dropped_receives = 0;
    std::int64_t target_probes = 0;
    std::int64_t targets_found_dead = 0;
    std::int64_t initial_state_ms = -1;  // from the start of the process; -1: not received yet
    std::int64_t startup_peer_queries = 0;
    std::int64_t copies_sent = 0;  // of the complete state, to peers
    std::int64_t copies_refused = 0;
    std::int64_t copy_bytes_sent = 0;
    std::int64_t flow_holders_sent = 0;  // flows whose holders were reported to peers
    std::int64_t flow_holders_dropped = 0;
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

    void on_token_mismatch() override;
    // An opening that waited has left the queue.
    void on_wait_ended(std::string_view service, std::string_view route,
                       steering::wait_outcome outcome, clock::duration waited) override;
    // An opening was placed in service `to` of its route's split, although the weights chose
    // `from`.
    void on_overflow(std::string_view from, std::string_view to) override;

    // Routes without demand, open requests and waiting openings have no series.
    std::string render(const steering_gauges& state, std::span<const service_gauges> services,
                       std::span<const route_gauges> routes = {});

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace bramleytrack::observability
