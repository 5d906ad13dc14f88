#include "steering/target_sample.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

using target_list = std::span<discovery::target* const>;

const discovery::target* target_at(std::span<const target_list> lists, std::size_t index) {
    for (const auto& each : lists) {
        if (index < each.size()) {
            return each[index];
        }
        index -= each.size();
    }
    return nullptr;
}

}  // namespace

std::vector<const discovery::target*> sample_targets(std::span<const target_list> lists,
                                                     std::uint64_t flow_hash,
                                                     std::size_t max_size) {
    std::size_t total = 0;
    for (const auto& each : lists) {
        total += each.size();
    }
    std::vector<const discovery::target*> result;
    if (total <= max_size) {
        for (const auto& each : lists) {
            result.insert(result.end(), each.begin(), each.end());
        }
        return result;
    }
    result.reserve(max_size);
    // Floyd's algorithm: each step adds one target that hasn't been drawn yet.
    for (std::size_t last = total - max_size; last < total; ++last) {
        const auto* drawn = target_at(lists, hash_of(flow_hash, last) % (last + 1));
        const bool is_drawn = std::ranges::find(result, drawn) != result.end();
        result.push_back(is_drawn ? target_at(lists, last) : drawn);
    }
    return result;
}

}  // namespace bramleytrack::steering
