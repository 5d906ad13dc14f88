// The keys under which digests report a route's use of a service.
//
// A digest has no room for names, so it carries a hash of both. The index resolves it to the names
// of the catalogue; it is rebuilt only for a new version of the catalogue, so that routes without
// traffic cost nothing per opening.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "discovery/directory.h"

namespace bramleytrack::fleet {

// There are few services and routes, so 32 bits distinguish them in a digest.
std::int32_t short_hash_of(std::string_view service);
std::int32_t route_key_of(std::string_view service, std::string_view route);

class route_keys {
public:
    struct pair {
        std::string service;
        std::string route;
        std::int32_t service_hash = 0;
        // Whether the current catalogue splits the route to the service with a weight above 0.
        bool is_split = false;
    };

    explicit route_keys(const discovery::directory& directory) : directory_{directory} {}

    // Returns null for a key that no catalogue of this instance contained. The pointer is valid
    // until the catalogue changes.
    const pair* find(std::int32_t key);

private:
    void rebuild();

    const discovery::directory& directory_;
    std::int64_t version_ = 0;  // of the catalogue that the index represents
    // Also contains pairs that only earlier catalogues contained: flows that were opened before the
    // change continue, and their requests occupy the service.
    std::unordered_map<std::int32_t, pair> pairs_;
};

}  // namespace bramleytrack::fleet
