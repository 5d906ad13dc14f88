// How the routes that use a service share its capacity at the moment, across all instances.
//
// Combines this instance's measurements with peers' reports, and divides the service's capacity by
// capacity_shares. The result is cached for a short time, so an opening costs a look-up.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/directory.h"
#include "steering/admission.h"
#include "steering/admission_settings.h"
#include "steering/capacity_shares.h"
#include "steering/flow_tracker.h"
#include "steering/remote_load.h"
#include "steering/route_usage.h"

namespace bramleytrack::steering {

// How one route stands at a service.
struct route_standing {
    std::string route;
    int priority = 0;
    double demand = 0;          // slots; 0 while the work of requests is unknown
    double local_rate = 0;      // requests and openings per second through this instance
    double remote_rate = 0;     // the same through others
    double local_fraction = 1;  // of the demand, through this instance
    double work_ms = 0;         // of one request; 0: unknown
    double work_ratio = 1;      // work of a request, relative to the mean of the service's requests
    double open_remote = 0;     // requests
    capacity_share share;       // slots
};

struct service_standing {
    std::vector<route_standing> routes;  // those with demand
    double slots = 0;
    // Open requests that the routes of each priority are expected to need and don't use yet.
    std::map<int, double> unused_by_priority;
    double local_fraction = 1;  // of the demand of all routes, through this instance
    // Few slots are busy: answers don't wait for other requests.
    bool is_calm = true;
    // At least two routes have demand and their work is known; otherwise there is nothing to share.
    bool is_shared = false;
    clock::time_point computed_at;
    clock::time_point valid_until;

    const route_standing* find(std::string_view route) const;
    // The open requests that are kept free for routes more urgent than `priority`.
    double reserve_above(int priority) const;
};

class service_shares {
public:
    service_shares(const discovery::directory& directory, const route_usage& usage,
                   const flow_tracker& flows, const remote_load& remote)
        : directory_{directory}, usage_{usage}, flows_{flows}, remote_{remote} {}

    void set_settings(const admission_settings& settings) { settings_ = settings; }

    // `usage` is that of all targets of the service; it is only read if the cached result expired.
    template <typename usage_source>
    const service_standing& of(std::string_view service, clock::time_point now,
                               const usage_source& usage) {
        auto found = standings_.find(service);
        if (found == standings_.end()) {
            found = standings_.try_emplace(std::string{service}).first;
        }
        if (now >= found->second.valid_until) {
            found->second = compute(service, found->second, usage(), now);
        }
        return found->second;
    }

private:
    service_standing compute(std::string_view service, const service_standing& previous,
                             const service_usage& usage, clock::time_point now) const;
    std::vector<route_standing> collect_routes(std::string_view service,
                                               clock::time_point now) const;
    // Sets the local fractions of the demand, from the newest rates and the previous fractions.
    void smooth_fractions(service_standing& standing, const service_standing& previous,
                          clock::time_point now) const;
    void divide(service_standing& standing) const;
    void reserve(std::string_view service, service_standing& standing) const;

    const discovery::directory& directory_;
    const route_usage& usage_;
    const flow_tracker& flows_;
    const remote_load& remote_;
    admission_settings settings_;
    std::map<std::string, service_standing, std::less<>> standings_;
};

}  // namespace bramleytrack::steering
