// Chooses the Retry-After time of a refused request.
//
// Handles thousands of refusals within one second. Without it all callers retry at the same time,
// most are refused again, and the load rises with each round.
// Each refused request of a member gets the next free interval of that member's share of the
// target's time, so retries arrive no faster than the target can serve them. A hash of the request
// adds up to a quarter, because instances and targets choose independently of each other. No time
// exceeds max_retry_after: a prediction further ahead would be meaningless, so the remaining
// callers are spread evenly over the second half of it instead.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "load/work.h"

namespace bramleytrack::load {

constexpr clock::duration max_retry_after{10'000};

class retry_after_plan {
public:
    // `earliest`: time until the work queued now is done. `interval`: time that the member's share
    // of the target needs for this request.
    clock::duration assign(const work& refused, clock::duration earliest, clock::duration interval,
                           clock::time_point now);

private:
    // Earliest time of the next retry, by member; at most max_members.
    std::map<std::string, clock::time_point, std::less<>> next_due_;
};

}  // namespace bramleytrack::load
