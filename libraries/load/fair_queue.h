// The requests that wait for a slot of one target, shared fairly between members.
//
// Load: one member floods the target with many times its share, or sends long work among short.
// Without it a first-come queue serves members in proportion to what they send, and a short request
// waits for every long one ahead of it.
// Start-time fair queueing (Goyal, Vin and Cheng 1996) on two levels: members share the slots'
// time, and within a member its classes of work do. Each pays with expected service time, and the
// difference to the time really taken is charged afterwards, so that a wrong estimate favours
// nobody for long. Chosen over deficit round robin since it needs no quantum, which would have to
// fit service times that differ a hundredfold.
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
    clock::time_point since;
};

class fair_queue {
public:
    void push(const work& wanted, double cost, clock::time_point now);
    // The next request in the fair order; nothing when none waits.
    std::optional<waiting_request> take();
    // The request that has waited longest: the order of a plain first-come queue.
    std::optional<waiting_request> take_oldest();
    bool erase(const records::request_id& id);

    // Removes the newest request of the member with the most waiting, if that member has more
    // waiting than `member` would have. So a flood can't keep others out of a full queue.
    std::optional<waiting_request> evict_for(std::string_view member);

    // What a request pushed now would have to wait for within its own member, it included:
    // milliseconds of service. Other classes are served ahead of it only up to an equal share.
    double own_work_until_end(std::string_view member, work_class kind, double cost) const;
    // And the service of `other` that comes ahead if the member is to get `own`, and `other` asks
    // for `more` on top of what it has waiting.
    double work_ahead_of(std::string_view member, double own, std::string_view other,
                         double more) const;

    // Removes what `is_infeasible` says can't end in time.
    std::vector<waiting_request> take_if(
        const std::function<bool(const waiting_request&)>& is_infeasible);

    std::vector<waiting_request> take_all() {
        return take_if([](const waiting_request&) { return true; });
    }

    // The member's request took so much longer (shorter, if negative) than it had paid for.
    void charge(std::string_view member, double difference);

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t waiting_members() const;
    double cost() const;  // sum over all that wait

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
    void settle_when_empty();

    members members_;
    std::size_t size_ = 0;  // sum over the members
    double virtual_time_ = 0;
};

}  // namespace bramleytrack::load
