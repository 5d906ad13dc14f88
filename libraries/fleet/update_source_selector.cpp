#include "fleet/update_source_selector.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::fleet {

update_source_selector::update_source_selector(const discovery::directory& directory,
                                               const peer_digests& digests, std::string self,
                                               update_source_limits limits)
    : directory_{directory}, digests_{digests}, self_{std::move(self)}, limits_{limits} {}

bool update_source_selector::should_watch(const store::feed& feed, clock::time_point now) const {
    // Peers may hold a later revision while no pull from them succeeds, since this instance doesn't
    // have their addresses yet or they don't answer. Without its own watch it would stay behind
    // permanently.
    const bool stays_behind = is_behind_ && now - behind_since_ > limits_.max_time_behind;
    if (!stays_behind && now - initial_state_at_ < limits_.watch_start_delay) {
        return false;
    }
    const bool has_recently_failed =
        feed.failed_at() != clock::time_point{} && now - feed.failed_at() < limits_.retry_delay;
    if (stays_behind || now - confirmed_at(feed, 0) > limits_.max_confirmation_age) {
        return !has_recently_failed || ranks_highest(now);
    }
    // After a failed call of this instance, all peers that can watch come before it.
    const auto own_rank = hash_of(self_);
    std::size_t candidates_above = 0;
    for (const auto& [name, digest] : digests_.received()) {
        const bool can_watch = digests_.is_fresh(digest, now) && !digest.content.has_lost_store &&
                               !digest.content.is_stopping;
        candidates_above += can_watch && (has_recently_failed || hash_of(name) > own_rank) ? 1 : 0;
    }
    return candidates_above < limits_.watchers;
}

// Among the peers with fresh digests, whether the store answers them or not.
bool update_source_selector::ranks_highest(clock::time_point now) const {
    return std::ranges::none_of(digests_.received(), [this, now](const auto& each) {
        const auto& [name, digest] = each;
        return digests_.is_fresh(digest, now) && !digest.content.is_stopping &&
               hash_of(name) > hash_of(self_);
    });
}

std::size_t update_source_selector::expected_watchers(clock::time_point now) const {
    const auto fresh = std::ranges::count_if(digests_.received(), [this, now](const auto& each) {
        return digests_.is_fresh(each.second, now);
    });
    return std::max<std::size_t>(1,
                                 directory_.peers().size() / static_cast<std::size_t>(fresh + 1));
}

std::optional<pull_source> update_source_selector::next_pull(std::int64_t revision,
                                                             bool is_watching,
                                                             clock::time_point now) {
    const discovery::peer_entry* source = nullptr;
    std::uint64_t best_rank = 0;
    bool is_peer_ahead = false;
    for (const auto& [name, digest] : digests_.received()) {
        if (!digests_.is_fresh(digest, now) || digest.content.known_revision <= revision) {
            continue;
        }
        is_peer_ahead = true;
        const auto peer = directory_.peers().find(name);
        // If all fetched from the peer with the latest revision, its link would be saturated for
        // seconds. Each instance has its own order of peers, so that those that are up to date
        // share the load.
        const auto rank = hash_of(hash_of(self_), hash_of(name));
        if (peer != directory_.peers().end() && (source == nullptr || rank > best_rank)) {
            best_rank = rank;
            source = &peer->second.entry;
        }
    }
    if (!is_peer_ahead) {
        is_behind_ = false;
        return std::nullopt;
    }
    if (!is_behind_) {
        is_behind_ = true;
        behind_since_ = now;
    }
    const auto staleness_limit =
        is_watching ? limits_.watcher_staleness_limit : limits_.follower_staleness_limit;
    if (source == nullptr || now - behind_since_ < staleness_limit) {
        return std::nullopt;
    }
    return pull_source{.peer = source->name, .address = source->pull_address};
}

clock::time_point update_source_selector::confirmed_at(const store::feed& feed,
                                                       std::int64_t revision) const {
    auto latest = std::max(feed.confirmed_at(), pulled_confirmation_);
    for (const auto& [name, digest] : digests_.received()) {
        // A peer with a later revision has confirmed another state than the one that this instance
        // holds.
        if (revision == 0 || digest.content.known_revision <= revision) {
            latest = std::max(latest, digest.confirmed);
        }
    }
    return latest;
}

bool update_source_selector::had_recent_store_outage(const store::feed& feed, clock::duration grace,
                                                     clock::time_point now) const {
    const bool had_outage = now - feed.unreachable_at() <= grace;
    return had_outage || now - digests_.store_failure_reported_at() <= grace;
}

bool update_source_selector::is_isolated(const store::feed& feed, clock::time_point now) const {
    const bool has_peers = directory_.peers().size() > 1;
    const bool has_recent_digest = now - digests_.last_received_at() <= limits_.isolation_timeout;
    const bool has_recent_confirmation =
        feed.is_reachable() && now - feed.confirmed_at() <= limits_.max_confirmation_age;
    return has_peers && !has_recent_digest && !has_recent_confirmation;
}

}  // namespace bramleytrack::fleet
