// The latest digests of peers: how current each peer's state is, the load that it has on targets,
// and what its callers ask of each service.
//
// Digests are small and are sent to a few peers at a time, so their cost doesn't grow with the
// fleet. Their content is used only while it is fresh.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "discovery/directory.h"
#include "fleet/route_keys.h"
#include "steering/route_usage.h"
#include "steering/steering.h"
#include "steering/target_speeds.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::fleet {

struct digest_limits {
    // A digest is sent every 300 ms, so a peer's last one expires after three more were missed.
    clock::duration freshness{1'200};
    // Receivers of one digest. Eight are all peers in current fleets. For the traffic see
    // max_digest_size.
    std::size_t receivers = 8;
    // How many of the receivers are in other availability zones, provided that this instance's zone
    // has enough peers for the rest. Callers' flows and their targets are usually in one zone, so
    // most of a digest matters to peers in the same zone; updates of the store need two paths out
    // of it.
    std::size_t receivers_in_other_zones = 2;
    // Targets in one digest; the most loaded first.
    std::size_t max_loads = 10;
    // Services in one digest; those with the most demand first.
    std::size_t max_demands = 3;
    // Uses of a service by a route in one digest; those with the most demand first.
    std::size_t max_routes = 4;
};

struct received_digest {
    wire::digest content;
    clock::time_point at;
    // When the peer's state was last confirmed, on this instance's clock; the epoch if never.
    clock::time_point confirmed;
};

// The speeds of slow targets that a digest reports.
std::vector<steering::target_speed_report> speed_reports_of(const wire::digest& content);

class peer_digests final : public steering::remote_load {
public:
    // `zone` is the zone of this instance.
    peer_digests(const discovery::directory& directory, std::string self, std::string zone,
                 std::uint64_t seed, digest_limits limits = {});

    // `max_socket_wait`: how long the digest may have waited in this instance's socket.
    void on_digest(std::string_view sender, wire::digest content, clock::time_point now,
                   clock::duration max_socket_wait = clock::duration{0});
    void expire(clock::time_point now);

    bool is_fresh(const received_digest& subject, clock::time_point now) const {
        return now - subject.at <= limits_.freshness;
    }
    const std::map<std::string, received_digest, std::less<>>& received() const {
        return received_;
    }
    // When the last digest of any peer arrived.
    clock::time_point last_received_at() const { return last_received_at_; }
    // When the last digest arrived whose sender's latest store call had failed.
    clock::time_point store_failure_reported_at() const { return store_failure_reported_at_; }

    // The receivers of the next digest: peers in the same zone and in others. Each group is used in
    // a random order, and completely before a peer is selected again.
    std::vector<const discovery::peer_entry*> next_receivers();

    // The open requests per target for a digest, as this instance's flows show them. All targets in
    // `slow` are reported, with their speed.
    std::vector<wire::load_report> load_reports(
        const steering::flow_tracker& flows,
        std::span<const steering::target_speed_report> slow = {}) const;

    // Demand, open requests and work per route and service for a digest. Uses that no catalogue
    // contained are left out, since peers can't resolve their keys.
    std::vector<wire::route_report> route_reports(const steering::route_usage& usage,
                                                  const steering::flow_tracker& flows,
                                                  clock::time_point now) const;

    // The demand and the open requests per service for a digest. Services of which `routes` reports
    // a route are left out: peers add the reports of a service's routes up.
    std::vector<wire::demand_report> demand_reports(
        const steering::demand_by_service& demands, const steering::flow_tracker& flows,
        clock::time_point now, std::span<const wire::route_report> routes = {}) const;

    bool has_reports(clock::time_point now) const override {
        return !received_.empty() && now - last_received_at_ <= limits_.freshness;
    }
    double open_remote(steering::routing_token token, clock::time_point now) const override;
    double open_remote_of_service(std::string_view service, clock::time_point now) const override;
    double demand_remote(std::string_view service, clock::time_point now) const override;
    std::vector<steering::remote_route_usage> routes_remote(std::string_view service,
                                                            clock::time_point now) const override;
    // Also nothing if there is demand in the zone and no peer knows the work of any request of the
    // service: counted as idle, the zone would receive openings of all others.
    std::optional<double> zone_demand_remote(std::string_view service, std::string_view zone,
                                             clock::time_point now) const override;

private:
    // Demand and open requests through all instances that the fresh digests represent.
    struct load_sum {
        double demand = 0;  // of about the last half second
        double open = 0;
        double open_variance = 0;  // of the estimate `open`, since few digests represent many

        // `weight`: the number of instances that the report represents.
        void add(std::int32_t asked, std::int32_t open_requests, double weight);
        double open_lower_bound() const;
    };

    // The use of one service by one route.
    struct route_sum {
        load_sum load;
        std::map<std::string, double, std::less<>> demand_by_zone;  // of the callers' zone
        // Of the reports that know the work of a request.
        double demand_of_known_work = 0;
        double known_work = 0;  // milliseconds, of all requests in demand_of_known_work

        double work_ms() const {
            return demand_of_known_work > 0 ? known_work / demand_of_known_work : 0;
        }
    };

    struct zone_sum {
        double known_work = 0;              // milliseconds, of requests whose work is known
        double demand_of_unknown_work = 0;  // of the other requests
    };

    struct service_sum {
        load_sum load;
        std::vector<steering::remote_route_usage> routes;
        std::map<std::string, zone_sum, std::less<>> zones;
        double demand_of_known_work = 0;
        double known_work = 0;  // milliseconds, of all requests in demand_of_known_work
    };

    // The sums over all fresh digests.
    struct summary {
        std::unordered_map<steering::routing_token, double> loads;
        std::unordered_map<std::int32_t, service_sum> services;  // by the hash of the name
        std::set<std::string, std::less<>> zones;                // of the senders
        clock::time_point until;
        std::int64_t catalogue_version = 0;
    };

    // The placement of an opening looks up many targets of a service, so the sums are cached for a
    // short time instead of being recomputed for each.
    const summary& summarize(clock::time_point now) const;
    void add_routes(const std::unordered_map<std::int32_t, route_sum>& routes) const;
    const service_sum& remote_service_load(std::string_view service, clock::time_point now) const;
    // The number of instances that a fresh digest represents, per zone.
    std::map<std::string_view, double> weights_by_zone(clock::time_point now) const;
    std::string_view zone_of(std::string_view peer) const;
    // Moves up to `max_added` receivers from the rest of the group's current round to `to`.
    void add_receivers(std::vector<std::string>& round, bool is_same_zone, std::size_t max_added,
                       std::vector<const discovery::peer_entry*>& to);

    const discovery::directory& directory_;
    std::string self_;
    std::string zone_;
    digest_limits limits_;
    std::minstd_rand random_;
    std::map<std::string, received_digest, std::less<>> received_;  // by the sender's name
    clock::time_point last_received_at_;
    clock::time_point store_failure_reported_at_;
    // Receivers that weren't selected yet in the current round.
    std::vector<std::string> same_zone_round_;
    std::vector<std::string> other_zones_round_;
    mutable summary summary_;
    mutable route_keys route_keys_;
};

}  // namespace bramleytrack::fleet
