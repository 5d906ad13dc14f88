// The processes of a soak and the links between them: a store, instances that route by token, and
// targets. Each has its own loopback address, since the platform uses the same ports on all
// machines.
#pragma once

#include <ev++.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "soak/link.h"
#include "soak/process.h"

namespace bramleytrack::standins {

struct soak_options {
    std::string programs;   // folder of the built programs
    std::string workspace;  // folder for settings and logs
    int instances = 6;
    int targets = 10;
    std::uint64_t seed = 1;
};

// An instance, the links through which others reach it, and its link to the store.
struct soak_instance {
    std::string name;
    int zone = 0;
    std::string packet_source;    // source IP address of its packets to targets and peers
    std::string metrics_address;  // not behind a link
    std::string packet_address;   // of its link, used by the routers
    std::string readiness_address;
    std::unique_ptr<datagram_link> packets;
    std::unique_ptr<stream_link> readiness;
    std::unique_ptr<datagram_link> digests;
    std::unique_ptr<stream_link> pulls;
    std::unique_ptr<stream_link> store;
    std::unique_ptr<process> program;
    clock::time_point excused_until;  // until then, resets and a slow stop are no violation
    bool is_stopping = false;         // SIGTERM was sent
};

struct soak_target {
    std::string id;
    std::string service;
    int zone = 0;
    std::string address;  // not behind a link: packets, and HTTP for its counters
    std::unique_ptr<datagram_link> packets;
    std::unique_ptr<process> program;
    clock::time_point excused_until;  // until then, instances may reset its flows
    clock::time_point started_at;
};

class soak_fleet {
public:
    static constexpr int zones = 3;

    soak_fleet(ev::loop_ref loop, soak_options options, std::mt19937_64& random);

    void start();
    static std::string zone_name(int zone);
    std::vector<soak_instance>& instances() { return instances_; }
    std::vector<soak_target>& targets() { return targets_; }
    process& store() { return *store_; }
    const std::string& caller_address() const { return caller_address_; }
    std::vector<std::string> route_addresses() const { return {route_board_, route_plans_}; }

    // Writes as an operator does; each configuration gets the next version number.
    void write_configuration(int extra_routes);
    void write_zone(int zone, bool is_out);
    void set_store_fault(const std::string& query);
    void remove_entry(const std::string& target);
    void drain(const soak_target& target);
    std::int64_t version() const { return version_; }
    int extra_routes() const { return extra_routes_; }

    // Drops packets and digests between two zones, or forwards them again.
    void cut_zones(int left, int right, bool is_cut);
    // Removes all faults from all links.
    void restore_links();

    net::http_client& http() { return http_; }

private:
    void add_instance(int index);
    void add_target(int index);
    void call(const std::string& method, const std::string& address, const std::string& path,
              const std::string& body);
    void write_next_configuration();
    std::string write_settings(const soak_instance& instance, const std::string& ip);

    ev::loop_ref loop_;
    soak_options options_;
    std::mt19937_64& random_;
    net::http_client http_;
    std::vector<std::string> ports_;
    std::string store_address_;
    std::string caller_address_;
    std::string route_board_;
    std::string route_plans_;
    std::vector<std::string> seeds_;
    std::unique_ptr<process> store_;
    std::vector<soak_instance> instances_;
    std::vector<soak_target> targets_;
    // Written one at a time, in order: versions in the store must increase.
    std::deque<std::string> pending_configurations_;
    bool is_writing_ = false;
    std::int64_t version_ = 0;
    int extra_routes_ = 0;
};

}  // namespace bramleytrack::standins
