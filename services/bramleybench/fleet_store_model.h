// The platform's store as a simulated fleet that starts sees it: pages of a fixed number of items,
// an answer time and a link, which all instances share.
//
// Assumptions: nothing is written while the fleet starts, and the store refuses no call. One item
// stands for `group_size` entries of the real store, and pages, bytes and processor time are
// charged for all of them, so that a fleet of thousands of instances fits into memory.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "store/store.h"

namespace bramleytrack::experiments {

struct fleet_store_limits {
    double link_mbps = 1'000;
    clock::duration answer_time{4};
    std::size_t entries_per_page = 500;
    std::size_t group_size = 50;
    // An entry of a target with its envelope, base64 in JSON.
    std::int64_t bytes_per_entry = 300;
};

class fleet_store_model {
public:
    fleet_store_model(std::size_t entries, const fleet_store_limits& limits);

    const fleet_store_limits& limits() const { return limits_; }
    // A call: the page that begins after the key.
    store::page read_page(std::string_view after_key);
    const std::vector<store::item>& items() const { return items_; }
    std::int64_t revision() const { return static_cast<std::int64_t>(items_.size()); }
    std::int64_t bytes_of(const store::page& subject) const;
    std::int64_t entries_of(std::size_t items) const {
        return static_cast<std::int64_t>(items * limits_.group_size);
    }
    std::int64_t calls() const { return calls_; }

private:
    fleet_store_limits limits_;
    std::vector<store::item> items_;  // ordered by key
    std::int64_t calls_ = 0;
};

}  // namespace bramleytrack::experiments
