// Results of the requests of an overload experiment, in total and by caller group.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "overload_experiment.h"

namespace bramleytrack::experiments {

// The groups that a caller belongs to.
struct caller_groups {
    std::size_t zone = 0;
    std::size_t route = 0;
    bool is_light = false;  // belongs to another member than the first
    bool has_long_requests = false;
    bool is_urgent = false;  // uses the route with the higher priority
};

class overload_statistics {
public:
    overload_statistics(std::size_t zones, std::size_t routes, std::size_t services)
        : zones_(zones), routes_(routes), services_(services) {}

    void on_request(const caller_groups& caller);
    void on_answered(const caller_groups& caller, bool is_in_time);
    void on_failed() { ++failed_; }
    // A request reached a target of the service.
    void on_arrived(std::size_t service, bool is_shed);

    // Includes the figures of a group only if the pattern has that group.
    std::vector<figure> figures(const overload_pattern& pattern) const;

private:
    // Each request counts once, regardless of its attempts.
    struct group_counts {
        int requests = 0;
        int in_time = 0;

        double in_time_share() const {
            return requests == 0 ? 0 : static_cast<double>(in_time) / requests;
        }
    };

    struct service_counts {
        int arrived = 0;
        int shed = 0;
    };

    // Calls `count` with each of the groups that the caller belongs to.
    template <typename Count>
    void for_each_group(const caller_groups& caller, Count count);

    group_counts all_;
    group_counts light_;
    group_counts short_;
    group_counts urgent_;
    std::vector<group_counts> zones_;
    std::vector<group_counts> routes_;
    std::vector<service_counts> services_;
    int late_ = 0;
    int failed_ = 0;
    int shed_ = 0;  // attempts that a target shed
};

}  // namespace bramleytrack::experiments
