// What callers of an overload run got: all of them, and the groups that a pattern tells apart.
#pragma once

#include <cstddef>
#include <vector>

#include "overload_experiment.h"

namespace bramleytrack::experiments {

// Which groups a caller belongs to.
struct caller_groups {
    std::size_t zone = 0;
    bool is_light = false;   // of another member than the first
    bool asks_long = false;  // for long work
    bool is_urgent = false;  // asks by the route that is ranked first
};

class overload_tally {
public:
    explicit overload_tally(std::size_t zones) : zones_(zones) {}

    void on_asked(const caller_groups& by);
    void on_answered(const caller_groups& by, bool is_in_time);
    void on_failed() { ++failed_; }
    void on_shed() { ++shed_; }

    // Those of groups only where the pattern has them.
    std::vector<figure> figures(const overload_pattern& pattern) const;

private:
    // Requests, each counted once whatever its tries.
    struct served {
        int asked = 0;
        int in_time = 0;

        double share() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
    };

    // Calls `count` with each of the groups that the caller belongs to.
    template <typename Count>
    void for_each_group(const caller_groups& by, Count count);

    served all_;
    served light_;
    served short_;
    served urgent_;
    std::vector<served> zones_;
    int late_ = 0;
    int failed_ = 0;
    int shed_ = 0;  // tries that a target turned away
};

}  // namespace bramleytrack::experiments
