// Polls the stand-in targets and the operators' configuration, and records what is needed to check
// the guarantees that a run exercises.
#pragma once

#include <ev++.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "platform/kv_store.h"

namespace bramleytrack::standins {

// Targets of a zone that operators have taken out must receive no packets after this delay.
constexpr clock::duration max_evacuation_delay{3'000};

struct observation {
    std::map<std::string, int> runs;  // number of runs by payload of at-most-once requests
    std::int64_t packets_to_zones_out = 0;
    std::int64_t misdelivered = 0;
    std::int64_t overloads = 0;
    int targets_unreachable = 0;
};

class observer {
public:
    observer(ev::loop_ref loop, const nlohmann::json& fleet);

    // Whether the target's zone was out at that time. The configuration is polled, so a change is
    // noticed at most one polling interval late.
    bool was_out(const std::string& name, clock::time_point time) const;
    // Connections per target when their total was largest.
    const std::map<std::string, int>& peak_connections() const { return peak_connections_; }
    const std::map<std::string, std::string>& service_of_target() const { return service_of_; }

    // Reads the run counts of all targets, then calls `done` once.
    void collect(const std::function<void(const observation&)>& done);

private:
    struct target {
        std::string name;
        std::string admin_url;
    };
    struct evacuated_target {
        clock::time_point out_since;
        std::optional<std::int64_t> packets;  // count when the delay had passed
    };

    struct outage {
        clock::time_point begin;
        std::optional<clock::time_point> end;
    };

    void on_tick(ev::timer& watcher, int events);
    void on_configuration(const std::string& text);
    void on_stats(const std::string& name, const net::http_result& answer);

    net::http_client http_;
    ev::timer ticker_;
    platform_adapter::kv_store store_;
    std::vector<target> targets_;
    std::map<std::string, std::string> service_of_;
    std::map<std::string, evacuated_target> evacuated_targets_;  // by target
    std::map<std::string, std::vector<outage>> outages_;         // by target
    std::map<std::string, int> connections_;
    std::map<std::string, int> peak_connections_;
    int peak_total_ = 0;
    observation observation_;
};

}  // namespace bramleytrack::standins
