// Status of all instances, with the configuration version that each one reports.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store_session.h"

namespace bramleytrack::ctl {

struct instance_status {
    std::string name;
    std::string zone;
    bool is_leaving = false;
    bool is_reachable = false;
    std::int64_t incarnation = 0;
    std::int64_t version = 0;  // of the configuration
    std::int64_t flows = 0;
    std::vector<std::string> targets;  // owned by this instance
};

// Fills in `status` from the response of the instance's admin page. Leaves it marked as unreachable
// when the body is not a status document.
void parse_status(std::string_view body, instance_status& status);

// Queries every instance in the platform's list. Returns nothing when the list can't be read.
std::optional<std::vector<instance_status>> query_instances(store_session& session,
                                                            const std::string& list_url);

// Returns the names of the instances on which `version` is not in force yet. Leaving instances are
// excluded, and those that were removed from the list aren't in `instances`: waiting for them would
// never end.
std::vector<std::string> instances_not_in_force(const std::vector<instance_status>& instances,
                                                std::int64_t version);

nlohmann::ordered_json to_json(const std::vector<instance_status>& instances);
std::string to_table(const std::vector<instance_status>& instances);

}  // namespace bramleytrack::ctl
