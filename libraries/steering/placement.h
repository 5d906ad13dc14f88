// Which target a new flow goes to, among those that may take it.
//
// Load that it answers: many callers, each with a few long flows whose requests come in no order; a
// target that is slow, silent or full while others are idle; a burst in one zone.
// Without it, each target gets a share by number, and a slow one collects work until its queue
// turns requests away.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "discovery/target.h"

namespace bramleytrack::steering {

// What is known of a target when a flow is to be placed.
struct candidate {
    const discovery::target* subject = nullptr;
    bool is_near = false;     // in this instance's zone
    bool is_shunned = false;  // left an opening unanswered not long ago
    double load = 0;          // requests that are open on it, by slot, as far as all instances tell
};

struct placement_limits {
    // Requests to another zone cost 1.8 ms and are priced by the byte; they pay when the zone's own
    // targets have this much more work open, by slot, than those elsewhere.
    double spill_margin = 1.0;
};

// `flow_hash` spreads flows evenly and lets two instances that know the same choose alike; `copy`
// moves a copy of an opening packet on to another target than the one before.
std::optional<std::size_t> choose(std::span<const candidate> candidates, std::uint64_t flow_hash,
                                  std::uint32_t copy, const placement_limits& limits = {});

}  // namespace bramleytrack::steering
