#include "steering/placement.h"

#include <algorithm>
#include <array>
#include <optional>
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
                                            std::uint64_t flow_hash, std::uint32_t copy,
                                            bool (*is_member)(const candidate&)) {
    const auto order = rank(candidates, flow_hash, is_member);
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

bool are_too_many_ejected(std::size_t ejected, std::size_t all) {
    return 2 * ejected > all;
}

std::variant<std::size_t, placement_failure> choose(std::span<const candidate> candidates,
                                                    std::uint64_t flow_hash, std::uint32_t copy) {
    if (candidates.empty()) {
        return placement_failure::no_target;
    }
    using group = bool (*)(const candidate&);
    constexpr std::array<group, 3> preferred{
        [](const candidate& each) { return !each.is_ejected && each.has_room && each.is_near; },
        [](const candidate& each) {
            return !each.is_ejected && each.has_room && each.is_in_same_region;
        },
        [](const candidate& each) { return !each.is_ejected && each.has_room; }};
    for (const auto is_member : preferred) {
        if (const auto found = lighter_of_first(candidates, flow_hash, copy, is_member)) {
            return *found;
        }
    }
    const auto ejected = std::ranges::count_if(candidates, &candidate::is_ejected);
    if (are_too_many_ejected(static_cast<std::size_t>(ejected), candidates.size())) {
        constexpr group has_room = [](const candidate& each) { return each.has_room; };
        if (const auto found = lighter_of_first(candidates, flow_hash, copy, has_room)) {
            return *found;
        }
    }
    if (!std::ranges::all_of(candidates, &candidate::is_ejected)) {
        return placement_failure::saturated;
    }
    // All are shunned and full: one of them may have come back, and nothing else is left to try.
    return *lighter_of_first(candidates, flow_hash, copy, [](const candidate&) { return true; });
}

}  // namespace bramleytrack::steering
