#include "overload_statistics.h"

#include <algorithm>

#include "overload_fleet.h"

namespace bramleytrack::experiments {

template <typename Count>
void overload_statistics::for_each_group(const caller_groups& caller, Count count) {
    count(all_);
    count(zones_[caller.zone]);
    count(routes_[caller.route]);
    if (caller.is_light) {
        count(light_);
    }
    if (!caller.has_long_requests) {
        count(short_);
    }
    if (caller.is_urgent) {
        count(urgent_);
    }
}

void overload_statistics::on_request(const caller_groups& caller) {
    for_each_group(caller, [](group_counts& group) { ++group.requests; });
}

void overload_statistics::on_answered(const caller_groups& caller, bool is_in_time) {
    if (is_in_time) {
        for_each_group(caller, [](group_counts& group) { ++group.in_time; });
    } else {
        ++late_;
    }
}

void overload_statistics::on_arrived(std::size_t service, bool is_shed) {
    ++services_[service].arrived;
    if (is_shed) {
        ++services_[service].shed;
        ++shed_;
    }
}

std::vector<figure> overload_statistics::figures(const overload_pattern& pattern) const {
    const auto share_of_requests = [this](int count) {
        return all_.requests == 0 ? 0.0 : static_cast<double>(count) / all_.requests;
    };
    std::vector<figure> result{{.name = "in time", .value = all_.in_time_share()},
                               {.name = "late", .value = share_of_requests(late_)},
                               {.name = "failed", .value = share_of_requests(failed_)},
                               {.name = "shed by targets", .value = share_of_requests(shed_)}};
    if (light_.requests > 0) {
        result.push_back({.name = "in time, light", .value = light_.in_time_share()});
    }
    if (pattern.long_share > 0) {
        result.push_back({.name = "in time, short", .value = short_.in_time_share()});
    }
    if (pattern.urgent_share > 0) {
        result.push_back({.name = "in time, urgent", .value = urgent_.in_time_share()});
    }
    if (zones_.size() > 1) {
        const auto worst = std::ranges::min(zones_, {}, &group_counts::in_time_share);
        result.push_back({.name = "least in time, zone", .value = worst.in_time_share()});
    }
    for (std::size_t i = 0; i < pattern.routes.size(); ++i) {
        result.push_back({.name = "in time, " + std::string{pattern.routes[i].name},
                          .value = routes_[i].in_time_share()});
    }
    for (std::size_t i = 0; i < services_.size() && !pattern.routes.empty(); ++i) {
        const auto& [arrived, shed] = services_[i];
        result.push_back({.name = "rejected, " + service_name(i),
                          .value = arrived == 0 ? 0 : static_cast<double>(shed) / arrived});
    }
    return result;
}

}  // namespace bramleytrack::experiments
