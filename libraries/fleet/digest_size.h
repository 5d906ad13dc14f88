// The limit on the size of a digest.
#pragma once

#include <cstddef>

#include "wire/codec.h"

namespace bramleytrack::fleet {

// As a datagram, with the sender's name and the tag. Eight receivers every 300 ms cost the sender
// 5 KB/s, which is the budget of an instance for control traffic whatever the size of the fleet.
constexpr std::size_t max_digest_size = 187;

// Removes reports from the message's digest until its datagram has at most max_digest_size bytes:
// first loads, those with the fewest open requests first and those with a speed last; then the
// smallest demands, and then the routes with the least demand. Verdicts on dead targets aren't
// counted and always stay: they are rare, and callers wait for the resets that follow them.
void limit_digest_size(wire::peer_message& message, wire::encoder& encoder,
                       const wire::fleet_key& key);

}  // namespace bramleytrack::fleet
