// The records that the store holds, as decoded types.
//
// The adapter to the platform decodes each value once into one of these types; no other code
// depends on the encoding.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::discovery {

struct endpoint {
    std::uint32_t address = 0;  // IPv4, host byte order
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

std::string to_string(const endpoint& address);

// A share of a route's new flows.
struct split {
    std::string service;
    std::uint32_t weight = 0;
};

struct route {
    std::string name;
    endpoint address;  // to which callers send
    std::vector<split> splits;
    int priority = 0;                      // 0 is served first
    clock::duration latency_objective{0};  // for the response to a request; 0: none
    // Regions whose targets may serve it; empty: all.
    std::vector<std::string> allowed_regions;
    bool is_idempotent = false;  // its requests may be executed more than once
};

struct service {
    std::string name;
    // New flows per second that a cold target can handle; 0: not configured.
    double cold_flows_per_second = 0;
};

// The operators' configuration; each version replaces the previous one as a whole.
struct catalogue {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
};

enum class target_state { ready, draining };

// A target's own entry.
struct target_entry {
    std::string id;
    std::uint64_t identity = 0;  // numeric form of the id; carried in packets for the target
    std::string service;
    std::string zone;
    std::string software_version;
    endpoint address;
    int slots = 1;  // number of requests that it processes concurrently
    target_state state = target_state::ready;
    clock::duration cold_remaining{0};  // rest of its cold phase at the time of this entry
    std::int64_t started_at_ms = 0;     // start of its process, Unix time; 0: not reported
};

struct target_removed {
    std::string id;
};

// Operators have taken a zone out of service, or put it back.
struct zone_out {
    std::string zone;
    bool is_out = true;
};

// A peer's own entry.
struct peer_entry {
    std::string name;
    std::string zone;
    std::string address;       // ip:port at which it receives digests, UDP
    std::string pull_address;  // ip:port from which its state can be pulled, HTTP
    double link_mbps = 0;      // the rate of its link, megabits per second; 0: not reported
};

struct peer_removed {
    std::string name;
};

// A value that can't be decoded; other writers share the store.
struct unreadable {
    std::string key;
    std::string reason;
    std::string target_id;  // empty unless it is the key of a target
};

// A key of another user of the store.
struct unrelated {};

using record = std::variant<catalogue, target_entry, target_removed, zone_out, peer_entry,
                            peer_removed, unreadable, unrelated>;

// Decodes items of the store. Implemented by the adapter to the platform.
class record_reader {
public:
    record_reader() = default;
    record_reader(const record_reader&) = delete;
    record_reader& operator=(const record_reader&) = delete;
    virtual ~record_reader() = default;

    virtual record read(std::string_view key, std::string_view value) const = 0;
    virtual record read_removal(std::string_view key) const = 0;
    // Whether a value of this size under this key can decode to anything but unreadable or
    // unrelated.
    virtual bool is_relevant(std::string_view key, std::size_t size) const = 0;
};

}  // namespace bramleytrack::discovery
