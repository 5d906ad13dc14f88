// Finds free loopback ports for fleets of processes that are about to start.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "net/udp_endpoint.h"

namespace bramleytrack::standins {

// Returns distinct free ports: each stays bound until the port source is destroyed.
class port_source {
public:
    ~port_source() {
        for (const int each : held_) {
            close(each);
        }
    }
    port_source() = default;
    port_source(const port_source&) = delete;
    port_source& operator=(const port_source&) = delete;

    std::string take() {
        // TCP and UDP have separate port spaces: the port must be free in both.
        while (true) {
            const int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            held_.push_back(stream);
            held_.push_back(datagrams);
            auto address = *net::parse_address("127.0.0.1:0");
            socklen_t size = sizeof(address);
            auto* generic = reinterpret_cast<sockaddr*>(&address);
            if (bind(stream, generic, size) != 0 || getsockname(stream, generic, &size) != 0) {
                continue;
            }
            if (bind(datagrams, generic, size) == 0) {
                return net::to_string(address);
            }
        }
    }

private:
    std::vector<int> held_;
};

}  // namespace bramleytrack::standins
