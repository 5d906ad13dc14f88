// Openings that were refused or dropped and have no line of their own, summed up once a second.
//
// Load that it answers: thousands of refusals a second. Lines for all of them would cost more than
// the refusals themselves, so most are left out; without the sums, a caller that was refused then
// couldn't be told why.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "base/event_log.h"
#include "base/result_code.h"

namespace bramleytrack::steering {

class rejection_summary {
public:
    static constexpr clock::duration interval{1'000};
    // Operators name services, so there are few; more only bound the lines of a second.
    static constexpr std::size_t max_causes = 20;

    void add(std::string_view service, std::string_view decision, result_code reason,
             bool is_over_share);
    // Writes a line for each cause of the time since the last one. `zone` is where the callers are:
    // routers bring them to instances of their own zone.
    void report(event_log& log, std::string_view zone, clock::time_point now);

private:
    struct count {
        std::int64_t openings = 0;
        std::int64_t over_share = 0;  // of them, by callers that have more than their share
    };

    std::map<std::tuple<std::string, std::string, result_code>, count> counts_;
    clock::time_point reported_at_;
};

}  // namespace bramleytrack::steering
