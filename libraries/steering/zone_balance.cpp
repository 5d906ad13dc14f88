#include "steering/zone_balance.h"

#include <algorithm>
#include <cmath>

namespace bramleytrack::steering {
namespace {

// The part of its capacity up to which a zone is filled. Demand is measured from samples of the
// instances' reports and comes in bursts: a zone filled completely would reject some of it.
constexpr double max_utilization = 0.9;
// More slots than this are a fault of measurement; the sums below must stay finite.
constexpr double max_slots = 1e9;

// False for a value that is not a number.
bool is_valid(double slots) {
    return slots >= 0 && slots <= max_slots;
}

// The demand that the zone's targets can't serve (positive) or its room (negative); 0 if unknown.
double excess_of(const zone_load& zone) {
    if (!zone.is_known || !is_valid(zone.demand)) {
        return 0;
    }
    return zone.demand - max_utilization * (is_valid(zone.capacity) ? zone.capacity : 0);
}

// The part of the openings that stays, if `stay` is the part of the whole demand that should.
double staying_openings(double stay, double established_fraction) {
    // False for a value that is not a number, which is taken for none established.
    const double established = established_fraction > 0 ? established_fraction : 0;
    return stay <= established ? 0 : (stay - established) / (1 - established);
}

}  // namespace

std::vector<zone_share> balance_zones(std::span<const zone_load> zones, std::string_view own_zone,
                                      double established_fraction) {
    std::vector<zone_share> result{{.zone = std::string{own_zone}, .fraction = 1}};
    const auto own = std::ranges::find(zones, own_zone, &zone_load::zone);
    if (own == zones.end() || excess_of(*own) <= 0) {
        return result;
    }
    double total_excess = 0;
    double total_room = 0;
    for (const auto& each : zones) {
        const double excess = excess_of(each);
        total_excess += std::max(0.0, excess);
        total_room += std::max(0.0, -excess);
    }
    if (total_room <= 0) {
        return result;
    }
    // All zones that are short compute the same, so that together they don't send more than there
    // is room for.
    const double moved = excess_of(*own) * std::min(1.0, total_room / total_excess);
    const double staying = staying_openings(1 - moved / own->demand, established_fraction);
    result.front().fraction = staying;
    for (const auto& each : zones) {
        const double room = -excess_of(each);
        if (room > 0) {
            result.push_back({.zone = each.zone, .fraction = (1 - staying) * (room / total_room)});
        }
    }
    return result;
}

std::string_view choose_zone(std::span<const zone_share> shares, std::uint64_t flow_hash) {
    if (shares.empty()) {
        return {};
    }
    // The upper 53 bits, as a number from 0 to below 1.
    double remaining = std::ldexp(static_cast<double>(flow_hash >> 11U), -53);
    for (const auto& each : shares) {
        if (remaining < each.fraction) {
            return each.zone;
        }
        remaining -= each.fraction;
    }
    // The fractions add up to a little less than 1 by rounding.
    return shares.front().zone;
}

}  // namespace bramleytrack::steering
