// TCP connect probes: reports whether a process accepts connections at an address.
//
// A refused connection counts as unreachable: the host is up, but the process that listened there
// has ended.
#pragma once

#include <ev++.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::net {

class reach_probes {
public:
    using reach_callback = std::function<void(bool is_reachable)>;

    explicit reach_probes(ev::loop_ref loop);
    ~reach_probes();
    reach_probes(const reach_probes&) = delete;
    reach_probes& operator=(const reach_probes&) = delete;

    // `done` is called once, from the event loop; with false when the connection was refused or not
    // established within `timeout`.
    void start(const sockaddr_in& address, clock::duration timeout, reach_callback done);

private:
    class probe;

    void destroy_finished_probes();

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<probe>> probes_;
    ev::idle cleanup_;  // destroys finished probes outside of their own callbacks
};

}  // namespace bramleytrack::net
