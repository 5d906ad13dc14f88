// Links between processes on loopback that delay, lose, cut one way, reset or silence what they
// carry, so that faults reach the real programs from outside.
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

// What a link does to its traffic now.
struct link_state {
    clock::duration delay{0};
    double loss = 0;              // share of the datagrams
    bool is_cut_forward = false;  // nothing gets from the near to the far end
    bool is_cut_back = false;     // streams only: nothing gets back
    bool is_refusing = false;     // streams only: new connections are reset
};

// Passes datagrams on in one direction.
class datagram_link {
public:
    datagram_link(ev::loop_ref loop, const std::string& near, std::string far,
                  std::mt19937_64& random);

    void set(const link_state& state) { state_ = state; }
    // Datagrams of this sender (an IP address) are lost, or get through again.
    void block(const std::string& sender, bool is_blocked);

private:
    struct delayed {
        clock::time_point due;
        std::vector<std::uint8_t> datagram;
    };

    void on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram);
    void on_tick(ev::timer& watcher, int events);

    std::string far_;
    std::mt19937_64& random_;
    link_state state_;
    std::set<std::string, std::less<>> blocked_;
    std::deque<delayed> waiting_;
    net::udp_endpoint endpoint_;
    ev::timer ticker_;
};

// Passes the bytes of connections on in both directions.
class stream_link {
public:
    stream_link(ev::loop_ref loop, const std::string& near, const std::string& far);

    void set(const link_state& state) { state_ = state; }
    // Ends all connections with a reset.
    void reset_all();
    // Existing connections never carry anything again; new ones work.
    void silence_all();

private:
    struct connection;

    void on_connect(ev::io& watcher, int events);
    void on_tick(ev::timer& watcher, int events);
    void collect_ended();

    ev::loop_ref loop_;
    sockaddr_in far_;
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
