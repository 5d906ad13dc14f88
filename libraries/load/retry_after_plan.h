// Says when a refused caller is to come back.
//
// Load: thousands of callers are refused in one second. Without it all come back together, most are
// refused again, and the load rises with each round.
// Each refusal of a member is promised the next free part of that member's share of the target's
// time, so promises are as far apart as the target can take them. A hash of the request adds up to
// a quarter, as instances and targets promise independently of each other. No promise exceeds
// max_retry_after: further ahead the figure would say nothing true, and callers are spread evenly
// over its second half instead.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "load/work.h"

namespace bramleytrack::load {

constexpr clock::duration max_retry_after{10'000};

class retry_after_plan {
public:
    // `earliest`: when the work that waits now is done. `share`: how long the member's share of the
    // target takes for this request.
    clock::duration promise(const work& refused, clock::duration earliest, clock::duration share,
                            clock::time_point now);

private:
    // When the next promise of a member may fall due; at most max_members.
    std::map<std::string, clock::time_point, std::less<>> next_;
};

}  // namespace bramleytrack::load
