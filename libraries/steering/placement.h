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
    bool is_in_same_zone = false;   // as this instance
    bool is_ejected = false;        // recently left an opening unanswered
    bool has_capacity = true;       // see admission
    double load = 0;       // open requests per slot, through all instances as far as reported
    double answer_ms = 0;  // how long its answers take, 0 when unknown; weights its load
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
    no_target,  // no candidate
    saturated   // one more flow would be answered late on each of the candidates
};

// `flow_hash` spreads flows evenly, and lets two instances with the same state choose the same
// target; `copy` moves a copy of an opening packet on to another target than the one before.
//
// Targets in the instance's own zone come first: a packet to another zone takes longer, is charged
// by the byte, and the flow breaks when the zones are partitioned.
std::variant<std::size_t, placement_failure> choose(std::span<const candidate> candidates,
                                                    std::uint64_t flow_hash, std::uint32_t copy);

}  // namespace bramleytrack::steering
