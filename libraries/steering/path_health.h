// Detects whether this instance's own network path to the targets loses packets.
//
// Guards against a saturated uplink: what this instance forwards is lost, every target looks silent
// from here, and flows of live targets would be reset. The loss shows in callers' packets: either
// no target responds, or many of the answers are to data that callers had to retransmit. A few such
// answers are no evidence of loss, since callers also retransmit to a target that takes over
// 200 ms; a rule that took any of them for loss would leave the flows of dead targets to their
// deadlines.
#pragma once

#include "base/clock.h"

namespace bramleytrack::steering {

struct path_limits {
    // Callers send the second retransmission 400 ms after the first: another target must have
    // responded meanwhile.
    clock::duration max_response_age{300};
    // A link that loses one packet in ten makes callers retransmit one request in ten. A packet and
    // both its retransmissions are then lost once in a thousand times, and those of two flows of
    // one target, with nothing from it arriving in between, practically never.
    double max_retransmitted_fraction = 0.1;
    // The weight of an answer halves in this time. Links stay saturated for seconds.
    clock::duration half_life{1'000};
};

class path_health {
public:
    explicit path_health(path_limits limits = {}) : limits_{limits} {}

    // A target acknowledged or sent anything.
    void on_response(clock::time_point now) { last_response_at_ = now; }
    // A target answered a request, which the caller had retransmitted if `was_retransmitted`.
    // Acknowledgements of long transfers don't count: they come from callers, whatever this
    // instance's link loses.
    void on_answer(bool was_retransmitted, clock::time_point now);
    bool is_healthy(clock::time_point now) const;
    // When any target last responded through this instance.
    clock::time_point last_response_at() const { return last_response_at_; }

private:
    path_limits limits_;
    clock::time_point last_response_at_;
    double answers_ = 0;                // decayed, as of counted_at_
    double retransmitted_answers_ = 0;  // those of them to retransmitted requests
    clock::time_point counted_at_;
};

}  // namespace bramleytrack::steering
