// The platform's store as a simulated fleet that starts sees it: pages of a fixed number of items,
// an answer time and a link, which all instances share.
//
// Assumptions: nothing is written while the fleet starts, all instances are registered from before,
// and the store refuses no call. In a read of all keys, one item stands for `group_size` entries of
// the real store, and pages, bytes and processor time are charged for all of them, so that a fleet
// of thousands of instances fits into memory. Registrations are listed one by one.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/peer_shard.h"
#include "discovery/records.h"
#include "store/store.h"

namespace bramleytrack::experiments {

struct fleet_store_limits {
    clock::duration answer_time{4};
    std::size_t entries_per_page = 500;
    std::size_t group_size = 50;
    // Entries with their envelope, base64 in JSON.
    std::int64_t bytes_per_entry = 300;
    std::int64_t bytes_per_registration = 400;
};

// The key prefix of a shard's registrations.
std::string shard_prefix(std::size_t shard);

class fleet_store_model final : public discovery::record_reader {
public:
    fleet_store_model(std::size_t entries, const fleet_store_limits& limits);

    void add_registration(const discovery::peer_entry& added);

    const fleet_store_limits& limits() const { return limits_; }
    // A call: the page that begins after the key. `prefix` is empty or that of a shard.
    store::page read_page(std::string_view prefix, std::string_view after_key);
    const std::vector<store::item>& items() const { return items_; }
    std::int64_t revision() const { return static_cast<std::int64_t>(items_.size()); }
    std::int64_t calls() const { return calls_; }

    std::int64_t bytes_of(const store::page& subject) const;
    std::int64_t entries_of(const store::page& subject) const;
    // Of items of a read of all keys.
    std::int64_t entries_of(std::size_t items) const {
        return static_cast<std::int64_t>(items * limits_.group_size);
    }

    discovery::record read(std::string_view key, std::string_view value) const override;
    discovery::record read_removal(std::string_view key) const override;
    bool is_relevant(std::string_view /*key*/, std::size_t /*size*/) const override { return true; }

private:
    fleet_store_limits limits_;
    std::vector<store::item> items_;  // ordered by key
    std::array<std::vector<store::item>, discovery::peer_shards> registrations_;
    std::vector<discovery::peer_entry> peers_;  // a registration's value is its index here
    std::int64_t calls_ = 0;
};

}  // namespace bramleytrack::experiments
