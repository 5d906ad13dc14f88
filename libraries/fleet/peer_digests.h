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
    // Loads in one digest; the most loaded first.
    std::size_t max_loads = 10;
    // Services in one digest; those that most is asked of first.
    std::size_t max_demands = 3;
};

struct heard_digest {
    wire::digest content;
    clock::time_point at;
    clock::time_point confirmed;  // on this instance's clock; the epoch when never
};

class peer_digests final : public steering::load_view {
public:
    peer_digests(const discovery::directory& known, std::string self, std::uint64_t seed,
                 digest_limits limits = {});

    void on_digest(std::string_view sender, wire::digest content, clock::time_point now);
    void expire(clock::time_point now);

    bool is_fresh(const heard_digest& subject, clock::time_point now) const {
        return now - subject.at <= limits_.freshness;
    }
    const std::map<std::string, heard_digest, std::less<>>& heard() const { return heard_; }
    // When any peer was last heard.
    clock::time_point heard_at() const { return heard_at_; }
    // When a peer last said that the store didn't answer it.
    clock::time_point store_missed_at() const { return store_missed_at_; }

    // Whom the next digest goes to: peers in a random order, all of them before one comes again.
    std::vector<const discovery::peer_entry*> next_receivers();

    // The loads to tell: what this instance's packets show.
    std::vector<wire::load_report> loads_of(const steering::flow_watch& flows,
                                            clock::time_point now) const;

    std::vector<wire::demand_report> demands_of(const steering::demand_by_service& demands,
                                                clock::time_point now) const;

    double open_elsewhere(steering::routing_token token, clock::time_point now) const override;
    double wanted_elsewhere(std::string_view service, clock::time_point now) const override;
    bool is_silent_elsewhere(steering::routing_token token, clock::time_point now) const override;

private:
    struct told_load {
        double open = 0;
        bool is_silent = false;
    };

    // What fresh digests say together.
    struct summary {
        std::unordered_map<steering::routing_token, told_load> loads;
        std::unordered_map<std::int32_t, double> demands;  // by the hash of the service's name
        clock::time_point until;
    };

    // An opening looks up every target of a service, so the sums are kept for a moment instead of
    // being made anew for each.
    const summary& summarize(clock::time_point now) const;

    const discovery::directory& known_;
    std::string self_;
    digest_limits limits_;
    std::minstd_rand random_;
    std::map<std::string, heard_digest, std::less<>> heard_;  // by the sender's name
    clock::time_point heard_at_;
    clock::time_point store_missed_at_;
    std::vector<std::string> order_;  // receivers still to come in this round
    mutable summary summary_;
};

}  // namespace bramleytrack::fleet
