// What peers said of themselves lately: how new their knowledge is, and the load of targets as they
// see it.
//
// Digests are small and go to a few peers at a time, so their cost doesn't grow with the fleet.
// What they tell is used only while it is fresh.
#pragma once

#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "discovery/directory.h"
#include "steering/steering.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::fleet {

struct digest_limits {
    // Three digests in a row are missed before a peer's word is left aside.
    clock::duration freshness{1'200};
    // Receivers at a time: eight are all peers of today's fleets. With at most 185 bytes each 300
    // ms they cost the sender 4.9 KB a second, and an instance has 5 for control at any size.
    std::size_t receivers = 8;
    // Of these, in other availability zones, as long as the own zone has enough peers for the rest.
    // Callers' flows and their targets are of one zone as a rule, so what one instance sees helps
    // those of its zone most; news of the store needs two ways out of it.
    std::size_t receivers_elsewhere = 2;
    // Loads in one digest; the most loaded first.
    std::size_t max_loads = 10;
    // Services in one digest; those that most is asked of first.
    std::size_t max_demands = 3;
};

struct received_digest {
    wire::digest content;
    clock::time_point at;
    clock::time_point confirmed;  // on this instance's clock; the epoch when never
};

class peer_digests final : public steering::remote_load {
public:
    // `zone` is this instance's.
    peer_digests(const discovery::directory& known, std::string self, std::string zone,
                 std::uint64_t seed, digest_limits limits = {});

    void on_digest(std::string_view sender, wire::digest content, clock::time_point now);
    void expire(clock::time_point now);

    bool is_fresh(const received_digest& subject, clock::time_point now) const {
        return now - subject.at <= limits_.freshness;
    }
    const std::map<std::string, received_digest, std::less<>>& received() const {
        return received_;
    }
    // When any peer was last heard.
    clock::time_point last_received_at() const { return last_received_at_; }
    // When a peer last said that the store didn't answer it.
    clock::time_point store_failure_reported_at() const { return store_missed_at_; }

    // Whom the next digest goes to: peers of the own zone and of others, each group in a random
    // order, all of it before one comes again.
    std::vector<const discovery::peer_entry*> next_receivers();

    // The loads to tell: what this instance's packets show.
    std::vector<wire::load_report> loads_of(const steering::flow_tracker& flows) const;

    std::vector<wire::demand_report> demands_of(const steering::demand_by_service& demands,
                                                const steering::flow_tracker& flows,
                                                clock::time_point now) const;

    double open_remote(steering::routing_token token, clock::time_point now) const override;
    double open_remote_of_service(std::string_view service, clock::time_point now) const override;
    double demand_remote(std::string_view service, clock::time_point now) const override;

private:
    // One service, over the instances that the fresh digests stand for.
    struct service_sum {
        double asked = 0;
        double open = 0;
        double open_variance = 0;  // of what is open, as few instances stand for many
    };

    // What fresh digests say together.
    struct summary {
        std::unordered_map<steering::routing_token, double> loads;
        std::unordered_map<std::int32_t, service_sum> services;  // by the hash of the name
        clock::time_point until;
    };

    // An opening looks up many targets of a service, so the sums are kept for a moment instead of
    // being made anew for each.
    const summary& summarize(clock::time_point now) const;
    service_sum service_elsewhere(std::string_view service, clock::time_point now) const;
    // For how many instances a fresh digest from each zone stands.
    std::map<std::string_view, double> weights_by_zone(clock::time_point now) const;
    std::string_view zone_of(std::string_view peer) const;
    // Takes up to `most` receivers from those that are still to come in a round of the group.
    void add_receivers(std::vector<std::string>& round, bool is_near, std::size_t most,
                       std::vector<const discovery::peer_entry*>& to);

    const discovery::directory& known_;
    std::string self_;
    std::string zone_;
    digest_limits limits_;
    std::minstd_rand random_;
    std::map<std::string, received_digest, std::less<>> received_;  // by the sender's name
    clock::time_point last_received_at_;
    clock::time_point store_missed_at_;
    // Receivers still to come in this round.
    std::vector<std::string> near_round_;
    std::vector<std::string> far_round_;
    mutable summary summary_;
};

}  // namespace bramleytrack::fleet
