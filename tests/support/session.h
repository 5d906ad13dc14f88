// Runs several instances with fakes at their interfaces, step by step. Messages between peers are
// delivered immediately and in order; neither a network nor a fabric is modelled.
//
// run() executes one line of a script; docs/TESTING.md lists the commands. Packets to callers,
// targets and peers and logged events are written to the transcript, except heartbeats and reports.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "instance/instance.h"
#include "support/fake_target.h"
#include "support/target_addresses.h"
#include "wire/codec.h"

namespace bramleytrack::testing {

class session {
public:
    // Throws std::invalid_argument if the line is not a command.
    void run(std::string_view line);

    // Returns the lines written since the last call.
    std::vector<std::string> take_transcript() { return std::exchange(transcript_, {}); }

    clock::time_point now() const { return now_; }
    const instance& core(const std::string& name) const { return *cores_.at(name).core; }
    fake_target& target(const std::string& name) { return targets_[name]; }
    // All packets sent to callers, in order.
    const std::vector<wire::packet>& caller_packets() const { return caller_packets_; }
    // Number of peer messages sent, including heartbeats and forwarded packets.
    std::int64_t peer_messages() const { return peer_messages_; }
    // Encoded size of all peer messages except forwarded packets.
    std::int64_t control_bytes() const { return control_bytes_; }
    std::int64_t forwards() const { return forwards_; }

    void set_strategy(routing_strategy strategy) { strategy_ = strategy; }

private:
    using options = std::map<std::string, std::string>;
    struct hosted_instance {
        std::unique_ptr<instance> core;
        std::string zone;
        bool is_paused = false;
        bool is_dead = false;
    };
    struct target_definition {
        std::string zone;
        std::string service;
        std::map<std::string, std::string> limits;
        std::string state = "active";
    };
    struct delivery {
        std::string sender;
        std::string receiver;
        wire::peer_message content;
    };
    struct command {
        std::string_view name;
        void (session::*handle)(const std::vector<std::string>& words, const options& named);
    };
    static const std::vector<command>& commands();

    void add_zone(const std::vector<std::string>& words, const options& named);
    void add_service(const std::vector<std::string>& words, const options& named);
    void add_target(const std::vector<std::string>& words, const options& named);
    void add_instance(const std::vector<std::string>& words, const options& named);
    void set_state(const std::vector<std::string>& words, const options& named);
    void remove_target(const std::vector<std::string>& words, const options& named);
    void apply(const std::vector<std::string>& words, const options& named);
    void advance(const std::vector<std::string>& words, const options& named);
    void send_packet(const std::vector<std::string>& words, const options& named);
    void end_request(const std::vector<std::string>& words, const options& named);
    void push(const std::vector<std::string>& words, const options& named);
    void set_fault(const std::vector<std::string>& words, const options& named);
    void cut(const std::vector<std::string>& words, const options& named);

    std::string configuration_text();
    void deliver_pending();
    void perform(const std::string& sender, const send_to_caller& action);
    void perform(const std::string& sender, const send_to_target& action);
    void perform(const std::string& sender, const send_to_peer& action);
    void perform(const std::string& sender, const log_event& action);
    void perform(const std::string& sender, const request_ended& action);
    void reply(const std::string& target, const fake_target::reply& response);
    void append_line(const std::string& line);
    bool is_running(const std::string& name) const;

    clock::time_point now_ = to_time_point(1'000'000);
    std::int64_t version_ = 0;
    std::map<std::string, std::string> zones_;  // state by name
    // Address and dependency by service name.
    std::map<std::string, std::pair<std::string, std::string>> services_;
    std::map<std::string, target_definition> target_definitions_;
    std::map<std::string, std::string> configured_instance_states_;
    std::map<std::string, hosted_instance> cores_;
    std::map<std::string, fake_target> targets_;
    target_addresses addresses_;
    std::set<std::pair<std::string, std::string>> cut_links_;  // pairs of sender and receiver
    std::deque<delivery> in_flight_;
    std::map<std::string, std::deque<delivery>> held_deliveries_;  // for paused instances
    std::vector<std::string> transcript_;
    std::vector<wire::packet> caller_packets_;
    std::int64_t peer_messages_ = 0;
    std::int64_t control_bytes_ = 0;
    std::int64_t forwards_ = 0;
    routing_strategy strategy_ = routing_strategy::owners;
    wire::encoder encoder_;
};

}  // namespace bramleytrack::testing
