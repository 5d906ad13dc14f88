// Which callers have more of the targets' work than their fair share.
//
// Load that it answers: one caller opens most of the flows while the targets have more to do than
// they bear. Without it whoever asks most often gets nearly all room that becomes free, and callers
// that ask for little are refused.
//
// A caller is an address. What counts is its requests that are open now, as seen here: work on the
// targets, whether it comes in many short flows or few long ones. The fabric spreads flows evenly,
// so what one instance sees of a caller is a fair sample.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/clock.h"

namespace bramleytrack::steering {

struct caller_share_limits {
    // Above the mean of all callers: chance alone brings one caller of ten to twice the mean when
    // each has one or two requests open here.
    double tolerance = 2;
    // Fewer say nothing about a caller.
    int least_open = 3;
    // A caller that was refused asks again within a second or two, and counts until then: otherwise
    // one that has pushed all others out would look like the only one.
    clock::duration memory{2'000};
    // Beyond these, further callers count as light ones; a stranger can invent any number.
    std::size_t max_callers = 20'000;
};

class caller_shares {
public:
    explicit caller_shares(caller_share_limits limits = {}) : limits_{limits} {}

    void on_asked(std::uint32_t caller, clock::time_point now);
    void on_request_begun(std::uint32_t caller);
    void on_request_ended(std::uint32_t caller);
    void expire(clock::time_point now);

    // Whether one more request would bring the caller well above its share.
    bool is_heavy(std::uint32_t caller) const;
    std::size_t size() const { return callers_.size(); }

private:
    struct share {
        int open = 0;
        clock::time_point asked_at;
    };

    caller_share_limits limits_;
    std::unordered_map<std::uint32_t, share> callers_;
    int open_ = 0;  // the sum over callers_
};

}  // namespace bramleytrack::steering
