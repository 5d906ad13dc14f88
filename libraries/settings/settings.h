// Settings of one instance: JSON with comments, read once at startup.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/parse.h"

namespace bramleytrack::settings {

struct instance_settings {
    std::string name;
    std::string zone;
    std::string peer_address;       // UDP, messages from other instances
    std::string caller_address;     // UDP, callers' packets from the routers in front (the fabric)
    std::string target_address;     // UDP, targets' responses
    std::string admin_address;      // HTTP: /metrics, /status
    std::string store_address;      // ip:port of the platform's store
    std::string instance_list_url;  // the platform's list of instances
    std::string fleet_passphrase;   // authenticates peers
};

using settings_result = std::variant<instance_settings, std::vector<configuration::fault>>;

// Returns all faults of the text at once, so that an operator can correct them in one pass.
settings_result parse_settings(std::string_view text);

}  // namespace bramleytrack::settings
