// Stand-in for the callers of the users' platform: keeps flows open, sends requests on them,
// retransmits until they are answered, and counts failures that a user would notice.
#pragma once

#include <ev++.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "flow_caller/router.h"
#include "flow_packet/flow_packet.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::standins {

struct called_route {
    std::string address;  // ip:port
    std::string service;
};

struct flow_caller_options {
    std::string address;  // ip:port where packets for callers arrive
    std::vector<called_route> routes;
    std::map<std::string, std::string> services;  // by target id
    std::map<std::string, std::string> targets;   // target ids by ip:port
    int flows = 60;
    int seed = 1;
};

// A reset of a flow that was open.
struct flow_reset {
    std::string target;  // id of the target that accepted the flow; empty if it is unknown
    std::string sender;  // ip:port of the process that sent the reset
    bool is_from_balancer = false;
    // Not counting the original; if there were any, two targets may have accepted the flow.
    int opening_retransmissions = 0;
    clock::time_point opened_at;
};

struct caller_tally {
    int requests_sent = 0;
    int answered = 0;
    int unanswered = 0;     // requests without an answer within the deadline
    int opened = 0;         // openings that a target accepted
    int refused = 0;        // openings that were reset
    int not_opened = 0;     // openings neither accepted nor reset within their time-out
    int wrong_answers = 0;  // answers to the current request from a target of another service
    // Resets of open flows, by the id of the target that accepted the flow.
    std::map<std::string, int> reset_by_balancer;
    std::map<std::string, int> reset_by_target;  // sent by this or any other target
    // Flows that the balancer reset before the first answer to a request.
    int reset_before_any_answer = 0;
    std::vector<std::int64_t> latencies_ms;
};

class flow_caller {
public:
    flow_caller(ev::loop_ref loop, flow_caller_options options,
                std::vector<router::instance> instances);

    const caller_tally& results() const { return tally_; }
    void set_reset_callback(std::function<void(const flow_reset& reset)> callback) {
        reset_callback_ = std::move(callback);
    }
    // Starts no new flows or requests.
    void stop() { is_stopping_ = true; }

private:
    enum class flow_phase { opening, idle, waiting };
    struct flow_state {
        flow_phase phase = flow_phase::opening;
        const called_route* route = nullptr;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t echo = 0;  // token that the last packet carried and the next one returns
        int opening_retransmissions = 0;
        int requests_left = 0;
        std::string request;
        std::string target;       // id of the first target that accepted the opening
        bool has_answer = false;  // to a request
        flow_packet last_sent;
        clock::time_point opened_at;
        clock::time_point started_at;  // time of the opening or the request
        clock::time_point retransmit_at;
        clock::duration retransmit_delay{0};
        clock::time_point idle_until;
    };

    void on_tick(ev::timer& watcher, int events);
    void on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram);
    void on_packet(std::uint16_t port, flow_state& flow, const flow_packet& packet,
                   std::string_view sender);
    void on_reset(const flow_state& flow, const flow_packet& packet, std::string_view sender);
    void on_answer(flow_state& flow, const flow_packet& packet);
    void open_flow(clock::time_point now);
    void begin_request(std::uint16_t port, flow_state& flow, clock::time_point now);
    // Retransmits what is due; true when the deadline has passed and the flow is to be dropped.
    bool retransmit_or_give_up(std::uint16_t port, flow_state& flow, clock::time_point now);
    void send(std::uint16_t port, flow_state& flow, std::uint8_t flags, std::string data);
    void transmit(const flow_packet& packet);

    flow_caller_options options_;
    std::uint32_t local_address_ = 0;
    router router_;
    net::udp_endpoint packets_;
    std::mt19937_64 random_;
    std::map<std::uint16_t, flow_state> flows_;  // by the caller's port
    std::uint16_t next_port_ = 20'000;
    std::int64_t last_request_ = 0;
    caller_tally tally_;
    std::function<void(const flow_reset& reset)> reset_callback_;
    bool is_stopping_ = false;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
