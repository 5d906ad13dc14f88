// Fixtures for tests and benchmarks of a single steering core.
#pragma once

#include <string>

#include "base/event_log.h"
#include "discovery/directory.h"

namespace bramleytrack::testing {

class null_event_log final : public event_log {
public:
    bool admits(log_kind /*kind*/, clock::time_point /*now*/) override { return false; }
    void write(const log_event& /*event*/) override {}
};

constexpr discovery::endpoint board_route{.address = 9, .port = 443};

// A catalogue with one route, to the service "board", whose requests aren't idempotent.
inline discovery::catalogue board_catalogue() {
    discovery::catalogue catalogue;
    catalogue.version = 1;
    auto& route = catalogue.routes.emplace_back();
    route.name = "feed";
    route.address = board_route;
    route.splits = {{.service = "board", .weight = 1}};
    catalogue.services.push_back({.name = "board"});
    return catalogue;
}

inline discovery::target_entry board_target(const std::string& id, const std::string& zone,
                                            int slots) {
    discovery::target_entry entry;
    entry.id = id;
    entry.service = "board";
    entry.zone = zone;
    entry.slots = slots;
    return entry;
}

}  // namespace bramleytrack::testing
