// A target as this instance knows it: what it said of itself, and since when.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "discovery/records.h"

namespace bramleytrack::discovery {

// 32 bits that stand for a target in the packets of its flows; 0 stands for none.
using routing_token = std::uint32_t;

// The same on all instances: a hash of the id alone.
routing_token token_of(std::string_view id);

// Why a target isn't listed any more.
enum class absence {
    none,      // it is listed
    left,      // it drained and then left the list
    vanished,  // it left the list without a word, or the store lost its entry
};

struct target {
    target_entry entry;
    routing_token token = 0;
    absence gone = absence::none;
    clock::time_point changed_at;  // when this instance learned the newest word
    std::int64_t revision = 0;     // of that word in the store
    clock::time_point cold_until;
    // While the store was away, entries of live targets may lapse: one that vanished may still take
    // new flows until then. Empty for a target that vanished while the store was well.
    std::optional<clock::time_point> presumed_alive_until;
    // Another target with the same token takes the packets, see directory.
    bool has_token_conflict = false;

    bool is_listed() const { return gone == absence::none; }
    bool is_cold(clock::time_point now) const { return now < cold_until; }
    bool takes_flows(clock::time_point now) const {
        const bool is_there =
            is_listed() || (presumed_alive_until.has_value() && now < *presumed_alive_until);
        return is_there && entry.state == target_state::ready && !has_token_conflict;
    }
};

}  // namespace bramleytrack::discovery
