// The state of discovery that this instance holds: the operators' catalogue, targets, zones out of
// service, and peers.
//
// As long as the process runs, no part of it returns to an older state: catalogues are ordered by
// version, and everything else by the revision of its key, which store::mirror ensures.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "discovery/bulk_removal_detector.h"
#include "discovery/service_pools.h"
#include "discovery/target.h"

namespace bramleytrack::discovery {

// A peer, and when this instance received its registration.
struct registered_peer {
    peer_entry entry;
    clock::time_point registered_at;
};

struct directory_limits {
    // The longest time for which a flow can continue after its target's entry was removed.
    clock::duration flow_lifetime{60'000};
    // For how long a target whose entry may have expired during a store outage is presumed alive,
    // counted from the arrival of the removal at this instance. Targets whose entries expired
    // during the outage have written them again about two seconds after the store is reachable
    // again. A target whose entry is still missing then counts as gone.
    clock::duration reregistration_grace{2'000};
    // Entries that expire because of the same outage are removed within one heartbeat of the
    // targets. See bulk_removal_detector.
    clock::duration bulk_removal_window{1'500};
    // For how long a departed peer keeps the ownership of its cold targets (steering/cold_gate).
    // An instance that is isolated from all others doesn't receive the removal of its own entry
    // and continues to open flows to these targets until it detects its isolation, after
    // update_source_limits::isolation_timeout (2 s) plus one tick. If another instance became
    // the owner before that, both would open flows to them.
    clock::duration departed_peer_retention{2'500};
    // Other writers of the store could add any number of targets; 4,700 are planned for.
    std::size_t max_targets = 20'000;
};

// The effect of a record on the directory.
enum class change {
    none,     // the directory held this state or a newer one, or the record doesn't concern it
    applied,  // the directory has changed
    // A target beyond max_targets, or a value that can't be decoded. The latter also removes the
    // target whose key it is stored under.
    refused
};

class directory {
public:
    explicit directory(directory_limits limits = {}) : limits_{limits} {}

    void set_flow_lifetime(clock::duration lifetime) { limits_.flow_lifetime = lifetime; }

    // `had_recent_store_outage`: the store was unreachable a short time ago, so a removal may be
    // the expiry of a live target's entry.
    change apply(const record& subject, std::int64_t revision, bool had_recent_store_outage,
                 clock::time_point now);
    // Drops targets that were removed longer ago than a flow can continue, and departed peers after
    // their retention.
    void expire(clock::time_point now);

    bool has_catalogue() const { return catalogue_.version > 0; }
    const catalogue& current_catalogue() const { return catalogue_; }
    const route* find_route(const endpoint& address) const;
    const route* find_route_by_name(std::string_view name) const;
    // When the route was removed from the catalogue, if an earlier version contained it.
    std::optional<clock::time_point> route_dropped_at(const endpoint& address) const;
    const pool* find_pool(std::string_view service) const;
    // nullptr unless a target has the token, or had it within the lifetime of a flow.
    const target* find_target(routing_token token) const;
    // Zones that operators have taken out of service.
    bool is_zone_out(std::string_view zone) const { return zones_out_.contains(zone); }
    const std::set<std::string, std::less<>>& zones_out() const { return zones_out_; }
    const std::map<std::string, registered_peer, std::less<>>& peers() const { return peers_; }
    // The number of registered peers in each zone that has one.
    const std::map<std::string, std::size_t, std::less<>>& peers_by_zone() const {
        return peers_by_zone_;
    }
    // Peers whose entry was removed within departed_peer_retention, and when this instance received
    // the removal. They still count as possible owners of cold targets.
    const std::map<std::string, clock::time_point, std::less<>>& departed_peers() const {
        return departed_peers_;
    }
    std::size_t target_count() const { return targets_.size(); }
    void for_each_target(const std::function<void(const target&)>& visit) const;

private:
    void register_peer(const peer_entry& update, clock::time_point now);
    bool unregister_peer(std::string_view name);
    change apply_catalogue(const catalogue& update, clock::time_point now);
    change apply_target(const target_entry& update, std::int64_t revision, clock::time_point now);
    change remove_target(std::string_view id, std::int64_t revision, bool had_recent_store_outage,
                         clock::time_point now);
    bulk_removal_detector& bulk_removals_of(const std::string& service);
    void count_listed(const target& held, const target_entry& update);
    void presume_alive_on_bulk_removal(const std::string& service, clock::time_point now);
    void expire_target(std::string_view id, clock::time_point removed_at);
    void resolve_token_conflict(routing_token token);
    void rebuild_pools() const;
    // Whether the target belongs into the pool of its service.
    static bool is_pooled(const target& subject) {
        return subject.removal != removal_reason::drained;
    }

    directory_limits limits_;
    catalogue catalogue_;
    std::map<endpoint, const route*> routes_;                              // into catalogue_
    std::map<std::string_view, const route*> routes_by_name_;              // into catalogue_
    std::map<endpoint, clock::time_point> dropped_routes_;                 // bounded
    std::map<std::string, std::unique_ptr<target>, std::less<>> targets_;  // by id
    std::unordered_map<routing_token, std::vector<target*>> targets_by_token_;
    std::map<std::string, bulk_removal_detector, std::less<>> bulk_removals_;  // by service
    struct removed_target {
        std::string id;
        clock::time_point at;
    };
    // Ordered by time. A target that was listed again since has another time of change.
    std::deque<removed_target> removed_targets_;
    // Derived from the members above. Built on demand after the catalogue has changed, so that the
    // first read of the store adds its thousands of targets at once; changed with each target
    // afterwards.
    mutable service_pools pools_;
    mutable bool are_pools_stale_ = true;
    std::set<std::string, std::less<>> zones_out_;
    std::map<std::string, registered_peer, std::less<>> peers_;
    std::map<std::string, std::size_t, std::less<>> peers_by_zone_;
    std::map<std::string, clock::time_point, std::less<>> departed_peers_;
};

}  // namespace bramleytrack::discovery
