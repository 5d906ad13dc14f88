// The targets of flows of which this instance is the home while another instance owns the target.
//
// About half of all flows are not on their first candidate, so entries are small: a key and two
// integers, compared with about 300 bytes for a flow record. The owner of the target holds the
// record and compares each packet with it, so a collision of two keys at worst loses a packet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "routing/candidates.h"

namespace bramleytrack::flows {

class location_table {
public:
    void put(routing::flow_key key, std::string_view target, clock::time_point now);
    // Empty if the key has no entry. The view is valid until the next put().
    std::string_view find(routing::flow_key key) const;
    void touch(routing::flow_key key, clock::time_point now);
    void erase(routing::flow_key key) { entries_.erase(key); }
    void erase_on(std::string_view target);
    // Erases entries that have not been used since `limit`.
    void erase_idle(clock::time_point limit);
    std::size_t size() const { return entries_.size(); }

    // All targets that any entry has ever referred to.
    const std::vector<std::string>& targets() const { return target_names_; }

private:
    struct entry {
        std::uint32_t target = 0;     // index into target_names_
        std::uint32_t last_used = 0;  // seconds since the Unix epoch
    };

    static std::uint32_t seconds(clock::time_point time);

    std::unordered_map<routing::flow_key, entry> entries_;
    // Never shrinks: bounded by the targets that configurations have named.
    std::vector<std::string> target_names_;
    // Inverse of target_names_.
    std::unordered_map<std::string, std::uint32_t> target_index_by_name_;
};

}  // namespace bramleytrack::flows
