// What can be read from the store, in the product's own types.
//
// An adapter decodes each value once into one of these; nothing inside knows how it was spelled.
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
    endpoint address;  // callers send to it
    std::vector<split> splits;
    int priority = 0;                      // 0 is served first
    clock::duration latency_objective{0};  // for the answer to a request; 0 when none is named
    // Regions whose targets may serve it; all when it is empty.
    std::vector<std::string> allowed_regions;
    bool is_idempotent = false;  // its requests may run more than once
};

struct service {
    std::string name;
    // New flows that a cold target bears in a second; 0 when the operators name none.
    double cold_flows_per_second = 0;
};

// The operators' text: what is in force as a whole.
struct catalogue {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
};

enum class target_state { ready, draining };

// What a target says of itself.
struct target_entry {
    std::string id;
    std::uint64_t identity = 0;  // the id as a number; packets for the target carry it
    std::string service;
    std::string zone;
    std::string software_version;
    endpoint address;
    int slots = 1;  // requests that it works on at a time
    target_state state = target_state::ready;
    clock::duration cold_for{0};  // how much longer it bears little, when it wrote this
    std::int64_t born = 0;        // start of its process, Unix milliseconds; 0 when it isn't said
};

struct target_removed {
    std::string id;
};

struct zone_out {
    std::string zone;
    bool is_out = true;
};

// A fellow instance, written by itself.
struct peer_entry {
    std::string name;
    std::string zone;
    std::string address;       // ip:port where it takes digests, UDP
    std::string pull_address;  // ip:port where it tells what it holds, HTTP
};

struct peer_removed {
    std::string name;
};

// A value that can't be understood, as strangers may write them.
struct unreadable {
    std::string key;
    std::string reason;
    std::string target_id;  // empty when the key isn't a target's
};

// A key that isn't this product's concern.
struct unrelated {};

using record = std::variant<catalogue, target_entry, target_removed, zone_out, peer_entry,
                            peer_removed, unreadable, unrelated>;

// Decodes what stands in the store. Implemented by the adapter to the platform.
class record_reader {
public:
    record_reader() = default;
    record_reader(const record_reader&) = delete;
    record_reader& operator=(const record_reader&) = delete;
    virtual ~record_reader() = default;

    virtual record read(std::string_view key, std::string_view value) const = 0;
    virtual record read_removal(std::string_view key) const = 0;
    // Whether a value of this size under this key can be anything but unreadable or unrelated.
    virtual bool is_relevant(std::string_view key, std::size_t size) const = 0;
};

}  // namespace bramleytrack::discovery
