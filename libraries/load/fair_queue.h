// The queue of requests that wait for a slot of one target, shared fairly between members.
//
// The slots' time is divided between members, and a member's time between its classes of work. Each
// request is charged its expected service time at dispatch, and its member the difference to the
// actual time afterwards.
#pragma once

#include <cstdint>
#include <string>

#include "load/basic_fair_queue.h"
#include "load/work.h"

namespace bramleytrack::load {

struct waiting_request {
    // Members whose turns start at the same time are served in the order of their names.
    static constexpr std::uint64_t rank = 0;

    records::request_id id;
    std::string member;
    work_class kind = 0;
    double cost = 0;  // expected service time, milliseconds
    clock::time_point deadline;
    clock::time_point queued_at;
};

class fair_queue : public basic_fair_queue<waiting_request> {
public:
    void push(const work& request, double cost, clock::time_point now);
    bool erase(const records::request_id& id);
};

}  // namespace bramleytrack::load
