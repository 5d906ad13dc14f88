// Callers of the users' platform: keep flows open, send requests on them, repeat what isn't
// acknowledged, and note what a person would complain about.
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
    std::map<std::string, std::string> services;  // by the target's id
    std::map<std::string, std::string> targets;   // ids by ip:port
    int flows = 60;
    int seed = 1;
};

// A reset of a flow that was open.
struct flow_reset {
    std::string target;  // that the flow was open at
    std::string sender;  // ip:port of the process that sent it
    bool is_from_balancer = false;
    int opening_copies = 0;  // that the caller sent; two targets may have taken the flow then
    clock::time_point opened_at;
};

struct caller_tally {
    int asked = 0;
    int answered = 0;
    int late_or_lost = 0;  // no answer within the deadline
    int opened = 0;
    int refused = 0;                               // openings that were reset
    int not_opened = 0;                            // openings without an answer
    int wrong_answers = 0;                         // another request's answer, or another service's
    std::map<std::string, int> reset_by_balancer;  // open flows, by target
    std::map<std::string, int> reset_by_target;
    int reset_before_any_answer = 0;  // of those that the balancer reset
    std::vector<std::int64_t> latencies_ms;
};

class flow_caller {
public:
    flow_caller(ev::loop_ref loop, flow_caller_options options,
                std::vector<router::instance> instances);

    const caller_tally& results() const { return tally_; }
    void on_reset(std::function<void(const flow_reset& what)> callback) {
        reset_ = std::move(callback);
    }
    // No new requests begin.
    void stop() { is_stopping_ = true; }

private:
    enum class step { opening, idle, waiting };
    struct flow {
        step at = step::opening;
        const called_route* route = nullptr;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t echo = 0;
        int copies = 0;
        int requests_left = 0;
        std::string request;
        std::string target;  // that the flow is open at: the first to answer its opening
        bool has_answer = false;
        flow_packet last_sent;
        clock::time_point opened_at;
        clock::time_point started;  // of the opening or the request
        clock::time_point repeat_at;
        clock::duration repeat_after{0};
        clock::time_point idle_until;
    };

    void on_tick(ev::timer& watcher, int events);
    void on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram);
    void on_packet(std::uint16_t port, flow& subject, const flow_packet& packet,
                   std::string_view sender);
    void on_reset(const flow& subject, const flow_packet& packet, std::string_view sender);
    void on_answer(flow& subject, const flow_packet& packet);
    void open_one(clock::time_point now);
    void begin_request(std::uint16_t port, flow& subject, clock::time_point now);
    // Repeats or gives up; true when the flow is over.
    bool is_given_up(std::uint16_t port, flow& subject, clock::time_point now);
    void send(std::uint16_t port, flow& subject, std::uint8_t flags, std::string data);
    void transmit(const flow_packet& packet);

    flow_caller_options options_;
    std::uint32_t own_address_ = 0;
    router router_;
    net::udp_endpoint packets_;
    std::mt19937_64 random_;
    std::map<std::uint16_t, flow> flows_;  // by the caller's port
    std::uint16_t next_port_ = 20'000;
    std::int64_t last_request_ = 0;
    caller_tally tally_;
    std::function<void(const flow_reset& what)> reset_;
    bool is_stopping_ = false;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
