// The load of targets as other instances report it.
#pragma once

#include <string_view>

#include "base/clock.h"
#include "discovery/target.h"

namespace bramleytrack::steering {

using discovery::routing_token;

class load_view {
public:
    load_view() = default;
    load_view(const load_view&) = delete;
    load_view& operator=(const load_view&) = delete;
    virtual ~load_view() = default;

    // Requests open on the target through other instances.
    virtual double open_elsewhere(routing_token token, clock::time_point now) const = 0;
    // Requests open on all targets of the service through other instances.
    virtual double open_elsewhere_of(std::string_view service, clock::time_point now) const = 0;
    // What callers ask of the service through other instances.
    virtual double wanted_elsewhere(std::string_view service, clock::time_point now) const = 0;
};

}  // namespace bramleytrack::steering
