// Whether callers' data reaches targets from this instance at all.
//
// Failure: this instance's own link is full, and what it forwards is lost. Every target looks
// silent from here, and flows of targets that live would be reset. It shows in the answers: none
// come, or many come only to data that callers had to send again. A few such answers are no sign of
// it, since a target that takes over 200 ms makes callers send again too; a rule that took any of
// them for a loss would leave the flows of dead targets to their deadlines.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

struct path_limits {
    // Third copies come 400 ms after second ones: another target must have answered meanwhile.
    clock::duration life{300};
    // A link that loses one packet in ten makes callers repeat one request in ten. Three copies are
    // then lost together once in a thousand times, and those of two flows of one target, with
    // nothing of it arriving in between, practically never.
    double most_repeated = 0.1;
    // Answers count by half after so long. Full links last for seconds.
    clock::duration half_life{1'000};
};

class path_health {
public:
    explicit path_health(path_limits limits = {}) : limits_{limits} {}

    // A target acknowledged or sent anything.
    void on_life(clock::time_point now) { answered_at_ = now; }
    // It answered a request, which the caller had sent again if `was_repeated`. Acknowledgements of
    // long transfers don't count: they come from callers, whatever this instance's link loses.
    void on_answer(bool was_repeated, clock::time_point now);
    bool is_sound(clock::time_point now) const;
    // When any target last answered anything here.
    clock::time_point answered_at() const { return answered_at_; }

private:
    path_limits limits_;
    clock::time_point answered_at_;
    double answers_ = 0;   // as of counted_at_
    double repeated_ = 0;  // of them
    clock::time_point counted_at_;
};

}  // namespace bramleytrack::steering
