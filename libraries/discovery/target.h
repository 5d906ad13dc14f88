// A target as this instance holds it: its entry in the store, and when that was received.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "discovery/records.h"

namespace bramleytrack::discovery {

// Identifies a target in the packets of its flows; 0: no target.
using routing_token = std::uint32_t;

// A hash of the id alone, so that all instances compute the same token.
routing_token token_of(std::string_view id);

// How a target's entry was removed.
enum class removal_reason {
    none,        // it is listed
    drained,     // after it had drained
    unexpected,  // it stopped without draining, or the store lost its entry
};

struct target {
    target_entry entry;
    routing_token token = 0;
    removal_reason removal = removal_reason::none;
    clock::time_point changed_at;  // when this instance received the newest state
    std::int64_t revision = 0;     // of that state in the store
    // Until then the target is cold: it has just started and can handle only
    // service::cold_flows_per_second new flows.
    clock::time_point cold_until;
    // Entries of live targets may expire during a store outage: a target whose entry was removed
    // unexpectedly after an outage, or along with many others, may take new flows until this time.
    std::optional<clock::time_point> presumed_alive_until;
    // Another target with the same token receives the packets, see
    // directory::resolve_token_conflict().
    bool has_token_conflict = false;

    bool is_listed() const { return removal == removal_reason::none; }
    bool is_cold(clock::time_point now) const { return now < cold_until; }
    bool accepts_new_flows(clock::time_point now) const {
        const bool is_available =
            is_listed() || (presumed_alive_until.has_value() && now < *presumed_alive_until);
        return is_available && entry.state == target_state::ready && !has_token_conflict;
    }
};

}  // namespace bramleytrack::discovery
