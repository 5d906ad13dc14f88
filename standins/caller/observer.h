// Watches the stand-in targets and the operators' text from outside, and judges the promises that a
// run exercises.
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

// A zone that operators have taken out is to be silent from then on.
constexpr clock::duration silent_after{3'000};

struct observation {
    std::map<std::string, int> runs;  // payload of at-most-once requests: how often run
    std::int64_t packets_to_zones_out = 0;
    std::int64_t misdelivered = 0;
    std::int64_t overloads = 0;
    int targets_unreachable = 0;
};

class observer {
public:
    observer(ev::loop_ref loop, const nlohmann::json& fleet);

    // Whether the target's zone was out at that time, as far as the text that is read now and then
    // can tell: a change is seen at most a reading late.
    bool was_out(const std::string& name, clock::time_point time) const;
    // Connections per target when most were open.
    const std::map<std::string, int>& peak_connections() const { return peak_connections_; }
    const std::map<std::string, std::string>& service_of_target() const { return service_of_; }

    // Reads the runs of all targets; `done` is called once.
    void collect(const std::function<void(const observation&)>& done);

private:
    struct target {
        std::string name;
        std::string admin_url;
    };
    struct silence {
        clock::time_point out_since;
        std::optional<std::int64_t> packets;  // when silence began
    };

    struct outage {
        clock::time_point begin;
        std::optional<clock::time_point> end;
    };

    void on_tick(ev::timer& watcher, int events);
    void on_text(const std::string& text);
    void on_stats(const std::string& name, const net::http_result& answer);

    net::http_client http_;
    ev::timer ticker_;
    platform_adapter::kv_store store_;
    std::vector<target> targets_;
    std::map<std::string, std::string> service_of_;
    std::map<std::string, silence> out_;                  // by target
    std::map<std::string, std::vector<outage>> outages_;  // by target
    std::map<std::string, int> connections_;
    std::map<std::string, int> peak_connections_;
    int peak_total_ = 0;
    observation seen_;
};

}  // namespace bramleytrack::standins
