// A session with a few instances and targets, and queries for tests of flows.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "support/session.h"

namespace bramleytrack::testing {

class flow_fleet {
public:
    // `zones` zones with instances a-1, a-2, b-1 ... and targets board-a-1 ..., advanced until all
    // ownerships are older than any copy of an opening packet can be.
    explicit flow_fleet(int zones = 1, int instances_per_zone = 3, int targets_per_zone = 4);

    void run(std::string_view line);
    void open(int first, int last);
    // Sends a packet of this kind on each flow, through the running instances in turn.
    void send(std::string_view kind, int first, int last);

    // Runs a command such as kill, pause or restart on an instance.
    void change_instance(std::string_view verb, const std::string& instance);
    const std::vector<std::string>& instances() const { return instances_; }
    const std::vector<std::string>& targets() const { return targets_; }

    // Targets that hold the flow.
    std::vector<std::string> targets_holding(int flow);
    // Number of flows that are reset, or that are held by no target or by several.
    int count_broken(int first, int last);
    // Number of packets of this kind that reached the target that holds their flow, since the last
    // call.
    int take_delivered_count(std::string_view kind);
    int count_sent_to_callers(wire::packet_kind kind) const;
    const std::vector<std::string>& transcript() const { return transcript_; }
    void clear_transcript() { transcript_.clear(); }
    session& underlying_session() { return session_; }

private:
    session session_;
    std::vector<std::string> instances_;
    std::vector<std::string> running_instances_;
    std::vector<std::string> targets_;
    std::vector<std::string> transcript_;
};

}  // namespace bramleytrack::testing
