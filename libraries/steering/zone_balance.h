// Decides which part of a zone's openings is placed in other zones.
//
// Handles demand that is uneven between zones: a zone with many times its usual callers fills its
// own targets' queues while those of other zones are idle. A zone sends away only what its own
// targets can't do, in proportion to the capacity that other zones have left: packets between zones
// are slower and charged by the byte.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bramleytrack::steering {

// One zone's targets and callers of a service.
struct zone_load {
    std::string zone;
    double capacity = 0;  // slots of its targets that accept flows
    double demand = 0;    // slots that its callers' requests would keep busy
    // Whether recent reports tell the demand. A zone of unknown demand takes nothing.
    bool is_known = false;
};

struct zone_share {
    std::string zone;
    double fraction = 0;  // of the openings
};

// Where the openings of callers in `own_zone` go; the fractions add up to 1, the own zone is first.
// `established_fraction`: the part of this zone's demand that comes on open flows of its own
// targets, which no decision can move.
std::vector<zone_share> balance_zones(std::span<const zone_load> zones, std::string_view own_zone,
                                      double established_fraction);

// `flow_hash` spreads flows evenly.
std::string_view choose_zone(std::span<const zone_share> shares, std::uint64_t flow_hash);

}  // namespace bramleytrack::steering
