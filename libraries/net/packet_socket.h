// A UDP socket that takes and sends datagrams in batches, for the path of the callers' packets.
//
// udp_endpoint is its kin for the few messages between instances; here a system call a packet would
// be the largest cost of a small instance.
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

#include "net/tcp.h"

namespace bramleytrack::net {

class packet_socket {
public:
    using receive_callback = std::function<void(std::span<const std::uint8_t> datagram)>;

    // The largest packet with its head, and what is put before it on the way to a target.
    static constexpr std::size_t max_size = 2048;
    static constexpr std::size_t batch_size = 64;

    // Throws std::system_error when the address can't be bound.
    packet_socket(ev::loop_ref loop, const sockaddr_in& address, receive_callback on_receive);
    ~packet_socket();
    packet_socket(const packet_socket&) = delete;
    packet_socket& operator=(const packet_socket&) = delete;

    // Until this is called, datagrams wait in the socket's buffer.
    //
    // Failure: a process that has just started knows no target yet, and drops what the routers send
    // to it, though it will know all of them a tenth of a second later. Callers send again after
    // 200 ms at the earliest.
    void start_receiving();

    // Room for the next datagram to send; queue() takes it over.
    std::span<std::uint8_t> next_buffer();
    void queue(std::uint32_t address, std::uint16_t port, std::size_t size);
    // Sends what is queued. Called after each batch that was received; call it after other sends.
    void flush();

    std::int64_t dropped_sends() const { return dropped_sends_; }

private:
    using buffer = std::array<std::uint8_t, max_size>;

    void on_readable(ev::io& watcher, int events);
    int receive();

    descriptor socket_;
    receive_callback on_receive_;
    ev::io readable_;
    std::vector<buffer> received_;
    std::vector<iovec> received_parts_;
    std::vector<mmsghdr> received_heads_;
    std::vector<buffer> sent_;
    std::vector<iovec> sent_parts_;
    std::vector<mmsghdr> sent_heads_;
    std::vector<sockaddr_in> destinations_;
    std::size_t queued_ = 0;
    std::int64_t dropped_sends_ = 0;
};

}  // namespace bramleytrack::net
