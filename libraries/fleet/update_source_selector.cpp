#include "fleet/update_source_selector.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::fleet {

update_source_selector::update_source_selector(const discovery::directory& known,
                                               const peer_digests& digests, std::string self,
                                               update_source_limits limits)
    : known_{known}, digests_{digests}, self_{std::move(self)}, limits_{limits} {}

bool update_source_selector::should_watch(const store::feed& own, clock::time_point now) const {
    // Failure: peers know more, and none of them can be asked, since this instance hasn't learned
    // yet where they are, or they don't answer. It would stay behind for good.
    const bool stays_behind = is_behind_ && now - behind_since_ > limits_.max_time_behind;
    if (!stays_behind && now - initial_state_at_ < limits_.watch_start_delay) {
        return false;
    }
    const bool was_refused =
        own.failed_at() != clock::time_point{} && now - own.failed_at() < limits_.retry_after_loss;
    if (stays_behind || now - confirmed_at(own, 0) > limits_.max_confirmation_age) {
        return !was_refused || ranks_highest(now);
    }
    const auto own_rank = hash_of(self_);
    std::size_t better = 0;
    for (const auto& [name, digest] : digests_.received()) {
        const bool can_watch = digests_.is_fresh(digest, now) && !digest.content.has_lost_store &&
                               !digest.content.is_stopping;
        better += can_watch && (was_refused || hash_of(name) > own_rank) ? 1 : 0;
    }
    return better < limits_.watchers;
}

// Among the peers that it hears, whether the store answers them or not.
bool update_source_selector::ranks_highest(clock::time_point now) const {
    return std::ranges::none_of(digests_.received(), [this, now](const auto& each) {
        const auto& [name, digest] = each;
        return digests_.is_fresh(digest, now) && !digest.content.is_stopping &&
               hash_of(name) > hash_of(self_);
    });
}

std::size_t update_source_selector::expected_watchers(clock::time_point now) const {
    const auto received = std::ranges::count_if(digests_.received(), [this, now](const auto& each) {
        return digests_.is_fresh(each.second, now);
    });
    return std::max<std::size_t>(1, known_.peers().size() / static_cast<std::size_t>(received + 1));
}

std::optional<pull> update_source_selector::next_pull(std::int64_t revision, bool is_watching,
                                                      clock::time_point now) {
    const discovery::peer_entry* from = nullptr;
    std::uint64_t best_rank = 0;
    bool is_ahead_heard = false;
    for (const auto& [name, digest] : digests_.received()) {
        if (!digests_.is_fresh(digest, now) || digest.content.known_revision <= revision) {
            continue;
        }
        is_ahead_heard = true;
        const auto peer = known_.peers().find(name);
        // Failure: all fetch from the one that knows most, and its link is full for seconds. Each
        // has another order, so that those who know pass it on.
        const auto rank = hash_of(hash_of(self_), hash_of(name));
        if (peer != known_.peers().end() && (from == nullptr || rank > best_rank)) {
            best_rank = rank;
            from = &peer->second.entry;
        }
    }
    if (!is_ahead_heard) {
        is_behind_ = false;
        return std::nullopt;
    }
    if (!is_behind_) {
        is_behind_ = true;
        behind_since_ = now;
    }
    const auto patience =
        is_watching ? limits_.watcher_staleness_limit : limits_.follower_staleness_limit;
    if (from == nullptr || now - behind_since_ < patience) {
        return std::nullopt;
    }
    return pull{.peer = from->name, .address = from->pull_address};
}

clock::time_point update_source_selector::confirmed_at(const store::feed& own,
                                                       std::int64_t revision) const {
    auto latest = std::max(own.confirmed_at(), pulled_confirmation_);
    for (const auto& [name, digest] : digests_.received()) {
        // A peer that knows more has confirmed something else than what this instance holds.
        if (revision == 0 || digest.content.known_revision <= revision) {
            latest = std::max(latest, digest.confirmed);
        }
    }
    return latest;
}

bool update_source_selector::had_recent_store_outage(const store::feed& own, clock::duration grace,
                                                     clock::time_point now) const {
    const bool has_missed_it = now - own.unreachable_at() <= grace;
    return has_missed_it || now - digests_.store_failure_reported_at() <= grace;
}

bool update_source_selector::is_isolated(const store::feed& own, clock::time_point now) const {
    const bool has_peers = known_.peers().size() > 1;
    const bool hears_peers = now - digests_.last_received_at() <= limits_.isolation;
    const bool hears_store =
        own.is_reachable() && now - own.confirmed_at() <= limits_.max_confirmation_age;
    return has_peers && !hears_peers && !hears_store;
}

}  // namespace bramleytrack::fleet
