// Which targets an opening looks at: all of a small service, and some of a large one.
//
// Load that it answers: thousands of new flows a second for services with thousands of targets,
// where looking at each target costs more than all else. Two choices among a few are nearly as good
// as among all (Mitzenmacher, 2001), as long as some of the few can take the flow.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "discovery/target.h"

namespace bramleytrack::steering {

// So many of the own zone's targets are looked at. With a third of them dead or full, all of a
// sample are once in ten million openings.
constexpr std::size_t same_zone_sample_size = 16;
// Those of the own region, and of all others, are only wanted when the own zone can't take a flow.
constexpr std::size_t same_region_sample_size = 16;
constexpr std::size_t remote_region_sample_size = 8;

// Up to `most` targets of all the lists together. `flow_hash` decides which, so that instances with
// the same lists look at the same ones.
std::vector<const discovery::target*> sample_of(
    std::span<const std::span<discovery::target* const>> lists, std::uint64_t flow_hash,
    std::size_t most);

}  // namespace bramleytrack::steering
