// Settings of an instance that routes by token: JSON with comments.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "configuration/fault.h"

namespace bramleytrack::settings {

struct steering_settings {
    std::string name;
    std::string zone;
    std::map<std::string, std::string, std::less<>> zones;  // the region of each availability zone
    std::string packet_address;     // UDP, packets of callers from the fabric
    std::string readiness_address;  // HTTP, any path: 200 while this instance accepts new flows
    std::string metrics_address;    // HTTP: /metrics
    std::string peer_address;       // UDP, digests of other instances
    std::string pull_address;       // HTTP, other instances fetch store entries that they lack
    // Addresses at which peers reach the two above; the same as those unless they are set.
    std::string advertised_peer_address;
    std::string advertised_pull_address;
    std::vector<std::string> seeds;  // pull addresses of some instances, which may be stale
    std::string store_address;       // HTTP, the platform's store
    std::string fleet_passphrase;    // authenticates peers
    clock::duration stop_grace{0};   // time between SIGTERM and SIGKILL
    clock::duration flow_lifetime{0};
    // Unknown keys. The platform may add a field to its template before the program supports it, so
    // an unknown key is reported and otherwise ignored.
    std::vector<std::string> ignored_keys;

    bool operator==(const steering_settings&) const = default;
};

using steering_settings_result = std::variant<steering_settings, std::vector<configuration::fault>>;

// Returns all faults of the text at once, so that an operator can correct them in one pass.
steering_settings_result parse_steering_settings(std::string_view text);

}  // namespace bramleytrack::settings
