// Packets for targets that are being moved: they wait until the move has ended and are then routed
// anew. Without it each move loses the packets of a moment, and callers have to send them again.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// Packets of each kind that wait for the end of one move; more are refused, and callers send them
// again.
constexpr std::size_t max_held_packets = 4096;

struct released_packets {
    std::vector<wire::forward> forwards;
    std::vector<wire::target_packet> from_targets;
};

class held_packets {
public:
    // Each returns false when there is no room.
    bool hold(std::string_view target, wire::forward content);
    bool hold(std::string_view target, wire::packet content);

    // The target's move has ended.
    void release(std::string_view target);
    void release_all();
    // What was released since the last call.
    released_packets take_released() { return std::exchange(released_, {}); }

private:
    std::map<std::string, released_packets, std::less<>> held_;  // by target
    released_packets released_;
};

}  // namespace bramleytrack::hand_over
