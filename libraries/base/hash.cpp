#include "base/hash.h"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bramleytrack {

std::uint64_t hash_of(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hash_of(std::uint64_t first, std::uint64_t second) {
    const std::array<std::uint64_t, 2> values{first, second};
    return XXH3_64bits(values.data(), sizeof(values));
}

}  // namespace bramleytrack
