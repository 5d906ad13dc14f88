// Divides the capacity of a service between the routes that use it.
//
// Handles routes that together ask for more than the service's targets can do, and whose requests
// differ in work or in number: without shares, a route with few short requests is refused as often
// as the one that fills all slots. Priorities are served in order, with a guaranteed minimum for
// each lower one; within a priority, capacity is divided by weighted max-min fairness.
#pragma once

#include <span>
#include <vector>

namespace bramleytrack::steering {

// What one route asks of a service.
struct share_claim {
    int priority = 0;   // a smaller number is a higher priority
    double demand = 0;  // slots that its requests would keep busy
    double weight = 1;
};

struct capacity_share {
    double allocated = 0;  // slots; never more than the demand
    // Slots that the route may use whatever the other routes have open; at least `allocated`, and
    // at most what more urgent allocations and less urgent guarantees leave.
    double entitlement = 0;
};

struct share_limits {
    // Of the capacity, for each priority below the highest one with demand, as far as its routes
    // ask for it. All guarantees together never exceed half of the capacity: with n priorities in
    // the list, each one is at most a half divided by n - 1.
    double lower_priority_minimum = 0.1;
};

// Returns one share for each claim, in the same order. The allocations never add up to more than
// `capacity`, and add up to all of it while there is as much demand. Claims with a weight of 0 get
// what the others of their priority leave. Negative amounts and amounts that are not a number count
// as 0.
std::vector<capacity_share> divide_capacity(double capacity, std::span<const share_claim> claims,
                                            const share_limits& limits);

}  // namespace bramleytrack::steering
