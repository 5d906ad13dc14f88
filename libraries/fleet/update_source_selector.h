// Selects where an instance gets updates of the store from: its own watch, or a peer that watches.
//
// The store counts and charges each call, and each change completes every watch, so with one watch
// per instance the calls would grow as instances times changes. Therefore an instance watches only
// when it ranks highest among the peers whose digests are fresh: one instance in a small fleet, one
// in thirty in a large one. A watcher may die, lose the store or have a stalled watch, and an
// instance may be cut off from the watchers or from the store alone. Peers without a fresh digest
// don't count, so an instance that is cut off from the watchers starts to watch within
// digest_limits::freshness.
//
// While the store is unreachable, for all or for a zone, no instance has a recent confirmation.
// Each then tries by itself, and only those that rank highest retry without a pause; the others
// learn from their digests that the store has recovered. Otherwise hundreds of instances would each
// query a store that is down twice a second.
#pragma once

#include <optional>
#include <string>

#include "fleet/peer_digests.h"
#include "store/feed.h"

namespace bramleytrack::fleet {

struct update_source_limits {
    // A second watcher would receive each change for twice the calls. A stalled watch or a watcher
    // that has ended is detected by the confirmation age.
    std::size_t watchers = 1;
    // The watcher may silently be cut off from the store while this instance isn't. A change must
    // be in force after 3 s, so an instance without a newer confirmation reads the store itself 500
    // ms before that. A watch confirms every 1.9 s, and one digest later all have its confirmation.
    clock::duration max_confirmation_age{2'500};
    // When a peer is ahead of a watcher, the watcher should receive the change itself within a few
    // milliseconds, plus its pause after events; if it doesn't, its watch is stalled.
    clock::duration watcher_staleness_limit{500};
    clock::duration follower_staleness_limit{0};
    // A pull takes a few milliseconds, and 700 when the peer is gone; beyond that, the store is
    // faster.
    clock::duration max_time_behind{1'000};
    // An instance that the store refuses leaves the watch to others and retries after this time.
    clock::duration retry_delay{3'000};
    // An instance that has just read the initial state waits for three digests before it watches: a
    // peer may be watching already, and if all have just started, the digests settle who watches.
    clock::duration watch_start_delay{900};
    // An instance considers itself isolated after this time without contact to the store or a peer.
    clock::duration isolation_timeout{2'000};
};

// The peer to fetch missing updates from.
struct pull_source {
    std::string peer;
    std::string address;
};

class update_source_selector {
public:
    update_source_selector(const discovery::directory& directory, const peer_digests& digests,
                           std::string self, update_source_limits limits = {});

    // The initial state is complete.
    void on_initial_state(clock::time_point now) { initial_state_at_ = now; }

    // Whether this instance should watch the store itself.
    bool should_watch(const store::feed& feed, clock::time_point now) const;

    // The likely number of watchers in the fleet, if each instance has as many fresh digests as
    // this one.
    std::size_t expected_watchers(clock::time_point now) const;

    // The peer to fetch from if one has a later revision than `revision`. `is_watching` is whether
    // this instance has an open watch. To be called at each tick.
    std::optional<pull_source> next_pull(std::int64_t revision, bool is_watching,
                                         clock::time_point now);

    // When the state that this instance holds was last confirmed to be current.
    clock::time_point confirmed_at(const store::feed& feed, std::int64_t revision) const;
    // Updates from a peer were applied; `confirmed` is when the peer's state was last confirmed.
    void on_pull_applied(clock::time_point confirmed) {
        pulled_confirmation_ = std::max(pulled_confirmation_, confirmed);
    }

    // Whether the store didn't answer this instance, or a peer that reported it, within `grace`:
    // entries that are removed then may belong to live targets.
    bool had_recent_store_outage(const store::feed& feed, clock::duration grace,
                                 clock::time_point now) const;
    bool is_isolated(const store::feed& feed, clock::time_point now) const;

private:
    bool ranks_highest(clock::time_point now) const;

    const discovery::directory& directory_;
    const peer_digests& digests_;
    std::string self_;
    update_source_limits limits_;
    clock::time_point initial_state_at_;
    clock::time_point pulled_confirmation_;
    clock::time_point behind_since_;
    bool is_behind_ = false;
};

}  // namespace bramleytrack::fleet
