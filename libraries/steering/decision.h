// What is decided about a packet, and how far the instance trusted what it knew.
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

// The caller learns at once that this flow leads nowhere.
struct refuse {
    reset answer;
    result_code reason = result_code::ok;
};

// Nothing is said: the caller sends again, and another instance or a moment later may know more.
struct drop {
    result_code reason = result_code::ok;
};

using decision = std::variant<forward, refuse, drop>;

// How far the instance trusts what it knows when a packet arrives.
struct directory_state {
    bool is_complete = false;     // the store, or a peer, has told everything once
    clock::time_point confirmed;  // what the directory holds was true then
};

// ok for a packet that is forwarded.
result_code reason_of(const decision& made);

}  // namespace bramleytrack::steering
