// Virtual time and links of a simulated fleet: events at given times, and transfers that share the
// bandwidth of their sender's and their receiver's link.
//
// Assumptions: a link has the same rate in both directions and divides it evenly among its
// transfers; a transfer moves at the lower of its two shares. Bytes are lost only with a transfer
// that is given up. Time advances in steps of `step`, within which all shares are constant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::experiments {

class fleet_network {
public:
    using node = std::size_t;
    using event_callback = std::function<void(clock::time_point now)>;
    // `is_complete`: all bytes have arrived. Otherwise the receiver has given up.
    using transfer_callback = std::function<void(bool is_complete, clock::time_point now)>;

    static constexpr clock::duration step{5};

    struct transfer_request {
        node from = 0;
        node to = 0;
        std::int64_t bytes = 0;
        clock::duration latency{0};  // until the first byte is sent
        clock::duration timeout{0};  // counted from the request
        // Whether each received byte restarts the timeout.
        bool restarts_timeout = false;
    };

    // The rate of each node's link, in megabits per second.
    explicit fleet_network(const std::vector<double>& link_mbps);

    clock::time_point now() const { return now_; }
    void schedule(clock::time_point at, event_callback callback);
    void send(const transfer_request& request, transfer_callback done);
    // Advances the time until `end`, or until `is_over` returns true.
    void run(clock::time_point end, const std::function<bool()>& is_over);

    std::int64_t bytes_sent(node from) const { return nodes_[from].bytes_sent; }
    // When a byte last arrived at the node; the epoch if never.
    clock::time_point last_received_at(node to) const { return nodes_[to].last_received_at; }

private:
    struct node_state {
        double bytes_per_step = 0;
        int sending = 0;    // transfers of the current step
        int receiving = 0;  // transfers of the current step
        std::int64_t bytes_sent = 0;
        clock::time_point last_received_at;
    };
    struct transfer {
        transfer_request request;
        transfer_callback done;
        double bytes_left = 0;
        clock::time_point sending_from;
        clock::time_point given_up_at;
        bool is_over = false;
    };
    struct event {
        clock::time_point at;
        std::int64_t sequence = 0;  // events at the same time run in the order of their scheduling
        event_callback callback;

        bool operator>(const event& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void run_due_events();
    void advance_transfers();
    void move_bytes(transfer& moved);
    void report_ended_transfers();

    clock::time_point now_;
    std::vector<node_state> nodes_;
    std::vector<transfer> transfers_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t last_sequence_ = 0;
};

}  // namespace bramleytrack::experiments
