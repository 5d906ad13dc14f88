// A UDP socket that receives and sends datagrams in batches, for the data path of callers' packets.
//
// On the data path, one system call per packet would be the largest cost of a small instance. The
// few messages between instances go through udp_endpoint, which doesn't batch.
//
// Datagrams are moved from the socket into a backlog as soon as the event loop runs, and are
// handled from there, so that the time for which each of them waited is known, see receive_backlog.
#pragma once

#include <ev++.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "net/receive_backlog.h"
#include "net/tcp.h"

namespace bramleytrack::net {

class packet_socket {
public:
    // `earliest_arrival`: the datagram may have waited since then, see receive_backlog.
    using receive_callback = std::function<void(std::span<const std::uint8_t> datagram,
                                                clock::time_point earliest_arrival)>;

    // The size of each receive and send buffer: holds the largest packet with its headers and the
    // encapsulation that is added when it is forwarded to a target. A longer datagram is truncated
    // to this size when it is received, and the callback gets the truncated datagram.
    static constexpr std::size_t max_packet_size = 2048;
    static constexpr std::size_t batch_size = 64;

    // Throws std::system_error when the address can't be bound.
    packet_socket(ev::loop_ref loop, const sockaddr_in& address, receive_callback on_receive);
    ~packet_socket();
    packet_socket(const packet_socket&) = delete;
    packet_socket& operator=(const packet_socket&) = delete;

    // Until this is called, datagrams stay in the backlog. They are handled from the next iteration
    // of the event loop on.
    //
    // A process that has just started holds no targets yet and would drop the packets that routers
    // send to it, although it receives the targets about 100 ms later. Callers retransmit after
    // 200 ms at the earliest, so each drop would delay them by at least that.
    void start_handling();
    // Reads what the socket holds. On a socket without traffic, a call every tick of the event loop
    // keeps the moment recent at which the socket was last known to be empty.
    void receive();

    // The buffer to write the next datagram into; queue() then queues its first `size` bytes.
    std::span<std::uint8_t> next_buffer();
    void queue(std::uint32_t address, std::uint16_t port, std::size_t size);
    // Sends all queued datagrams. The socket calls it after it has handled datagrams; code that
    // queues datagrams at other times, for example in a timer callback, must call it afterwards.
    void flush();

    std::int64_t dropped_sends() const { return dropped_sends_; }
    // Datagrams that were read and not handled yet.
    std::size_t backlog_size() const { return backlog_.size(); }
    // Datagrams that were dropped because the backlog was full.
    std::int64_t dropped_receives() const { return backlog_.dropped(); }

private:
    using buffer = std::array<std::uint8_t, max_packet_size>;

    void on_readable(ev::io& watcher, int events);
    void on_idle(ev::idle& watcher, int events);
    int receive_batch();
    void handle_backlog();
    // Has the event loop call on_idle() while there is something to handle.
    void watch_backlog();

    descriptor socket_;
    receive_callback on_receive_;
    receive_backlog backlog_;
    bool is_handling_ = false;
    ev::io readable_;
    ev::idle idle_;  // active while the backlog holds datagrams that may be handled
    std::vector<buffer> receive_buffers_;
    std::vector<iovec> receive_iovecs_;
    std::vector<mmsghdr> receive_headers_;
    std::vector<buffer> send_buffers_;
    std::vector<iovec> send_iovecs_;
    std::vector<mmsghdr> send_headers_;
    std::vector<sockaddr_in> destinations_;
    std::size_t queued_count_ = 0;
    std::int64_t dropped_sends_ = 0;
};

}  // namespace bramleytrack::net
