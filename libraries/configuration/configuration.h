// Typed model of the operators' configuration text: services, targets, zones, instances.
//
// Invariant: every configuration object has passed the validation in parse_configuration, so names
// are unique and every reference resolves.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/name_index.h"

namespace bramleytrack::configuration {

enum class zone_state { in, out };
// removed: no longer in the text; the target keeps its existing flows and gets no new ones.
enum class target_state { active, draining, removed };
enum class instance_state { active, retired };

// The spelling used in the configuration text.
std::string_view to_string(zone_state state);
std::string_view to_string(target_state state);
std::string_view to_string(instance_state state);

struct zone {
    std::string name;
    zone_state state = zone_state::in;
};

struct service {
    std::string name;
    std::string address;                  // callers send to it; unique
    std::vector<std::string> depends_on;  // names of services; acyclic
};

struct target {
    std::string name;
    std::string zone;
    std::string service;
    std::string address;       // ip:port
    int slots = 1;             // maximum number of concurrent requests
    int connections = 1;       // maximum number of open flows
    int cold_connections = 1;  // maximum number of open flows right after a cold start
    double weight = 1.0;       // share of the service's flows, relative to its other targets
    target_state state = target_state::active;
};

struct instance_entry {
    std::string name;
    instance_state state = instance_state::active;
};

// What rendezvous hashing needs of a target that may be a candidate for its service's flows.
struct scored_target {
    std::uint64_t name_hash = 0;
    double weight = 1.0;
    std::uint32_t position = 0;  // in configuration::targets
};

struct configuration {
    std::int64_t version = 0;  // of the key in the store; increases with each accepted change
    std::uint64_t digest = 0;  // of the text; equal digests mean equal texts
    std::string text;
    std::vector<zone> zones;
    std::vector<service> services;
    std::vector<target> targets;
    std::vector<instance_entry> instances;  // only those that the text lists

    const service* find_service(std::string_view name) const;
    const service* find_service_by_address(std::string_view address) const;
    const target* find_target(std::string_view name) const;
    const target* find_target_by_address(std::string_view address) const;
    const zone* find_zone(std::string_view name) const;
    bool is_zone_in(std::string_view name) const;
    bool is_retired(std::string_view instance) const;

    // The service's targets in zones that are in, sorted by weight; empty for an unknown service.
    std::span<const scored_target> scored_targets_of(std::string_view service) const;

    // Keeps targets of `before` that the text no longer lists, with state `removed`, at most
    // max_removed of them. If an operator removes a target that still has open flows, their packets
    // can still be routed to its address. A target is not kept if its name or address is in use
    // again or its service or zone is gone: its packets must not reach an unrelated target.
    void retain_removed_targets(const configuration& before);

    // Builds the indexes below. parse_configuration calls it; code that modifies the lists
    // directly, such as tests, must call it afterwards.
    void build_indexes();

private:
    // Invariant: the indexes describe the lists as of the last build_indexes(). They hold positions
    // only, so they stay valid when the whole object is copied or moved.
    name_index services_by_name_;
    name_index services_by_address_;
    name_index targets_by_name_;
    name_index targets_by_address_;
    name_index zones_by_name_;
    name_index instances_by_name_;
    std::vector<scored_target> scored_targets_;     // grouped by service
    std::vector<std::uint32_t> scored_group_ends_;  // by position of the service
};

}  // namespace bramleytrack::configuration
