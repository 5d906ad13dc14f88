// Buffers packets for targets that are being handed over, and releases them for routing when the
// hand-over has ended. Without it each hand-over would drop the packets that arrive meanwhile, and
// callers would have to retransmit them.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// Maximum number of held packets of each kind per target; further ones are dropped, and callers
// retransmit them.
constexpr std::size_t max_held_packets = 4096;

struct released_packets {
    std::vector<wire::forward> forwards;
    std::vector<wire::target_packet> from_targets;
};

class held_packets {
public:
    // Each returns false if max_held_packets are held already.
    bool hold(std::string_view target, wire::forward forwarded);
    bool hold(std::string_view target, wire::packet content);

    // To be called when the hand-over of the target has ended.
    void release(std::string_view target);
    void release_all();
    // Packets released since the last call.
    released_packets take_released() { return std::exchange(released_, {}); }

private:
    std::map<std::string, released_packets, std::less<>> held_;  // by target
    released_packets released_;
};

}  // namespace bramleytrack::hand_over
