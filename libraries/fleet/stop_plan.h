// Decides when an instance that was requested to stop may end its process.
//
// The routers take the instance out of rotation within about a second, and packets in flight arrive
// a little later. But when fewer than half of a zone's instances are in rotation, the routers use
// all of them again, including those that have ended, and packets to these are lost. So an instance
// whose zone has mostly left the rotation forwards packets until its grace period is nearly over.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "base/clock.h"
#include "discovery/directory.h"

namespace bramleytrack::fleet {

struct stop_limits {
    // The routers probe twice a second and need two failures; the rest is for packets in flight.
    clock::duration min_stop_time{1'500};
    // Time without a packet from a caller.
    clock::duration min_idle_time{800};
    // The part of the grace period that is left for an orderly shutdown.
    clock::duration shutdown_time{700};
    // The routers probe twice a second, and one success puts an instance back into rotation.
    clock::duration time_to_rotation{1'000};
};

// The number of peers in `zone` that are in rotation: they have been registered for
// time_to_rotation.
inline std::size_t peers_in_rotation(const discovery::directory& directory, std::string_view self,
                                     std::string_view zone, clock::time_point now,
                                     const stop_limits& limits = {}) {
    return static_cast<std::size_t>(std::ranges::count_if(directory.peers(), [&](const auto& each) {
        const auto& [name, peer] = each;
        return name != self && peer.entry.zone == zone &&
               now - peer.registered_at >= limits.time_to_rotation;
    }));
}

class stop_plan {
public:
    explicit stop_plan(stop_limits limits = {}) : limits_{limits} {}

    // `zone_peers` is the current result of peers_in_rotation().
    void begin(clock::time_point now, std::size_t zone_peers) {
        is_begun_ = true;
        begun_at_ = now;
        initial_in_rotation_ = zone_peers + 1;
    }

    bool is_begun() const { return is_begun_; }
    clock::duration elapsed(clock::time_point now) const { return now - begun_at_; }

    // `packet_at` is when the last packet of a caller arrived.
    bool may_end(clock::time_point now, clock::time_point packet_at, std::size_t zone_peers,
                 clock::duration grace) const {
        if (!is_begun_) {
            return false;
        }
        const bool is_idle =
            elapsed(now) >= limits_.min_stop_time && now - packet_at >= limits_.min_idle_time;
        const bool is_zone_in_rotation = zone_peers * 2 >= initial_in_rotation_;
        return (is_idle && is_zone_in_rotation) || elapsed(now) >= grace - limits_.shutdown_time;
    }

private:
    stop_limits limits_;
    bool is_begun_ = false;
    clock::time_point begun_at_;
    // Instances of the zone in rotation when the stop began, including this one.
    std::size_t initial_in_rotation_ = 1;
};

}  // namespace bramleytrack::fleet
