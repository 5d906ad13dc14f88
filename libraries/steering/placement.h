// Chooses the target of a new flow among those that are eligible.
//
// Handles many callers, each with a few long flows whose requests arrive irregularly; a target that
// is slow, silent or full while others are idle; and a burst in one zone. Without it, every target
// gets the same number of flows, and a slow one collects work until its queue rejects requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

#include "discovery/target.h"

namespace bramleytrack::steering {

// The state of a target when a flow is to be placed.
struct candidate {
    const discovery::target* target = nullptr;
    bool is_in_same_region = true;  // as this instance
    bool is_in_same_zone = false;   // as this instance, or in the zone that zone_balance chose
    bool is_ejected = false;        // ejected, found dead here or reported dead by peers
    bool has_capacity = true;       // see admission
    // Open requests per slot, through all instances as far as reported, with the new flow counted
    // as one of them. Multiplied by the target's answer time relative to the mean of the
    // candidates.
    double load = 0;
    double answer_ms = 0;  // mean time of its answers to requests; 0 when unknown
};

// Whether so many targets are ejected that ejection is no longer trusted.
//
// Guards against packet loss on this instance's own link: openings stay unanswered, and nearly all
// targets are ejected although they are alive; the few others are soon full, and callers would be
// refused while targets are idle. More than half of a service doesn't die within the seconds for
// which targets are ejected, so beyond that ejected targets take the flows that the others can't.
bool are_too_many_ejected(std::size_t ejected, std::size_t all);

// Why no target was chosen.
enum class placement_failure {
    // There are no candidates.
    no_target,
    // No candidate that may be used has capacity for the flow, and not all are ejected. Ejected
    // ones may be used when are_too_many_ejected() holds.
    saturated
};

// `flow_hash` spreads flows evenly, and lets two instances with the same state choose the same
// target. Of the candidates in the preferred group, two are compared. Each retransmission of an
// opening packet, numbered by `copy`, compares the two after those of the packet before. In a group
// of at least four these are two others; in a group of three the pairs overlap; in a group of one
// or two they are the same, and the same target may be chosen again.
//
// Targets in the instance's own zone come first: a packet to another zone takes longer, is charged
// by the byte, and the flow breaks when the zones are partitioned.
std::variant<std::size_t, placement_failure> choose(std::span<const candidate> candidates,
                                                    std::uint64_t flow_hash, std::uint32_t copy);

}  // namespace bramleytrack::steering
