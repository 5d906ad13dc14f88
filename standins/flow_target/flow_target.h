// Stand-in for a target that speaks the flow packets of the users' platform: takes flows, works on
// requests in slots, answers callers directly, drains, and registers itself in the store.
//
// A request is one packet of data "ID KIND"; the answer is "ID TARGET". It counts how often each
// request ran, and what was opened while it drained or was cold, and tells by HTTP at its address:
// GET /runs. PUT /drain makes it drain, PUT /end ends it without a word.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "flow_packet/flow_packet.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::standins {

struct flow_target_options {
    std::string id = "i-1";
    std::string service;
    std::string zone;
    std::string address;     // ip:port, UDP for packets and TCP for HTTP
    std::string advertised;  // ip:port where instances are to send; `address` when empty
    std::string store;       // ip:port
    int caller_port = 0;     // at which callers receive
    int slots = 2;
    int service_ms = 20;
    int cold_ms = 0;  // after its start it says so long that it is cold
};

class flow_target {
public:
    flow_target(ev::loop_ref loop, flow_target_options options);

private:
    struct flow {
        std::uint32_t sequence = 0;     // next byte that it sends
        std::uint32_t opened_with = 0;  // its own sequence number in the answer to the opening
        std::uint32_t expected = 0;     // next byte of the caller
        std::uint32_t echo = 0;
        flow_packet last_sent;  // repeated when the caller repeats
        bool is_open = false;
    };
    struct work {
        std::string flow;
        std::string request;
    };

    void on_datagram(std::span<const std::uint8_t> datagram);
    void on_opening(const std::string& key, const flow_packet& packet);
    void on_packet(const std::string& key, const flow_packet& packet);
    void send(flow& subject, const flow_packet& to, std::uint8_t flags, std::string data);
    void reply_reset(const flow_packet& to);
    void transmit(const flow_packet& packet);
    void on_tick(ev::timer& watcher, int events);
    void on_work_done(ev::timer& watcher, int events);
    void serve(const net::http_request& request, const net::http_responder& respond);
    std::string entry() const;
    clock::duration cold_for(clock::time_point now) const;
    void count_opening(clock::time_point now);

    flow_target_options options_;
    ev::loop_ref loop_;
    std::uint64_t identity_ = 0;
    net::udp_endpoint packets_;
    net::http_server admin_;
    net::http_client http_;
    std::map<std::string, flow> flows_;           // by the caller's and the route's address
    std::map<std::string, flow_packet> callers_;  // the newest packet of each flow
    std::deque<work> waiting_;
    std::deque<std::pair<clock::time_point, work>> running_;
    std::map<std::string, int> runs_;
    int opened_ = 0;
    int opened_while_draining_ = 0;
    std::deque<clock::time_point> cold_openings_;  // of the last second
    std::size_t most_cold_openings_ = 0;           // in any second
    clock::time_point started_at_ = clock::now();
    clock::time_point draining_since_;
    bool is_draining_ = false;
    ev::timer heartbeat_;
    ev::timer worker_;
};

}  // namespace bramleytrack::standins
