#include "steering/placement.h"

#include <algorithm>
#include <array>
#include <vector>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

// Two choices remove most of the imbalance of one; more make all instances pick the same idle
// target while their reports are a fraction of a second old (Mitzenmacher, 2001).
constexpr std::size_t choices = 2;

struct ranked {
    std::uint64_t score = 0;
    std::size_t index = 0;
};

// The group's members in the order of their rendezvous scores; only the front is needed in order.
std::vector<ranked> rank(std::span<const candidate> candidates, std::uint64_t flow_hash,
                         bool (*is_member)(const candidate&)) {
    std::vector<ranked> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (is_member(candidates[i])) {
            result.push_back(
                {.score = hash_of(flow_hash, candidates[i].subject->token), .index = i});
        }
    }
    std::ranges::sort(result, std::greater{}, &ranked::score);
    return result;
}

std::optional<std::size_t> lighter_of_first(std::span<const candidate> candidates,
                                            std::span<const ranked> order, std::uint32_t copy) {
    if (order.empty()) {
        return std::nullopt;
    }
    // Copies begin further down the order.
    const auto start = std::size_t{copy} * choices % order.size();
    std::size_t best = order[start].index;
    for (std::size_t i = 1; i < std::min(choices, order.size()); ++i) {
        const auto other = order[(start + i) % order.size()].index;
        if (candidates[other].load < candidates[best].load) {
            best = other;
        }
    }
    return best;
}

}  // namespace

std::optional<std::size_t> choose(std::span<const candidate> candidates, std::uint64_t flow_hash,
                                  std::uint32_t copy, const placement_limits& limits) {
    const auto near = rank(candidates, flow_hash,
                           [](const candidate& each) { return each.is_near && !each.is_shunned; });
    const auto far = rank(candidates, flow_hash,
                          [](const candidate& each) { return !each.is_near && !each.is_shunned; });
    const auto in_zone = lighter_of_first(candidates, near, copy);
    const auto elsewhere = lighter_of_first(candidates, far, copy);
    if (in_zone && elsewhere) {
        const bool is_spilled =
            candidates[*in_zone].load >= candidates[*elsewhere].load + limits.spill_margin;
        return is_spilled ? elsewhere : in_zone;
    }
    if (in_zone || elsewhere) {
        return in_zone ? in_zone : elsewhere;
    }
    // All are shunned: one of them may have come back, and nothing else is left to try.
    const auto all = rank(candidates, flow_hash, [](const candidate&) { return true; });
    return lighter_of_first(candidates, all, copy);
}

}  // namespace bramleytrack::steering
