// The routers of the users' platform: ask each instance twice a second whether it is ready, and
// hand each packet of a flow to one of those in rotation, by a hash of both ends.
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
        int misses = 2;  // in a row; out of rotation from two on
    };

    router(ev::loop_ref loop, std::vector<instance> instances);

    // Empty when there are no instances at all.
    std::string choose(std::uint64_t flow_hash) const;

private:
    void on_tick(ev::timer& watcher, int events);

    std::vector<instance> instances_;
    net::http_client http_;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
