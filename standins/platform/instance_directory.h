// Stand-in for the platform's list of live and leaving instances. Changes become visible only
// after a lag.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_server.h"

namespace bramleytrack::standins {

class instance_directory {
public:
    explicit instance_directory(clock::duration lag) : lag_{lag} {}

    // PUT /v1/instances?name=N with the entry as body sets it; an empty body removes it.
    // GET /v1/instances returns the list as it was `lag` ago. A PUT with now=1 is visible at once.
    void handle(const net::http_request& request, const net::http_responder& respond);

private:
    struct change {
        clock::time_point visible_at;
        std::string name;
        std::string entry;
    };

    void apply_due_changes(clock::time_point now);

    clock::duration lag_;
    std::vector<change> pending_;  // in order of arrival
    std::map<std::string, std::string> visible_;
};

}  // namespace bramleytrack::standins
