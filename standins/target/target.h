// Stand-in for a target: a host with slots and connections that enforces deadlines, sheds, drains,
// starts cold, pushes to its flows, and counts violations of its limits.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "wire/codec.h"

namespace bramleytrack::standins {

struct target_options {
    std::string name;
    std::string address;
    std::string admin_address;
    int slots = 2;
    int connections = 2000;
    int cold_connections = 200;
    int service_ms = 20;
    int push_interval_ms = 500;
};

class target {
public:
    target(ev::loop_ref loop, target_options options);

private:
    using flow_id = std::pair<std::string, std::int64_t>;  // caller address and flow number

    struct flow_entry {
        wire::packet opening;
        std::string return_address;  // the instance that last sent a packet of this flow
        std::int64_t pushed = 0;
        std::deque<wire::packet> unacknowledged;  // retransmitted until acknowledged
        clock::time_point next_push;
    };
    struct running_request {
        wire::packet request;
        clock::time_point ends_at;
    };

    void on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram);
    void on_open(std::string_view sender, const wire::packet& packet);
    void on_request(std::string_view sender, const wire::packet& packet);
    void on_cancel(const wire::packet& packet);
    void report_to(std::string_view sender, std::int64_t query_id);
    void on_tick(ev::timer& watcher, int events);
    void push(flow_entry& flow, clock::time_point now);
    void answer(const running_request& done);
    void send(std::string_view address, const wire::packet& packet);
    void serve(const net::http_request& request, const net::http_responder& respond);
    void become_cold();

    target_options options_;
    wire::encoder encoder_;
    net::udp_endpoint endpoint_;
    net::http_server admin_;
    ev::timer ticker_;
    std::map<flow_id, flow_entry> flows_;
    std::deque<running_request> running_;
    std::map<std::string, int> runs_;  // number of runs by payload of at-most-once requests
    bool is_cold_ = false;
    clock::time_point warm_at_;
    std::int64_t packets_ = 0;
    std::int64_t overloads_ = 0;  // connections or requests beyond the current limit
    std::int64_t misdelivered_ = 0;
    int max_connections_ = 0;
};

}  // namespace bramleytrack::standins
