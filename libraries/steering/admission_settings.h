// Which admission features are on, and their limits. Operators set them in the settings file; all
// of them are off unless the file asks for them.
#pragma once

#include <cstddef>

namespace bramleytrack::steering {

struct admission_settings {
    // Routes of a service share its capacity by work, see capacity_shares.
    bool capacity_shares = false;
    // The fraction of a service's capacity that each priority below the most urgent one is
    // guaranteed, as far as its callers ask for it.
    double lower_priority_minimum = 0.1;
    // Openings that may wait at this instance, over all services; 0: none waits.
    std::size_t opening_queue_entries = 0;
    // The fraction of a route's latency objective for which an opening may wait. With a fifth,
    // three attempts of a caller and the answer fit into the objective.
    double opening_wait_fraction = 0.2;
    // An opening that its service would refuse may use another service of its route's split.
    bool split_overflow = false;
    // A zone whose targets are short of capacity places openings in other zones.
    bool zone_balance = false;

    bool operator==(const admission_settings&) const = default;
};

}  // namespace bramleytrack::steering
