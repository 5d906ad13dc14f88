// Stand-in for the callers: opens flows through the fabric, sends requests on them, retransmits
// until each has a final outcome, and counts the outcomes.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/udp_endpoint.h"
#include "wire/codec.h"

namespace bramleytrack::standins {

// Results of one member with one service.
struct tally {
    int requests_sent = 0;
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
    int no_outcome = 0;     // no outcome by the deadline, which violates a guarantee
    int wrong_answers = 0;  // answers to another request, or corrupted
    int flows_opened = 0;
    int opens_refused = 0;
    int flows_broken = 0;
    int flows_broken_by_zone = 0;  // allowed: operators had taken the target's zone out
    std::vector<std::int64_t> latencies_ms;
};

struct caller_options {
    std::string fabric_address;
    std::vector<std::string> members;
    int flows_per_member = 20;  // to each service
    int request_interval_ms = 400;
    int deadline_ms = 3000;
    int seed = 1;
};

struct called_service {
    std::string name;
    std::string address;
};

class caller {
public:
    caller(ev::loop_ref loop, caller_options options, std::vector<called_service> services);

    // Sends no new requests; pending ones are still retransmitted.
    void stop_requests() { is_sending_ = false; }
    // Whether a flow to `target` that broke at `broken_at` was in a zone that operators had taken
    // out.
    using exemption = std::function<bool(const std::string& target, clock::time_point broken_at)>;
    void set_exemption(exemption is_exempt) { is_exempt_ = std::move(is_exempt); }

    using tallies = std::map<std::pair<std::string, std::string>, tally>;  // service, member
    const tallies& results() const { return tallies_; }
    // Payloads of at-most-once requests that were refused as not run.
    const std::set<std::string>& refused_payloads() const { return refused_payloads_; }

private:
    enum class flow_state { opening, open, paused };

    struct flow_entry {
        const called_service* service = nullptr;
        std::string member;
        std::int64_t number = 0;
        flow_state state = flow_state::opening;
        std::string target;  // as reported by the target itself
        std::int64_t last_push = 0;
        clock::time_point last_received;
        clock::time_point next_packet_at;  // next transmission of the open or the keep-alive
        clock::time_point next_request_at;
        clock::time_point resume_at;  // end of the pause
        std::int64_t next_request = 1;
    };
    struct pending_request {
        wire::packet request;
        std::string service;
        clock::time_point sent_at;
        clock::time_point retransmit_at;
    };
    // A flow that broke. It is classified after a delay, since the zones' state is only polled.
    struct broken_flow {
        std::string service;
        std::string member;
        std::string target;
        clock::time_point broken_at;
    };
    using request_id = std::pair<std::int64_t, std::int64_t>;  // flow, request

    void on_datagram(std::span<const std::uint8_t> datagram);
    void on_tick(ev::timer& watcher, int events);
    void open(flow_entry& flow, clock::time_point now);
    void reopen(flow_entry& flow, clock::time_point now, clock::duration pause);
    void record_break(flow_entry& flow, clock::time_point now);
    void send_request(flow_entry& flow, clock::time_point now);
    void on_outcome(const wire::packet& packet, clock::time_point now);
    void send(const flow_entry& flow, wire::packet packet);
    tally& tally_of(const flow_entry& flow);
    void retransmit_requests(clock::time_point now);
    void classify_broken_flows(clock::time_point now);

    caller_options options_;
    std::vector<called_service> services_;
    std::mt19937_64 random_;
    wire::encoder encoder_;
    net::udp_endpoint endpoint_;
    ev::timer ticker_;
    std::vector<flow_entry> flows_;
    std::map<std::int64_t, std::size_t> index_of_flow_;
    std::map<request_id, pending_request> pending_requests_;
    std::set<std::string> refused_payloads_;
    std::vector<broken_flow> broken_flows_;
    exemption is_exempt_;
    tallies tallies_;
    std::int64_t next_flow_number_ = 1;
    bool is_sending_ = true;
};

}  // namespace bramleytrack::standins
