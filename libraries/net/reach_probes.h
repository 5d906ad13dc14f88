// Tries to connect to an address and tells whether anything there takes the connection.
//
// A refused one counts as none: the machine lives, but the process that served there has ended.
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

    // `done` is called once, from the loop; false when nothing has answered within `limit`.
    void begin(const sockaddr_in& address, clock::duration limit, reach_callback done);

private:
    class probe;

    void collect_ended();

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<probe>> probes_;
    ev::idle collector_;  // probes that have ended are destroyed outside their own callbacks
};

}  // namespace bramleytrack::net
