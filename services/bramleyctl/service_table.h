// The use of each service and of each of its routes by the whole fleet, from the metrics of the
// instances.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

#include "prometheus_text.h"

namespace bramleytrack::ctl {

// Demand and entitlement in slots; open requests, openings that wait now, and openings that were
// refused since the instances started.
struct route_use {
    double demand = 0;
    double entitlement = 0;
    double open = 0;
    double waiting = 0;
    double refused = 0;
};

struct service_use {
    // Slots of the targets that accept flows. Each instance reports those of the whole fleet, as it
    // knows them, so this is the largest report and not a sum.
    double capacity = 0;
    // All routes together. `open` and `refused` also count flows of instances whose settings don't
    // measure routes.
    route_use total;
    std::map<std::string, route_use, std::less<>> routes;
};

class service_table {
public:
    void add(std::span<const metric_sample> samples_of_instance);
    void add_silent_instance(const std::string& address) { silent_instances_.push_back(address); }

    bool has_all_answered() const { return silent_instances_.empty(); }
    const std::map<std::string, service_use, std::less<>>& services() const { return services_; }

    std::string to_text() const;
    nlohmann::ordered_json to_json() const;

private:
    std::map<std::string, service_use, std::less<>> services_;
    std::size_t instances_ = 0;  // that answered
    std::vector<std::string> silent_instances_;
};

}  // namespace bramleytrack::ctl
