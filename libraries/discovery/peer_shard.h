// The shards into which the registrations of instances are divided in the store.
//
// An instance that starts lists one shard to find peers. Listing all registrations would take a
// thousand instances seconds of the store's link when all start at once.
#pragma once

#include <cstddef>
#include <string_view>

#include "base/hash.h"

namespace bramleytrack::discovery {

constexpr std::size_t peer_shards = 16;

// By the name, so that all instances compute the same shard.
inline std::size_t peer_shard(std::string_view name) {
    return static_cast<std::size_t>(hash_of(name) % peer_shards);
}

}  // namespace bramleytrack::discovery
