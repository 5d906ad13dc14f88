// Datagrams that were read from a socket and are not handled yet, with the time from which on each
// may have waited.
//
// The time at which a datagram arrived is unknown: a process that was paused, or was busy with
// something else, reads late. A datagram that is in the socket now was not there when the socket
// was last found empty, so that moment is the earliest at which it may have arrived. Nothing else
// bounds its wait: neither the time at which it was read nor the length of a pause.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::net {

struct received_datagram {
    std::vector<std::uint8_t> bytes;
    clock::time_point earliest_arrival;
};

class receive_backlog {
public:
    // `max_bytes` bounds the memory of the contents; the oldest datagrams are dropped for newer
    // ones.
    receive_backlog(std::size_t max_bytes, clock::time_point opened_at)
        : max_bytes_{max_bytes}, empty_at_{opened_at} {}

    // Called before each read of the socket.
    void begin_read(clock::time_point now) { read_began_at_ = now; }
    // A datagram of that read.
    void add(std::span<const std::uint8_t> datagram);
    // The read returned all that the socket held.
    void on_socket_empty() { empty_at_ = read_began_at_; }

    // The oldest datagram.
    std::optional<received_datagram> take();

    bool is_empty() const { return datagrams_.empty(); }
    std::size_t size() const { return datagrams_.size(); }
    std::int64_t dropped() const { return dropped_; }

private:
    // The memory of a datagram of this size. Even an empty one takes some, so that a flood of them
    // is bounded as well.
    static std::size_t cost_of(std::size_t size) { return sizeof(received_datagram) + size; }
    received_datagram remove_oldest();

    std::size_t max_bytes_;
    std::deque<received_datagram> datagrams_;
    std::size_t bytes_ = 0;  // the sum of cost_of() over datagrams_
    clock::time_point read_began_at_;
    // When the socket was last known to be empty. Taken before the read that found it empty, so
    // that a pause during that read makes it too old and never too recent.
    clock::time_point empty_at_;
    std::int64_t dropped_ = 0;
};

}  // namespace bramleytrack::net
