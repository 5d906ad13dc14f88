// The load of targets as other instances report it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "discovery/target.h"

namespace bramleytrack::steering {

using discovery::routing_token;

// A route's use of one service through other instances.
struct remote_route_usage {
    std::string route;
    double requests_per_second = 0;  // requests and openings, recently
    double open = 0;                 // open requests
    double work_ms = 0;              // of one request, as peers measured it; 0: unknown
};

class remote_load {
public:
    remote_load() = default;
    remote_load(const remote_load&) = delete;
    remote_load& operator=(const remote_load&) = delete;
    virtual ~remote_load() = default;

    // Whether any report is recent enough to be used. Otherwise all sums are 0.
    virtual bool has_reports(clock::time_point now) const = 0;
    // Requests open on the target through other instances.
    virtual double open_remote(routing_token token, clock::time_point now) const = 0;
    // Requests open on all targets of the service through other instances.
    virtual double open_remote_of_service(std::string_view service,
                                          clock::time_point now) const = 0;
    // Recent demand for the service through other instances.
    virtual double demand_remote(std::string_view service, clock::time_point now) const = 0;
    // The routes of the catalogue whose use of the service peers report.
    virtual std::vector<remote_route_usage> routes_remote(std::string_view service,
                                                          clock::time_point now) const = 0;
    // The slots that the callers of a zone would keep busy, as far as they come through other
    // instances. Nothing if no fresh digest of that zone has arrived.
    virtual std::optional<double> zone_demand_remote(std::string_view service,
                                                     std::string_view zone,
                                                     clock::time_point now) const = 0;
};

}  // namespace bramleytrack::steering
