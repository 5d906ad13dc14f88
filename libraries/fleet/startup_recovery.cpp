#include "fleet/startup_recovery.h"

#include "base/hash.h"

namespace bramleytrack::fleet {

std::optional<pull> startup_recovery::next() {
    if (is_asking_ || asked_.size() >= limits_.peers_to_ask) {
        return std::nullopt;
    }
    // Each newcomer has an order of its own: after a loss of power many ask at the same time.
    const discovery::peer_entry* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& [name, peer] : known_.peers()) {
        const auto rank = hash_of(hash_of(self_), hash_of(name));
        const bool is_eligible = name != self_ && !asked_.contains(name);
        if (is_eligible && (best == nullptr || rank > best_rank)) {
            best = &peer.entry;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    asked_.insert(best->name);
    is_asking_ = true;
    return pull{.peer = best->name, .address = best->pull_address};
}

}  // namespace bramleytrack::fleet
