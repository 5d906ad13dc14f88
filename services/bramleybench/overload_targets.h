// The targets of an overload experiment: each works on as many requests as it has slots, queues a
// few more and sheds the rest.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "overload_experiment.h"

namespace bramleytrack::experiments {

enum class arrival { started, queued, shed };

class overload_targets {
public:
    explicit overload_targets(const overload_pattern& pattern);

    bool is_dead(std::size_t target) const { return targets_[target].is_dead; }
    // Makes the pattern's share of targets stop responding.
    void fail();

    // If the request is started, work_time() must be called next.
    arrival receive(std::size_t target, int caller);
    // Returns the caller whose queued request is started next. work_time() must be called for it.
    std::optional<int> finish(std::size_t target);
    clock::duration work_time(std::size_t target, const overload_route& route,
                              std::mt19937_64& random) const;

private:
    struct target_model {
        double slowdown = 1;
        bool is_dead = false;
        int running = 0;
        std::deque<int> waiting;  // indices of callers
    };

    const overload_pattern& pattern_;
    std::vector<target_model> targets_;
};

}  // namespace bramleytrack::experiments
