#include "steering/target_sample.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

using target_list = std::span<discovery::target* const>;

const discovery::target* target_at(std::span<const target_list> lists, std::size_t position) {
    for (const auto& each : lists) {
        if (position < each.size()) {
            return each[position];
        }
        position -= each.size();
    }
    return nullptr;
}

}  // namespace

std::vector<const discovery::target*> sample_of(std::span<const target_list> lists,
                                                std::uint64_t flow_hash, std::size_t most) {
    std::size_t total = 0;
    for (const auto& each : lists) {
        total += each.size();
    }
    std::vector<const discovery::target*> result;
    if (total <= most) {
        for (const auto& each : lists) {
            result.insert(result.end(), each.begin(), each.end());
        }
        return result;
    }
    result.reserve(most);
    // Floyd's algorithm: each step adds one that isn't there yet.
    for (std::size_t last = total - most; last < total; ++last) {
        const auto* drawn = target_at(lists, hash_of(flow_hash, last) % (last + 1));
        const bool is_there = std::ranges::find(result, drawn) != result.end();
        result.push_back(is_there ? target_at(lists, last) : drawn);
    }
    return result;
}

}  // namespace bramleytrack::steering
