// Counts openings that were refused or dropped without a log line of their own, and logs the counts
// once a second.
//
// Handles thousands of rejections a second. A log line for each would cost more than the rejection
// itself, so most have none; without these counts, nobody could find out why one of those callers
// was rejected.
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
    // Operators configure the services, so there are few causes; the limit only bounds the lines
    // per second.
    static constexpr std::size_t max_causes = 20;

    void add(std::string_view service, std::string_view decision, result_code reason,
             bool is_over_share);
    // Writes one line for each cause since the last report, at most once per `interval`. `zone` is
    // this instance's, and its callers': routers send callers to instances of their own zone.
    void report(event_log& log, std::string_view zone, clock::time_point now);

private:
    struct count {
        std::int64_t openings = 0;
        std::int64_t over_share = 0;  // of these, by callers above their share, see caller_shares
    };

    std::map<std::tuple<std::string, std::string, result_code>, count> counts_;
    clock::time_point reported_at_;
};

}  // namespace bramleytrack::steering
