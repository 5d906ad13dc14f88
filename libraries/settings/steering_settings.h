// Settings of an instance that routes by token: JSON with comments.
//
// A token is the 32 bits in a flow's packets that name the flow's target. Targets send it to
// callers, and callers return it in each later packet.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "configuration/fault.h"
#include "steering/admission_settings.h"

namespace bramleytrack::settings {

struct steering_settings {
    std::string name;
    std::string zone;
    std::map<std::string, std::string, std::less<>> zones;  // the region of each availability zone
    // UDP, packets of callers from the fabric: the routers in front of the instances, which may
    // hand any packet to any instance.
    std::string packet_address;
    std::string readiness_address;  // HTTP, any path: 200 while this instance accepts new flows
    std::string metrics_address;    // HTTP: /metrics
    // UDP, messages from peers: digests (small messages that report the sender's store revision,
    // target loads and dead targets), and requests and results of indirect probes.
    std::string peer_address;
    std::string pull_address;  // HTTP, peers fetch store entries that they lack
    // Addresses at which peers reach peer_address and pull_address; equal to these unless set.
    std::string advertised_peer_address;
    std::string advertised_pull_address;
    std::vector<std::string> seeds;  // pull addresses of some instances, which may be stale
    std::string store_address;       // HTTP, the platform's store
    std::string fleet_passphrase;    // authenticates peers
    // The rate of this instance's link in megabits per second; 0 if the settings don't tell it.
    double link_mbps = 0;
    clock::duration stop_grace{0};  // time between SIGTERM and SIGKILL
    // The longest time for which a flow can continue after its target's entry was removed from the
    // store.
    clock::duration flow_lifetime{0};
    // All features are off when the file has no `admission` object.
    steering::admission_settings admission;
    // Unknown keys. The platform may add a field to its template before the program supports it, so
    // an unknown key is reported and otherwise ignored. Those of the
    // `admission` object are named with their path, such as admission.NAME.
    std::vector<std::string> ignored_keys;

    bool operator==(const steering_settings&) const = default;
};

using steering_settings_result = std::variant<steering_settings, std::vector<configuration::fault>>;

// Returns all faults of the text at once, so that an operator can correct them in one pass.
steering_settings_result parse_steering_settings(std::string_view text);

}  // namespace bramleytrack::settings
