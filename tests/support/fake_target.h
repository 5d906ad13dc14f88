// A simulated target: accepts flows, and keeps requests running until the test ends them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::testing {

class fake_target {
public:
    struct reply {
        std::string instance;  // the receiver
        wire::packet content;
    };

    // Returns the target's immediate reply, if any.
    std::optional<reply> receive(const std::string& instance, const wire::packet& packet);

    // Ends a running request with a reply of the given kind. Returns none if it isn't running.
    std::optional<reply> end(std::int64_t flow_number, std::int64_t request,
                             wire::packet_kind kind);
    std::optional<reply> push(std::int64_t flow_number);

    // How often each request ran, by caller flow and request number.
    const std::map<std::pair<std::int64_t, std::int64_t>, int>& runs() const { return runs_; }
    std::size_t running() const { return running_.size(); }
    bool has_flow(std::int64_t flow_number) const { return flows_.contains(flow_number); }
    // Number of packets received, including report requests.
    std::int64_t received() const { return received_; }
    std::size_t flows() const { return flows_.size(); }
    std::size_t max_running() const { return max_running_; }
    std::size_t max_flows() const { return max_flows_; }
    void set_cold(bool is_cold) { is_cold_ = is_cold; }
    // Enforces deadlines: an expired request ends without an answer, and isn't started.
    void set_time(clock::time_point now);

private:
    struct flow {
        wire::packet opening;
        std::string instance;
        std::int64_t pushed = 0;
    };

    std::map<std::int64_t, flow> flows_;
    std::map<std::pair<std::int64_t, std::int64_t>, wire::packet> running_;
    std::map<std::pair<std::int64_t, std::int64_t>, int> runs_;
    std::size_t max_running_ = 0;
    std::size_t max_flows_ = 0;
    std::int64_t received_ = 0;
    bool is_cold_ = false;
    clock::time_point now_;
};

}  // namespace bramleytrack::testing
