// A flow that more than one target may have accepted, and the target that holds it.
#pragma once

#include <algorithm>
#include <cstdint>

#include "steering/segment.h"

namespace bramleytrack::steering {

struct held_flow {
    flow_key flow;
    routing_token holder = 0;
    std::uint32_t acknowledged = 0;   // the holder's bytes that the caller has received
    std::uint32_t next_sequence = 0;  // after the caller's newest data

    // Whether the packet, of the same two ends, is of this flow and not of another one of the same
    // caller's port. The initial sequence numbers of each flow are arbitrary, so another flow
    // passes for this one with a probability of one in four million. A flow whose packets went
    // through other instances for more than max_distance bytes is not recognized.
    bool includes(const segment& packet) const {
        return is_near(packet.acknowledged, acknowledged) &&
               is_near(packet.sequence, next_sequence);
    }

private:
    static constexpr std::uint32_t max_distance = 1U << 20U;  // bytes

    static bool is_near(std::uint32_t left, std::uint32_t right) {
        return std::min(left - right, right - left) <= max_distance;
    }
};

}  // namespace bramleytrack::steering
