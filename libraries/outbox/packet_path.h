// The next stage of a packet inside one instance, as an interface: lower components pass packets up
// through it without a dependency on those above them.
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

    virtual void to_home(wire::forward forwarded, clock::time_point now) = 0;
    virtual void to_owner(wire::forward forwarded, clock::time_point now) = 0;
    // Holds `forwarded` until the new owner of `target` is known, as the owner is about to change.
    virtual void hold(std::string_view target, wire::forward forwarded) = 0;
    virtual void decline(const wire::placement_declined& declined, clock::time_point now) = 0;
};

}  // namespace bramleytrack
