// Selects the targets that are evaluated for an opening: all of a small service, a sample of a
// large one.
//
// Handles thousands of new flows a second for services with thousands of targets, where evaluating
// every target costs more than all other work. Two choices among a sample are nearly as good as
// among all (Mitzenmacher, 2001), as long as some targets of the sample can take the flow.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "discovery/target.h"

namespace bramleytrack::steering {

// Of targets in the instance's own zone. With a third of them dead or full, a whole sample is dead
// or full once in ten million openings.
constexpr std::size_t same_zone_sample_size = 16;
// Targets of the own region and of other regions are needed only when the own zone can't take the
// flow.
constexpr std::size_t same_region_sample_size = 16;
constexpr std::size_t remote_region_sample_size = 8;

// Draws up to `max_size` targets from all lists together. `flow_hash` determines which, so that
// instances with the same lists draw the same ones.
std::vector<const discovery::target*> sample_targets(
    std::span<const std::span<discovery::target* const>> lists, std::uint64_t flow_hash,
    std::size_t max_size);

}  // namespace bramleytrack::steering
