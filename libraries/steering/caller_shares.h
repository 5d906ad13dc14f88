// Finds callers that use more of the targets' capacity than their fair share.
//
// Handles one caller that opens most of the flows while the targets are overloaded. Without this,
// the caller that asks most often gets nearly all capacity that becomes free, and callers with
// little demand are refused.
//
// A caller is identified by its address, and measured by its requests that are open through this
// instance: that is work on the targets, whether in many short flows or few long ones. The network
// spreads flows evenly over instances, so one instance sees a fair sample of each caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/clock.h"

namespace bramleytrack::steering {

struct caller_share_limits {
    // A multiple of the mean of all callers. When each has one or two requests open here, one
    // caller of ten reaches twice the mean by chance alone.
    double tolerance = 2;
    // A caller with fewer open requests is never heavy: the sample is too small.
    int min_open_requests = 3;
    // A refused caller retries within a second or two and counts until then: otherwise a caller
    // that has crowded out all others would look like the only one.
    clock::duration retention{2'000};
    // Further callers count as light: a malicious sender can forge any number of addresses.
    std::size_t max_callers = 20'000;
};

class caller_shares {
public:
    explicit caller_shares(caller_share_limits limits = {}) : limits_{limits} {}

    void on_attempt(std::uint32_t caller, clock::time_point now);
    void on_request_begun(std::uint32_t caller);
    void on_request_ended(std::uint32_t caller);
    void expire(clock::time_point now);

    // Whether one more request would bring the caller well above its share.
    bool is_heavy(std::uint32_t caller) const;
    std::size_t size() const { return callers_.size(); }

private:
    struct share {
        int open_requests = 0;
        clock::time_point last_attempt_at;
    };

    caller_share_limits limits_;
    std::unordered_map<std::uint32_t, share> callers_;
    int open_requests_ = 0;  // the sum over callers_
};

}  // namespace bramleytrack::steering
