// Admission control: decides whether one more flow may be opened to a service, and to which of its
// targets.
//
// Handles more demand than the targets can serve. An open flow goes on sending, and its requests
// can't be refused, so the admitted flows decide the load of the next minute. Without this limit,
// the first second of a burst fills all queues with flows that stay: every answer is late although
// the targets are never idle.
//
// A flow needs capacity of the target and of the service. A target may have twice as many open
// requests as slots, through all instances together: slots stay busy while the next request is on
// its way, and the wait is about one service time.
//
// The capacity of a service is that of its targets together, see load_estimate::usage_of for those
// that count. A flow is admitted while the requests open through all instances are below it. Beyond
// that, a flow is still admitted while the requests open through this instance are below its part
// of the capacity, the fraction of the demand that comes from its own callers. This second rule
// counts no remote requests, so the total can exceed the service's capacity when other instances
// have more than their part. The parts follow demand and not the number of instances: otherwise a
// zone with three instances would get three times the capacity of a zone with one.
//
// Routes of lower priority and heavy callers may use only a fraction of either capacity, see
// lower_priority_capacity_fraction and heavy_caller_capacity_fraction; for a heavy caller of such a
// route, both apply. One open request is always allowed on each target, and for each instance on
// each service.
//
// Where routes share the capacity (admission_settings::capacity_shares), admit() takes the place of
// the rules about the service and of the fraction for lower priorities.
//
// The local count is exact and peers' reports are a fraction of a second old. Without shares, at
// the start of a burst each instance admits what was free according to those reports, so the
// instances together may admit more than was free.
#pragma once

#include <string_view>

#include "base/clock.h"

namespace bramleytrack::steering {

// Requests that are open on one target.
struct target_usage {
    double slots = 1;   // requests that the target processes at once, at its present speed
    double local = 0;   // through this instance
    double remote = 0;  // through other instances, as they report it
};

// Recent demand for a service: requests begun, and openings whatever their outcome.
struct local_and_remote_demand {
    double local = 0;
    double remote = 0;
};

// The open requests of those targets of a service that accept flows, as admission counts them.
class service_usage {
public:
    service_usage() = default;
    explicit service_usage(const local_and_remote_demand& demand) : demand_{demand} {}

    // Counts a target for no more than its capacity. Slow targets collect requests of their
    // existing flows; counted in full, these would use up the service's capacity while its other
    // targets are idle.
    void add(const target_usage& target);

    // Adds other targets of the same service.
    void add(const service_usage& others);
    // `open` is what peers report as open on all targets together. They report single targets only
    // while these are among the most loaded, and only a few instances of other zones report to this
    // one, so in a large fleet the sum over targets is too low.
    void raise_remote_open_to(double open);
    // Adds flows that this instance has placed since the targets were counted.
    void add_placed(double flows) { local_ += flows; }

    double slots() const { return slots_; }
    double open_local() const { return local_; }
    double open_remote() const { return remote_; }
    const local_and_remote_demand& demand() const { return demand_; }
    // The part of the demand that comes through this instance, from 0 to 1; 1 when no demand is
    // known.
    double local_demand_fraction() const;

private:
    local_and_remote_demand demand_;
    double slots_ = 0;
    double local_ = 0;
    double remote_ = 0;
    double remote_over_capacity_ = 0;  // left out of remote_: open beyond the targets' capacity
};

// Requests that may be open on a target for each of its slots before no more flows are placed
// there.
constexpr double open_requests_per_slot = 2;
// The part of the capacity for routes whose priority is lower than that of others with current
// demand.
constexpr double lower_priority_capacity_fraction = 0.88;
// From this value of service_demand::recent_higher_priority on, routes of lower priority are
// capped: one request within the last third of a second.
constexpr double min_higher_priority_demand = 0.5;
// The part of the capacity for callers that already have more than their fair share, see
// caller_shares.
constexpr double heavy_caller_capacity_fraction = 0.75;

// `capacity_fraction` is the part of the capacity that the flow may use. A target without open
// requests always has capacity, and so has a service without requests open through this instance.
bool has_capacity(const target_usage& target, double capacity_fraction);
bool has_capacity(const service_usage& service, double capacity_fraction);

// Why an opening may be placed on its service, when routes share the capacity.
enum class admission_ground {
    none,               // it is refused
    free_capacity,      // the service has room that no more urgent route is expected to need
    entitlement,        // the route uses less than its entitlement
    local_entitlement,  // this instance uses less than its part of the route's entitlement
};

std::string_view name_of(admission_ground ground);

// Open requests of a route that keeps `slots` busy: those being worked on, and as many slots' worth
// waiting behind requests of the service's mean work. `work_ratio` is the work of one of the
// route's requests relative to that mean.
double open_requests_of(double slots, double work_ratio);

// The use of a service by one route.
struct route_claim {
    double open_local = 0;
    double open_remote = 0;
    double work_ratio = 1;      // of one of its requests, relative to the mean
    double entitlement = 0;     // slots, see capacity_share
    double local_fraction = 1;  // of the route's demand, through this instance
    double reserve = 0;         // open requests that are kept free for more urgent routes
    double begun_local = 0;     // slots that this instance's requests to targets keep busy
    // The route asks for more than its entitlement. One that doesn't is served in full.
    bool is_constrained = true;
    double service_fraction = 1;  // of the whole service's demand, through this instance
};

// Admission to a service whose capacity routes share. Room that peers' reports show as free is
// visible to all instances at once until their next reports; each uses only its part of it.
// Otherwise the instances of a large fleet admit the same room many times over as a burst begins,
// and the targets reject most of it. Flows that are open count by what they ask for, not only by
// what is open at the moment: a route that asks for more than its entitlement opens no further
// flows through an instance whose requests use up its part of it. Open requests of other routes
// don't count against a route as far as its entitlement goes: flows that are open can't be refused
// anything, so otherwise a route that opens a flow for each request would be the only one that is
// ever refused.
admission_ground admit(const service_usage& service, const route_claim& claim,
                       double capacity_fraction);

// Whether the service has room that none of its own routes is expected to need.
bool has_free_capacity(const service_usage& service, double reserve, double local_fraction,
                       double capacity_fraction);

// Requests that may be open on a target for each slot when an opening is admitted by its
// entitlement: as many as keep the wait within half of the objective. Open flows of other routes
// could otherwise close all targets to the route.
double entitled_requests_per_slot(clock::duration latency_objective, double work_ms);
// As has_capacity(target, capacity_fraction), with another bound per slot.
bool has_capacity(const target_usage& target, double capacity_fraction, double requests_per_slot);

}  // namespace bramleytrack::steering
