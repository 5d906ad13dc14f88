// Which target a new flow goes to, among those that may take it.
//
// Load that it answers: many callers, each with a few long flows whose requests come in no order; a
// target that is slow, silent or full while others are idle; a burst in one zone.
// Without it, each target gets a share by number, and a slow one collects work until its queue
// turns requests away.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

#include "discovery/target.h"

namespace bramleytrack::steering {

// What is known of a target when a flow is to be placed.
struct candidate {
    const discovery::target* subject = nullptr;
    bool is_in_same_region = true;  // in this instance's region
    bool is_near = false;           // in this instance's zone
    bool is_ejected = false;        // left an opening unanswered not long ago
    bool has_room = true;           // see admission
    double load = 0;       // requests that are open on it, by slot, as far as all instances tell
    double answer_ms = 0;  // what its answers take, 0 when none is known; weighs its load
};

// Failure: this instance's own link loses packets, openings stay unanswered, and nearly all targets
// are shunned though they live; the few others are soon full, and callers would be refused while
// targets are idle. More than half of a service doesn't die within the seconds for which targets
// are shunned, so beyond that the sign is doubted, and shunned targets take what the others can't.
bool are_too_many_ejected(std::size_t ejected, std::size_t all);

// Why no target was chosen.
enum class placement_failure {
    no_target,  // there is none
    saturated   // there are, and one more flow would be answered late on each of them
};

// `flow_hash` spreads flows evenly and lets two instances that know the same choose alike; `copy`
// moves a copy of an opening packet on to another target than the one before.
//
// Targets of the instance's own zone come first: a packet to another zone takes longer, is priced
// by the byte, and the flow breaks when the zones are cut off from each other.
std::variant<std::size_t, placement_failure> choose(std::span<const candidate> candidates,
                                                    std::uint64_t flow_hash, std::uint32_t copy);

}  // namespace bramleytrack::steering
