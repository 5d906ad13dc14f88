// Stand-in for the routers of the users' platform: probes the readiness of each instance twice a
// second, and chooses among the instances in rotation by a hash of both addresses of the flow.
#pragma once

#include <ev++.h>

#include <string>
#include <vector>

#include "net/http_client.h"

namespace bramleytrack::standins {

class router {
public:
    struct instance {
        std::string packet_address;
        std::string readiness_address;
        int failed_probes = 2;  // consecutive; two or more take it out of rotation
    };

    router(ev::loop_ref loop, std::vector<instance> instances);

    // Returns the packet address of an instance; empty if there are no instances. If fewer than
    // half of the instances are in rotation, chooses among all of them.
    std::string choose(std::uint64_t flow_hash) const;

private:
    void on_tick(ev::timer& watcher, int events);

    std::vector<instance> instances_;
    net::http_client http_;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
