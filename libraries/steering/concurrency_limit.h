// How many requests this instance may have open on one target before it places no more flows there.
//
// Load that it answers: more callers than the targets bear, or targets that have turned slow.
// Without it every target's queue is full, nearly every answer is late, and the callers' retries
// add to the queues: at five times the usual load 15% of requests were answered in time where the
// targets could have served half.
//
// The limit follows the answers: it rises a little with each that meets the latency objective of
// its route and falls by nine times as much with each that doesn't, so that it settles where one in
// ten is late. That takes no knowledge of slots, queues or of what other instances send, and a slow
// target ends with a small limit by itself.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

class concurrency_limit {
public:
    // Far above what a target works on at a time, so that nothing is held back before it is late.
    static constexpr double highest = 16;
    static constexpr double rise = 0.05;
    static constexpr double fall = 0.45;
    // A target whose answers are all late still gets a flow now and then, to learn that it is well.
    static constexpr clock::duration probe_interval{500};

    // `open` requests were open when the answer came, itself included.
    void on_answer(clock::duration took, clock::duration objective, int open);

    // Whether one more flow may be placed; `opened_at` is when the last one was.
    bool has_room(double open, clock::time_point opened_at, clock::time_point now) const;

    double value() const { return value_; }

private:
    double value_ = highest;
};

}  // namespace bramleytrack::steering
