// What the callers of each route ask of each service through this instance: recent requests, and
// the work of a request.
//
// The work of a request is the time for which it keeps a slot busy. It is learned from answer times
// while the service is calm: at other times these contain the wait in the target's queue.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "load/decaying_sum.h"
#include "load/service_time.h"

namespace bramleytrack::steering {

class route_usage {
public:
    // A route's use of one service. An index stays valid for the lifetime of this object.
    using index = std::size_t;

    struct entry {
        std::string service;
        std::string route;
    };

    // Returns the index of the pair and adds it if needed. Beyond `max_entries`, all further pairs
    // share one index, whose entry has empty names.
    index index_of(std::string_view service, std::string_view route);

    // A caller began a request or tried to open a flow, whatever the outcome.
    void on_request(index subject, clock::time_point now);
    // A request was sent to a target, or an opening that one follows.
    void on_begun(index subject, clock::time_point now);
    double begun_per_second(index subject, clock::time_point now) const;
    // Requests and openings per second, recently (the time constant is that of load::decaying_sum).
    double requests_per_second(index subject, clock::time_point now) const;

    // `is_calm`: few of the service's slots were busy, so the answer did not wait for others.
    void record_answer(index subject, clock::duration answer_time, bool is_calm,
                       clock::time_point now);
    // The work of one request, milliseconds; 0 until the first answer. Without a calm answer so
    // far, the shortest answer time counts.
    double work_ms(index subject) const;

    const entry& at(index subject) const { return entries_.at(subject); }
    std::size_t size() const { return entries_.size(); }
    // The indexes of the service's routes, without the shared index; empty if none has used it.
    // Valid until index_of() adds a pair.
    std::span<const index> routes_of(std::string_view service) const;

    static constexpr std::size_t max_entries = 1'000;

private:
    struct measurement {
        load::decaying_sum requests;
        load::decaying_sum begun;
        load::service_time calm;
        load::service_time shortest;  // the single shortest answer time, calm or not
    };
    struct service_routes {
        std::map<std::string, index, std::less<>> by_name;
        std::vector<index> indexes;
    };

    // The index that pairs beyond `max_entries` share.
    index shared_index();
    index add(std::string_view service, std::string_view route);

    std::vector<entry> entries_;             // at most max_entries and the shared one
    std::vector<measurement> measurements_;  // by index
    // Nested, so that a look-up by two views allocates nothing.
    std::map<std::string, service_routes, std::less<>> by_service_;
};

}  // namespace bramleytrack::steering
