// Selects where an instance gets updates of the store from: its own watch, or a peer that watches.
//
// The store counts and charges each call, and each change completes every watch, so with one watch
// per instance the calls would grow as instances times changes. Therefore an instance watches only
// when it ranks highest, by a hash of its name, among the peers whose digests are fresh: one
// instance in a small fleet, one in thirty in a large one. A watcher may die, lose the store or
// have a stalled watch, and an instance may be cut off from the watchers or from the store alone.
// Peers without a fresh digest don't count, so an instance that is cut off from the watchers starts
// to watch within digest_limits::freshness.
//
// A confirmation is a response of the store, received here or by a peer, which shows that the held
// state is current; see confirmed_at(). While the store is unreachable, for all or for a zone, no
// instance has one within max_confirmation_age, so each calls the store itself. After a failed
// call, those that rank highest retry with the delay of feed_limits only, and the others after
// update_source_limits::retry_delay, unless the digests show that the store has recovered. Without
// this, each of hundreds of instances would send about two calls a second to the unreachable store.
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
    // When a peer is ahead, an instance with an open watch should receive the change itself within
    // a few milliseconds; if it doesn't within this time, its watch is stalled and it pulls the
    // change from the peer.
    clock::duration watcher_staleness_limit{500};
    // The same for instances without an open watch, including watchers that pause after events.
    clock::duration follower_staleness_limit{0};
    // An instance that stays behind a peer for longer than this watches the store itself. A pull
    // takes a few milliseconds, and fails after 700 ms when the peer is gone; after that, the
    // store is faster.
    clock::duration max_time_behind{1'000};
    // An instance whose last store call failed leaves the watch to peers for this time, and then
    // retries.
    clock::duration retry_delay{3'000};
    // An instance that has just read the initial state waits for three digests before it watches: a
    // peer may be watching already, and if all have just started, the digests settle who watches.
    clock::duration watch_start_delay{900};
    // An instance considers itself isolated when it has received no digest within this time and has
    // no recent confirmation from the store either (max_confirmation_age).
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
    // this instance has an open watch; a watcher that pauses after events has none. To be called at
    // each tick.
    std::optional<pull_source> next_pull(std::int64_t revision, bool is_watching,
                                         clock::time_point now);

    // When the state at `revision`, which this instance holds, was last confirmed to be current, by
    // the store or by a peer. Revision 0 accepts the confirmations of all peers, whatever state
    // they hold.
    clock::time_point confirmed_at(const store::feed& feed, std::int64_t revision) const;
    // Updates from a peer were applied; `confirmed` is when the peer's state was last confirmed.
    void on_pull_applied(clock::time_point confirmed) {
        pulled_confirmation_ = std::max(pulled_confirmation_, confirmed);
    }

    // Whether the store was unreachable for this instance, or for a peer that reported it, at some
    // time during the last `grace`: entries that are removed then may belong to live targets.
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
