// Hash functions whose results must be the same on all instances. Changing one breaks rolling
// upgrades, during which instances of both versions are running.
#pragma once

#include <cstdint>
#include <string_view>

namespace bramleytrack {

std::uint64_t hash_of(std::string_view text);

// Combined hash of two values, for rendezvous hashing scores and composite keys.
std::uint64_t hash_of(std::uint64_t first, std::uint64_t second);

}  // namespace bramleytrack
