// Openings that wait at this instance for capacity of their service.
//
// Handles bursts of a second, waves of demand, and the moments after targets or instances were
// lost: an opening that is refused at once comes back at once, and after three refusals within
// milliseconds the request is lost although a slot is free a moment later. An opening waits only
// for as long as it can still be answered in time.
//
// Order: priority, then fair between routes and callers by work, then age. Each opening that is
// queued leaves the queue exactly once; those whose wait is over leave it by take_expired(), which
// must be called while has_entries(), even if nothing waits any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "load/basic_fair_queue.h"
#include "steering/segment.h"

namespace bramleytrack::steering {

struct waiting_opening {
    segment packet;
    std::vector<std::uint8_t> datagram;  // as it was received, to be forwarded
    std::string service;                 // chosen by the weights of the route
    std::string route;
    int priority = 0;  // of the route; a smaller number is a higher priority
    double work_ms = 0;
    clock::time_point queued_at;
    clock::time_point refuse_at;  // the end of the wait
};

struct opening_queue_limits {
    std::size_t max_entries = 0;  // over all services
};

enum class queue_outcome {
    queued,
    full,           // nothing less deserving could be evicted
    wait_too_long,  // the expected wait is longer than the opening may wait
};

class opening_queue {
public:
    explicit opening_queue(opening_queue_limits limits = {}) : limits_{limits} {}
    opening_queue(const opening_queue&) = delete;  // its indices point into it
    opening_queue& operator=(const opening_queue&) = delete;

    // Fewer entries than are queued evict nothing: new openings are refused or evict one each.
    void set_limits(opening_queue_limits limits) { limits_ = limits; }

    // An opening that is evicted for this one is returned by the next take_expired(). An opening
    // of a flow that already waits is merged with it: nothing is queued.
    queue_outcome push(waiting_opening opening, clock::time_point now);
    bool contains(const flow_key& flow) const;
    // The caller has given up.
    std::optional<waiting_opening> remove(const flow_key& flow);

    // Offers the service's openings to `place` in order and removes those for which it returns
    // true. When it returns false, the other openings of that route are skipped: what the route
    // lacks, they lack as well. Openings whose wait is over are not offered. `place` must not call
    // functions that change the queue.
    using placer = std::function<bool(const waiting_opening& opening)>;
    void release(std::string_view service, clock::time_point now, const placer& place);

    // Removes and returns the openings whose wait is over, and those that were evicted.
    std::vector<waiting_opening> take_expired(clock::time_point now);
    // Removes and returns all openings, in order.
    std::vector<waiting_opening> take_all();

    // How long an opening of this priority would wait for the service, from what is ahead of it and
    // the rate of recent releases.
    clock::duration expected_wait(std::string_view service, int priority,
                                  clock::time_point now) const;

    std::size_t size() const;
    // Whether anything waits, or has ended and was not taken by take_expired() yet.
    bool has_entries() const { return !openings_.empty() || !ended_.empty(); }
    std::size_t size_of(std::string_view service, std::string_view route) const;
    // The services for which openings wait.
    std::vector<std::string> services() const;

private:
    struct waiting;
    struct fair_entry {
        std::uint32_t member = 0;  // the caller's address
        std::uint32_t kind = 0;    // route_count::id
        double cost = 0;           // milliseconds of work
        std::uint64_t rank = 0;    // waiting::arrival
        waiting* opening = nullptr;
    };
    using level = load::basic_fair_queue<fair_entry>;

    struct route_count {
        std::uint32_t id = 0;  // within the service, until no opening waits for that service
        std::size_t waiting = 0;
    };

    // The releases of one service over the time in which openings wait for it, both decaying.
    struct release_history {
        double released = 0;
        double busy_ms = 0;
        clock::time_point updated_at;

        void advance(clock::time_point now);
    };

    struct service_queue {
        std::map<int, level> levels;  // by priority
        std::map<std::string, route_count, std::less<>> routes;
        std::size_t size = 0;  // sum over the levels, and over the routes
        release_history history;
    };

    struct waiting {
        waiting_opening opening;
        std::uint64_t arrival = 0;  // openings are numbered as they are queued
        service_queue* service = nullptr;
        level::position position;
    };
    template <typename Key>
    using index = std::set<std::tuple<Key, std::uint64_t, waiting*>>;  // by key, then arrival

    bool evict_for(const waiting_opening& opening);
    void begin_busy_period(std::string_view service, clock::time_point now);
    void count(const flow_key& flow, bool is_added);
    void release_level(level& openings, const placer& place, std::set<std::uint32_t>& skipped,
                       release_history& history);
    // Removes the opening; charges its caller and route for it if it is dispatched.
    waiting_opening take(waiting& taken, bool is_dispatched);
    void end_expired(clock::time_point now);

    opening_queue_limits limits_;
    std::map<std::string, service_queue, std::less<>> services_;
    std::unordered_map<flow_key, waiting, flow_key_hash> openings_;
    // Each holds every opening of openings_ once.
    index<clock::time_point> by_end_;  // of the wait
    index<int> by_priority_;
    index<std::uint32_t> by_caller_;
    std::unordered_map<std::uint32_t, std::size_t> entries_by_caller_;    // without zeros
    std::set<std::pair<std::size_t, std::uint32_t>> callers_by_entries_;  // the same
    std::vector<waiting_opening> ended_;  // expired or evicted, for the next take_expired()
    std::uint64_t next_arrival_ = 0;
};

}  // namespace bramleytrack::steering
