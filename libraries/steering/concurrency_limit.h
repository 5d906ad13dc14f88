// How many requests this instance may have open on one target before it places no more flows there.
//
// Load that it answers: more callers than the targets bear, or targets that have turned slow.
// Without it every target's queue is full, nearly every answer is late, and the callers' retries
// add to the queues: at five times the usual load 15% of requests were answered in time where the
// targets could have served half.
//
// The limit follows the answers: it rises a little with each that meets the latency objective of
// its route and falls by a fifth with each that doesn't, so that it settles where one in ten is
// late. That takes no knowledge of queues or of what other instances send, and a slow target ends
// with a small limit by itself. Below one, the limit spaces flows out in time.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

class concurrency_limit {
public:
    // Waiting work of twice the slots takes two service times; beyond that nothing is in time.
    static constexpr double highest_by_slot = 3;
    static constexpr double rise = 0.05;
    static constexpr double fall = 0.8;
    // A target whose answers are all late still gets a flow now and then, to learn that it is well.
    static constexpr clock::duration probe_interval{500};

    // `open` requests were open when the answer came, itself included.
    void on_answer(clock::duration took, clock::duration objective, int open, int slots);

    // Whether one more flow may be placed; `opened_at` is when the last one was, and an answer
    // takes `answer_ms`.
    bool has_room(double open, int slots, double answer_ms, clock::time_point opened_at,
                  clock::time_point now) const;

    double value(int slots) const;

private:
    double value_ = 0;  // 0: no answer was late yet
};

}  // namespace bramleytrack::steering
