#include "fleet/startup_recovery.h"

#include "base/hash.h"

namespace bramleytrack::fleet {

std::optional<pull_source> startup_recovery::next_peer() {
    if (is_query_pending_ || queried_.size() >= limits_.max_peers) {
        return std::nullopt;
    }
    // Each instance that has just started has its own order of peers: after a power loss many query
    // at the same time.
    const discovery::peer_entry* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& [name, peer] : directory_.peers()) {
        const auto rank = hash_of(hash_of(self_), hash_of(name));
        const bool is_eligible = name != self_ && !queried_.contains(name);
        if (is_eligible && (best == nullptr || rank > best_rank)) {
            best = &peer.entry;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    queried_.insert(best->name);
    is_query_pending_ = true;
    return pull_source{.peer = best->name, .address = best->pull_address};
}

}  // namespace bramleytrack::fleet
