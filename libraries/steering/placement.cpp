#include "steering/placement.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "base/hash.h"

namespace bramleytrack::steering {
namespace {

// The power of two choices (Mitzenmacher, 2001): two remove most of the imbalance of one. More make
// all instances pick the same idle target while their reports are a fraction of a second old.
constexpr std::size_t choice_count = 2;

struct ranked_candidate {
    std::uint64_t score = 0;
    std::size_t index = 0;
};

// The candidates that `filter` selects, the highest rendezvous score first. The original opening
// packet uses the first `choice_count` of them, each retransmission as many further down.
std::vector<ranked_candidate> rank_by_score(std::span<const candidate> candidates,
                                            std::uint64_t flow_hash,
                                            bool (*filter)(const candidate&)) {
    std::vector<ranked_candidate> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (filter(candidates[i])) {
            result.push_back(
                {.score = hash_of(flow_hash, candidates[i].target->token), .index = i});
        }
    }
    std::ranges::sort(result, std::greater{}, &ranked_candidate::score);
    return result;
}

std::optional<std::size_t> choose_less_loaded(std::span<const candidate> candidates,
                                              std::uint64_t flow_hash, std::uint32_t copy,
                                              bool (*filter)(const candidate&)) {
    const auto order = rank_by_score(candidates, flow_hash, filter);
    if (order.empty()) {
        return std::nullopt;
    }
    // Each retransmission starts further down the order than the packet before, and wraps around.
    const auto start = std::size_t{copy} * choice_count % order.size();
    std::size_t best = order[start].index;
    for (std::size_t i = 1; i < std::min(choice_count, order.size()); ++i) {
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
        [](const candidate& each) {
            return !each.is_ejected && each.has_capacity && each.is_in_same_zone;
        },
        [](const candidate& each) {
            return !each.is_ejected && each.has_capacity && each.is_in_same_region;
        },
        [](const candidate& each) { return !each.is_ejected && each.has_capacity; }};
    for (const auto filter : preferred) {
        if (const auto found = choose_less_loaded(candidates, flow_hash, copy, filter)) {
            return *found;
        }
    }
    const auto ejected = std::ranges::count_if(candidates, &candidate::is_ejected);
    if (are_too_many_ejected(static_cast<std::size_t>(ejected), candidates.size())) {
        constexpr group has_capacity = [](const candidate& each) { return each.has_capacity; };
        if (const auto found = choose_less_loaded(candidates, flow_hash, copy, has_capacity)) {
            return *found;
        }
    }
    if (!std::ranges::all_of(candidates, &candidate::is_ejected)) {
        return placement_failure::saturated;
    }
    // All are ejected and at capacity. The flow is admitted, unlike in the saturated case: one of
    // the targets may have recovered, and its response to this flow would show that and end the
    // ejection.
    return *choose_less_loaded(candidates, flow_hash, copy, [](const candidate&) { return true; });
}

}  // namespace bramleytrack::steering
