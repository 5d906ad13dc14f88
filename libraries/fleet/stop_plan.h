// When an instance that was told to stop may end.
//
// The routers take it out of rotation within a second or so; what is under way arrives a little
// longer. Failure: when fewer than half of a zone's instances are in rotation, the routers use all
// of them again, also those that have ended, and their packets are lost. So an instance that sees
// most of its zone leave forwards until its grace is nearly over.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "base/clock.h"
#include "discovery/directory.h"

namespace bramleytrack::fleet {

struct stop_limits {
    // Two probes a second, two misses, and what is under way.
    clock::duration shortest{1'500};
    clock::duration quiet{800};
    // What is left of the grace for ending in order.
    clock::duration reserve{700};
    // The routers probe twice a second, and one answer brings an instance back.
    clock::duration into_rotation{1'000};
};

// The zone's other instances that are in rotation as far as this one knows.
inline std::size_t others_in_rotation(const discovery::directory& known, std::string_view self,
                                      std::string_view zone, clock::time_point now,
                                      const stop_limits& limits = {}) {
    return static_cast<std::size_t>(std::ranges::count_if(known.peers(), [&](const auto& each) {
        const auto& [name, peer] = each;
        return name != self && peer.entry.zone == zone &&
               now - peer.registered_at >= limits.into_rotation;
    }));
}

class stop_plan {
public:
    explicit stop_plan(stop_limits limits = {}) : limits_{limits} {}

    // `others` are the zone's other instances that are in rotation now.
    void begin(clock::time_point now, std::size_t others) {
        is_begun_ = true;
        begun_at_ = now;
        zone_size_ = others + 1;
    }

    bool is_begun() const { return is_begun_; }
    clock::duration elapsed(clock::time_point now) const { return now - begun_at_; }

    // `packet_at` is when a caller's packet last came.
    bool may_end(clock::time_point now, clock::time_point packet_at, std::size_t others,
                 clock::duration grace) const {
        if (!is_begun_) {
            return false;
        }
        const bool is_quiet = elapsed(now) >= limits_.shortest && now - packet_at >= limits_.quiet;
        const bool is_zone_in_rotation = others * 2 >= zone_size_;
        return (is_quiet && is_zone_in_rotation) || elapsed(now) >= grace - limits_.reserve;
    }

private:
    stop_limits limits_;
    bool is_begun_ = false;
    clock::time_point begun_at_;
    std::size_t zone_size_ = 1;  // this instance included, when the stop began
};

}  // namespace bramleytrack::fleet
