#include "fleet/route_keys.h"

#include "base/hash.h"

namespace bramleytrack::fleet {
namespace {

// Pairs of earlier catalogues are kept up to this number. Catalogues have about fifty routes.
constexpr std::size_t max_retained_pairs = 1'000;

}  // namespace

std::int32_t short_hash_of(std::string_view service) {
    return static_cast<std::int32_t>(hash_of(service));
}

std::int32_t route_key_of(std::string_view service, std::string_view route) {
    return static_cast<std::int32_t>(hash_of(hash_of(service), hash_of(route)));
}

const route_keys::pair* route_keys::find(std::int32_t key) {
    if (version_ != directory_.current_catalogue().version) {
        rebuild();
    }
    const auto found = pairs_.find(key);
    return found == pairs_.end() ? nullptr : &found->second;
}

void route_keys::rebuild() {
    version_ = directory_.current_catalogue().version;
    if (pairs_.size() > max_retained_pairs) {
        pairs_.clear();
    }
    for (auto& [key, each] : pairs_) {
        each.is_split = false;
    }
    for (const auto& route : directory_.current_catalogue().routes) {
        for (const auto& split : route.splits) {
            auto& added = pairs_[route_key_of(split.service, route.name)];
            added.service = split.service;
            added.route = route.name;
            added.service_hash = short_hash_of(split.service);
            added.is_split = added.is_split || split.weight > 0;
        }
    }
}

}  // namespace bramleytrack::fleet
