// The decision about a packet, and how complete and current the directory was when it was made.
#pragma once

#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/result_code.h"
#include "discovery/target.h"
#include "steering/segment.h"

namespace bramleytrack::steering {

struct forward {
    const discovery::target* to = nullptr;
};

// Sends a reset, so that the caller fails at once instead of waiting for its deadline.
struct refuse {
    reset answer;
    result_code reason = result_code::ok;
};

// Sends nothing. The caller retransmits the packet, and by then this instance or another one
// may have a newer view of the directory.
struct drop {
    result_code reason = result_code::ok;
};

// The opening waits at this instance for capacity, see opening_queue. It is decided later.
struct hold {
    result_code reason = result_code::ok;
};

using decision = std::variant<forward, refuse, drop, hold>;

// How complete and current the directory is when a packet arrives.
struct directory_state {
    bool is_complete = false;     // received in full from the store or a peer
    clock::time_point confirmed;  // when its contents were last confirmed to be current
};

// Returns ok for a packet that is forwarded.
result_code reason_of(const decision& outcome);

}  // namespace bramleytrack::steering
