// How many requests this instance may have open on one target before it places no more flows there.
//
// Load that it answers: more callers than the targets bear, or targets that have turned slow.
// Without it every target's queue is full, nearly every answer is late, and the callers' retries
// add to the queues: at five times the usual load 15% of requests were answered in time where the
// targets could have served half.
//
// The limit follows the answers: it rises a little with each that meets its goal and falls by a
// fifth with each that doesn't, so that it settles where one in ten misses it. That takes no
// knowledge of queues. Below one, the limit spaces flows out in time.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

// What a target bears, as far as it says, and what of it is this instance's.
struct capacity {
    int slots = 1;
    // Instances that may open flows to it.
    int instances = 1;

    double fair_share() const;
};

// What a target is doing when a flow is to be placed.
struct target_use {
    double open = 0;       // requests open through this instance
    double elsewhere = 0;  // and through others, as far as they told
    double answer_ms = 0;
    clock::time_point opened_at;  // when this instance last placed a flow there
};

class concurrency_limit {
public:
    // Waiting work of twice the slots takes two service times; beyond that nothing is in time.
    static constexpr double highest_by_slot = 3;
    static constexpr double rise = 0.05;
    static constexpr double fall = 0.8;
    // Of the latency objective. What callers wait begins before the first byte is seen here, and
    // flows that are open add requests without asking: at five times the load, 1.0 left 24% of the
    // answers late, 0.6 some 12%, and 0.5 gained nothing more.
    static constexpr double goal = 0.6;
    // What routes that are less urgent than others of their service may use of the limit, and
    // callers that have more than their share. At five times the load the others fill it by
    // themselves.
    static constexpr double yielding_share = 0.75;
    // A target whose answers are all late still gets a flow now and then from some instance, to
    // learn that it is well.
    static constexpr clock::duration probe_interval{500};

    // `open` requests were open when the answer came, itself included.
    void on_answer(clock::duration took, clock::duration objective, int open,
                   const capacity& target);

    // Whether one more flow may be placed, of which `share` of the limit is the flow's to use.
    bool has_room(const target_use& use, const capacity& target, double share,
                  clock::time_point now) const;

    double value(const capacity& target) const;

private:
    double value_ = 0;  // 0: no answer was late yet
};

}  // namespace bramleytrack::steering
