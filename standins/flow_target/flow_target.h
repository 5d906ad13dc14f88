// Stand-in for a target that uses the flow packets of the users' platform: accepts flows, runs
// requests in slots, answers callers directly, drains, and registers itself in the store.
//
// A request is one packet with the data "ID KIND"; the answer is "ID TARGET". The target counts how
// often each request ran and how many flows were opened while it drained or was cold; GET /runs at
// its address returns the counters. PUT /drain starts a drain, PUT /end exits without
// deregistering.
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
    std::string advertised;  // ip:port published to instances; `address` when empty
    std::string store;       // ip:port
    int caller_port = 0;     // UDP port of all callers
    int slots = 2;
    int service_ms = 20;
    int cold_ms = 0;  // how long after its start it reports itself as cold
};

class flow_target {
public:
    flow_target(ev::loop_ref loop, flow_target_options options);

private:
    struct flow_state {
        std::uint32_t sequence = 0;          // of the next byte to send
        std::uint32_t initial_sequence = 0;  // sequence number in the answer to the opening
        std::uint32_t expected = 0;          // of the next byte from the caller
        std::uint32_t echo = 0;
        flow_packet last_sent;  // retransmitted when the caller retransmits
        bool is_open = false;
    };
    struct queued_request {
        std::string flow_key;
        std::string request;
    };

    void on_datagram(std::span<const std::uint8_t> datagram);
    void on_opening(const std::string& key, const flow_packet& packet);
    void on_packet(const std::string& key, const flow_packet& packet);
    void send(flow_state& flow, const flow_packet& to, std::uint8_t flags, std::string data);
    void reply_reset(const flow_packet& to);
    void transmit(const flow_packet& packet);
    void on_tick(ev::timer& watcher, int events);
    void on_worker_tick(ev::timer& watcher, int events);
    void serve(const net::http_request& request, const net::http_responder& respond);
    std::string entry() const;
    clock::duration cold_time_left(clock::time_point now) const;
    void count_opening(clock::time_point now);

    flow_target_options options_;
    ev::loop_ref loop_;
    std::uint64_t identity_ = 0;
    net::udp_endpoint packets_;
    net::http_server admin_;
    net::http_client http_;
    std::map<std::string, flow_state> flows_;            // by the caller's and the route's address
    std::map<std::string, flow_packet> newest_packets_;  // by flow, for the reply address
    std::deque<queued_request> queue_;
    std::deque<std::pair<clock::time_point, queued_request>> running_;
    std::map<std::string, int> runs_;
    int opened_ = 0;
    int opened_while_draining_ = 0;
    std::deque<clock::time_point> cold_openings_;  // within the last second
    std::size_t max_cold_openings_ = 0;            // maximum in any one second
    clock::time_point started_at_ = clock::now();
    clock::time_point draining_since_;
    bool is_draining_ = false;
    ev::timer heartbeat_;
    ev::timer worker_;
};

}  // namespace bramleytrack::standins
