// The load of targets as other instances report it.
#pragma once

#include <string_view>

#include "base/clock.h"
#include "discovery/target.h"

namespace bramleytrack::steering {

using discovery::routing_token;

class remote_load {
public:
    remote_load() = default;
    remote_load(const remote_load&) = delete;
    remote_load& operator=(const remote_load&) = delete;
    virtual ~remote_load() = default;

    // Requests open on the target through other instances.
    virtual double open_remote(routing_token token, clock::time_point now) const = 0;
    // Requests open on all targets of the service through other instances.
    virtual double open_remote_of_service(std::string_view service,
                                          clock::time_point now) const = 0;
    // Recent demand for the service through other instances.
    virtual double demand_remote(std::string_view service, clock::time_point now) const = 0;
};

}  // namespace bramleytrack::steering
