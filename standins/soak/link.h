// Proxies between processes on loopback that inject network faults into the real programs from
// outside: delay, loss, one-way cuts, resets and stalled connections.
#pragma once

#include <ev++.h>

#include <deque>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/tcp.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::standins {

// The faults that a link currently applies.
struct link_state {
    clock::duration delay{0};
    double loss = 0;              // fraction of datagrams dropped
    bool is_cut_forward = false;  // drops everything towards the upstream
    bool is_cut_back = false;     // streams only: drops everything from the upstream
    bool is_refusing = false;     // streams only: new connections are reset
};

// Forwards datagrams in one direction.
class datagram_link {
public:
    datagram_link(ev::loop_ref loop, const std::string& listen_address, std::string upstream,
                  std::mt19937_64& random);

    void set(const link_state& state) { state_ = state; }
    // Drops datagrams from this sender (an IP address), or forwards them again.
    void block(const std::string& sender, bool is_blocked);

private:
    struct delayed_datagram {
        clock::time_point due;
        std::vector<std::uint8_t> datagram;
    };

    void on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram);
    void on_tick(ev::timer& watcher, int events);

    std::string upstream_;
    std::mt19937_64& random_;
    link_state state_;
    std::set<std::string, std::less<>> blocked_;
    std::deque<delayed_datagram> delayed_;
    net::udp_endpoint endpoint_;
    ev::timer ticker_;
};

// Forwards TCP connections in both directions.
class stream_link {
public:
    stream_link(ev::loop_ref loop, const std::string& listen_address, const std::string& upstream);

    void set(const link_state& state) { state_ = state; }
    // Closes all connections with a TCP reset.
    void reset_all();
    // Stalls the existing connections for good without closing them; new ones work.
    void silence_all();

private:
    struct connection;

    void on_connect(ev::io& watcher, int events);
    void on_tick(ev::timer& watcher, int events);
    void collect_ended();

    ev::loop_ref loop_;
    sockaddr_in upstream_;
    link_state state_;
    net::descriptor listening_;
    std::list<std::unique_ptr<connection>> connections_;
    ev::io acceptor_;
    ev::timer ticker_;

public:
    ~stream_link();
    stream_link(const stream_link&) = delete;
    stream_link& operator=(const stream_link&) = delete;
};

}  // namespace bramleytrack::standins
