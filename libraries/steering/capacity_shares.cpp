#include "steering/capacity_shares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <tuple>

namespace bramleytrack::steering {
namespace {

// All guarantees together, of the capacity.
constexpr double max_guaranteed_part = 0.5;

struct ranked_claim {
    const share_claim* claim = nullptr;
    std::size_t position = 0;  // in the caller's list
    double demand = 0;
    double weight = 0;  // of a claim without weight: 1
    // Claims without weight divide what the others of their priority leave.
    bool is_weightless = false;
    double full_level = 0;    // the water level at which the demand is met: demand / weight
    double weights_from = 0;  // of this claim and of those behind it in its fill
    double allocated = 0;
};

// The claims of one priority.
struct priority_group {
    std::span<ranked_claim> claims;
    double demand = 0;
    double guaranteed = 0;
};

double to_amount(double value) {
    return std::isfinite(value) ? std::max(value, 0.0) : 0;
}

ranked_claim rank(const share_claim& claim, std::size_t position, double capacity) {
    ranked_claim ranked{.claim = &claim, .position = position};
    ranked.demand = std::isnan(claim.demand) ? 0 : std::clamp(claim.demand, 0.0, capacity);
    ranked.weight = to_amount(claim.weight);
    ranked.is_weightless = !std::isfinite(ranked.demand / ranked.weight);
    if (ranked.is_weightless) {
        ranked.weight = 1;
    }
    ranked.full_level = ranked.demand / ranked.weight;
    return ranked;
}

// The claims in the order in which divide_capacity() serves them: by priority, and then by the
// level at which they are full, those without weight last.
std::vector<ranked_claim> rank_all(double capacity, std::span<const share_claim> claims) {
    std::vector<ranked_claim> ranked;
    ranked.reserve(claims.size());
    for (const auto& each : claims) {
        ranked.push_back(rank(each, ranked.size(), capacity));
    }
    std::ranges::sort(ranked, {}, [](const ranked_claim& each) {
        return std::tuple{each.claim->priority, each.is_weightless, each.full_level, each.position};
    });
    return ranked;
}

std::vector<priority_group> group_by_priority(std::span<ranked_claim> ranked) {
    std::vector<priority_group> groups;
    while (!ranked.empty()) {
        const int priority = ranked.front().claim->priority;
        const auto end = std::ranges::find_if(
            ranked, [&](const auto& each) { return each.claim->priority != priority; });
        const auto count = static_cast<std::size_t>(end - ranked.begin());
        auto& group = groups.emplace_back(priority_group{.claims = ranked.first(count)});
        for (const auto& each : group.claims) {
            group.demand += each.demand;
        }
        ranked = ranked.subspan(count);
    }
    return groups;
}

// Sets the guarantees and returns their sum.
// The limit of one guarantee depends on the number of priorities in the list, not on which of them
// have demand. Otherwise the first request of the highest priority could lower the guarantees of
// the lowest ones, and so give a priority in between more than it had.
double guarantee(std::span<priority_group> groups, double capacity, const share_limits& limits) {
    const auto lower = static_cast<double>(std::max<std::size_t>(groups.size(), 2) - 1);
    const double part =
        std::min(to_amount(limits.lower_priority_minimum), max_guaranteed_part / lower);
    double sum = 0;
    bool is_below_demand = false;
    for (auto& group : groups) {
        if (is_below_demand) {
            group.guaranteed = std::min(part * capacity, group.demand);
            sum += group.guaranteed;
        }
        is_below_demand = is_below_demand || group.demand > 0;
    }
    return sum;
}

// Allocates by weighted max-min: raises one water level, where each claim has its weight times the
// level, until all are full or the capacity is used up. Returns the level.
double fill(std::span<ranked_claim> claims, double capacity) {
    double weights = 0;
    for (std::size_t i = claims.size(); i-- > 0;) {
        weights += claims[i].weight;
        claims[i].weights_from = weights;
    }
    double level = 0;
    bool is_used_up = false;
    for (auto& each : claims) {
        if (!is_used_up) {
            const double affordable = std::max(capacity, 0.0) / each.weights_from;
            is_used_up = each.full_level > affordable;
            level = is_used_up ? affordable : each.full_level;
        }
        each.allocated = is_used_up ? each.weight * level : each.demand;
        capacity -= is_used_up ? 0 : each.demand;
    }
    return level;
}

double allocated_to(std::span<const ranked_claim> claims) {
    return std::accumulate(claims.begin(), claims.end(), 0.0,
                           [](double sum, const auto& each) { return sum + each.allocated; });
}

// Divides `capacity` within one priority and returns how much of it is allocated.
double divide_group(std::span<ranked_claim> claims, double capacity,
                    std::span<capacity_share> shares) {
    const auto weightless =
        std::ranges::find_if(claims, [](const auto& each) { return each.is_weightless; });
    const auto weighted = claims.first(static_cast<std::size_t>(weightless - claims.begin()));
    const double level = fill(weighted, capacity);
    fill(claims.subspan(weighted.size()), capacity - allocated_to(weighted));
    const double sum = allocated_to(claims);
    for (const auto& each : claims) {
        const double by_weight = each.is_weightless ? 0 : each.weight * level;
        const double unused_by_others = capacity - (sum - each.allocated);
        shares[each.position] = {
            .allocated = each.allocated,
            // No more than the priority has: a large weight can lift the product above it.
            .entitlement =
                std::max(each.allocated, std::min(capacity, std::max(by_weight, unused_by_others))),
        };
    }
    return sum;
}

}  // namespace

std::vector<capacity_share> divide_capacity(double capacity, std::span<const share_claim> claims,
                                            const share_limits& limits) {
    capacity = to_amount(capacity);
    auto ranked = rank_all(capacity, claims);
    auto groups = group_by_priority(ranked);
    double guaranteed_below = guarantee(groups, capacity, limits);
    double remaining = capacity;
    std::vector<capacity_share> shares(claims.size());
    for (const auto& group : groups) {
        guaranteed_below -= group.guaranteed;
        const double available = std::max(remaining - std::max(guaranteed_below, 0.0), 0.0);
        remaining -= divide_group(group.claims, available, shares);
    }
    return shares;
}

}  // namespace bramleytrack::steering
