// The queue of requests that wait for a slot of one target, shared fairly between members.
//
// Handles a member that floods the target with many times its share, and long requests among short
// ones. A first-come queue serves members in proportion to what they send, and a short request
// waits for every long one ahead of it.
// Start-time fair queueing (Goyal, Vin and Cheng 1996) on two levels: the slots' time is divided
// between members, and a member's time between its classes of work. Each request is charged its
// expected service time at dispatch. The difference to the actual time is charged afterwards to the
// member only, not to its class, so that a wrong estimate favours no member for long. Whenever the
// queue is empty this history is dropped. Deficit round robin would need a quantum that fits
// service times which differ a hundredfold.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/work.h"

namespace bramleytrack::load {

struct waiting_request {
    records::request_id id;
    std::string member;
    work_class kind = 0;
    double cost = 0;  // expected service time, milliseconds
    clock::time_point deadline;
    clock::time_point queued_at;
};

class fair_queue {
public:
    void push(const work& request, double cost, clock::time_point now);
    // Removes the next request in fair order; nothing if the queue is empty.
    std::optional<waiting_request> take();
    // Removes the request that has waited longest: the order of a first-come queue.
    std::optional<waiting_request> take_oldest();
    bool erase(const records::request_id& id);

    // Takes the member with the most queued requests. If it has more than `member` would have with
    // one more, removes the newest request of its longest class; otherwise removes nothing. So a
    // flood can't keep other members out of a full queue.
    std::optional<waiting_request> evict_for(std::string_view member);

    // Service time, in milliseconds, that the member receives until a request pushed now would end,
    // that request included. Its other classes are served ahead of it only up to an equal share.
    double member_work_until_completion(std::string_view member, work_class kind,
                                        double cost) const;
    // Service time of the member `other` that is served before `member` has received `own_work`,
    // if `other` adds `additional_work` to what it has queued.
    double other_member_work_ahead(std::string_view member, double own_work, std::string_view other,
                                   double additional_work) const;

    // Removes and returns the requests for which `predicate` returns true.
    std::vector<waiting_request> take_if(
        const std::function<bool(const waiting_request&)>& predicate);

    std::vector<waiting_request> take_all() {
        return take_if([](const waiting_request&) { return true; });
    }

    // Charges a member the time by which a request exceeded its expected cost; negative if shorter.
    // Ignored if the queue has been empty since and the member has queued nothing again.
    void charge(std::string_view member, double difference);

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t waiting_members() const;
    double cost() const;  // sum over all queued requests

private:
    struct class_queue {
        std::deque<waiting_request> requests;  // oldest first
        double cost = 0;                       // sum over the requests
        double next_start = 0;                 // virtual time
    };
    struct member_queue {
        std::map<work_class, class_queue> classes;
        double cost = 0;        // sum over the classes
        std::size_t count = 0;  // sum over the classes
        double next_start = 0;  // virtual time
        double virtual_time = 0;
    };
    using members = std::map<std::string, member_queue, std::less<>>;

    std::optional<waiting_request> remove(members::iterator member, work_class kind,
                                          std::size_t index);
    void reset_if_empty();

    members members_;
    std::size_t size_ = 0;  // sum over the members
    double virtual_time_ = 0;
};

}  // namespace bramleytrack::load
