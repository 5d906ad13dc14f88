// Whether one more flow may be opened to a service, and to which of its targets.
//
// Load that it answers: more callers than the targets bear. A flow that is open goes on sending,
// and its requests can't be refused, so what is let in decides the load of the next minute.
// Without it the first second of a rush fills all queues with flows that stay: every answer is
// late, while the targets are never idle.
//
// Two bounds, both on requests that are open through all instances together. Each target takes
// twice its slots: slots stay busy while the next request is on its way, and the wait is about one
// service time. The service takes as much for all its targets; once that is used up, each instance
// still has the part of it that its callers ask for. Shares by what callers ask, not by instance:
// otherwise a zone with three instances takes three times the room of a zone with one.
//
// The own count is exact and the peers' word a fraction of a second old, so in the first moment of
// a rush each instance lets in at most what was free by that word.
#pragma once

namespace bramleytrack::steering {

// Requests that are open on one target.
struct target_usage {
    int slots = 1;
    double here = 0;       // through this instance
    double elsewhere = 0;  // through others, as far as they told
};

// What callers ask of a service lately: requests begun, and openings whatever became of them.
struct service_demand_split {
    double here = 0;
    double elsewhere = 0;
};

// What the service's targets that may take flows are doing, as far as it counts for admission.
class service_usage {
public:
    service_usage() = default;
    explicit service_usage(const service_demand_split& wants) : wants_{wants} {}

    // Failure: slow targets collect requests of the flows that they have, and these alone would use
    // up the service's room while its other targets are idle. So no target counts for more than it
    // may take.
    void add(const target_usage& target);

    // Other targets of the same service.
    void add(const service_usage& others);
    // What is open through others on all targets together, as they told. Targets are told of one by
    // one only while they are among the most loaded, and of far zones by a few instances, so the
    // sum over targets comes out too low in a large fleet.
    void raise_remote_open_to(double open);
    // Flows that this instance has placed since the others were counted.
    void add_placed(double flows) { here_ += flows; }

    double slots() const { return slots_; }
    double open_local() const { return here_; }
    double open_remote() const { return elsewhere_; }
    const service_demand_split& wants() const { return wants_; }
    // This instance's part of all that callers ask for, from 0 to 1; 1 when nothing is known.
    double local_demand_share() const;

private:
    service_demand_split wants_;
    double slots_ = 0;
    double here_ = 0;
    double elsewhere_ = 0;
    double beyond_room_ = 0;  // open elsewhere on targets that count for less
};

// Requests that may be open on a target for each of its slots before no more flows are placed
// there.
constexpr double open_requests_per_slot = 2;
// Of the room, for routes that are less urgent than others that callers ask for just now.
constexpr double lower_priority_capacity_share = 0.88;
// So much of service_demand::recent_higher_priority makes the others yield: one request of the last
// third of a second.
constexpr double min_higher_priority_demand = 0.5;
// Of the room, for callers that have more than their share of it, see caller_shares.
constexpr double heavy_caller_capacity_share = 0.75;

// `share` of the room is the flow's to use. A target without any open request always has room.
bool has_room(const target_usage& target, double share);
bool has_room(const service_usage& service, double share);

}  // namespace bramleytrack::steering
