// The targets of each service, ordered by id and by zone.
//
// A change of one target costs a binary search and the move of pointers, not a pass over all
// targets: in a large fleet, targets change many times a second, and each change is followed by an
// opening that uses the pools. Only a change of the services rebuilds all pools.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/target.h"

namespace bramleytrack::discovery {

// A service to which routes can split, with its targets resolved.
struct pool {
    service description;
    std::vector<target*> targets;  // listed, or unexpectedly removed within flow_lifetime; by id
    std::map<std::string, std::vector<target*>, std::less<>> by_zone;  // the same targets
};

class service_pools {
public:
    // Replaces all pools. `targets` are ordered by id and are kept as pointers.
    void rebuild(std::span<const service> services, std::span<target* const> targets);
    // Adds a target to the pool of its service, if that service exists.
    void insert(target& added);
    // To be called before the service or the zone of the target changes. Without effect if the
    // target is in no pool.
    void erase(const target& removed);

    const pool* find(std::string_view service) const;

private:
    std::map<std::string, pool, std::less<>> pools_;  // by service
};

}  // namespace bramleytrack::discovery
