// Where a packet goes next inside one instance: the way back up for slices that mustn't know those
// above them.
#pragma once

#include <string_view>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack {

class packet_path {
public:
    packet_path() = default;
    packet_path(const packet_path&) = delete;
    packet_path& operator=(const packet_path&) = delete;
    virtual ~packet_path() = default;

    virtual void to_home(wire::forward content, clock::time_point now) = 0;
    virtual void to_owner(wire::forward content, clock::time_point now) = 0;
    // The owner of `target` is about to change: `content` waits for the new one.
    virtual void hold(std::string_view target, wire::forward content) = 0;
    virtual void decline(const wire::placement_declined& declined, clock::time_point now) = 0;
};

}  // namespace bramleytrack
