// Where an instance learns what the store holds: by its own watch, or from a peer that watches.
//
// Load that it answers: the store counts and prices each call, and a change answers every watch.
// With one watch an instance, calls grow as instances times changes. Here an instance watches when
// it ranks highest among the peers that it hears, so one of a small fleet does, and one in thirty
// of a large one. Failures that it answers: a watcher dies, is cut off from the store, or its watch
// is deaf; this instance is cut off from the watchers, or from the store alone. Peers that aren't
// heard don't count, so whoever is cut off from the watchers begins to watch within
// digest_limits::freshness.
//
// While the store is away, or a zone is cut off from it, nobody has word. Each tries by itself
// then, and those that rank highest go on trying without a pause; the others hear from them that it
// is back. Without that, hundreds of instances ask a store that is down, twice a second each.
#pragma once

#include <optional>
#include <string>

#include "fleet/peer_digests.h"
#include "store/feed.h"

namespace bramleytrack::fleet {

struct update_source_limits {
    // A second one would hear of each change at twice the calls. What shows a watch that is deaf,
    // or a watcher that has ended, is the age of its word.
    std::size_t watchers = 1;
    // The watcher may be cut off from the store, silently, while this instance isn't. A change must
    // be in force after 3 s, so an instance without newer word reads itself 500 ms before. A watch
    // confirms every 1.9 s, and one digest later all have its word.
    clock::duration max_confirmation_age{2'500};
    // A watcher that a peer is ahead of would have heard by itself within a few milliseconds, plus
    // its pause after news; if it hasn't, its watch is deaf.
    clock::duration watcher_staleness_limit{500};
    clock::duration follower_staleness_limit{0};
    // A pull takes some milliseconds, and 700 when the peer is gone; then the store is quicker.
    clock::duration max_time_behind{1'000};
    // An instance that the store refuses leaves the watch to others and tries again so much later.
    clock::duration retry_after_loss{3'000};
    // An instance that has just read everything hears three digests before it watches: one of its
    // peers watches already, or they all start together and settle who does.
    clock::duration watch_start_delay{900};
    // Without a word from the store or any peer for so long, the instance takes itself for cut off.
    clock::duration isolation{2'000};
};

// From whom to fetch what this instance lacks.
struct pull {
    std::string peer;
    std::string address;
};

class update_source_selector {
public:
    update_source_selector(const discovery::directory& known, const peer_digests& digests,
                           std::string self, update_source_limits limits = {});

    // Everything was read for the first time.
    void on_initial_state(clock::time_point now) { initial_state_at_ = now; }

    // Whether this instance's own watch is wanted now.
    bool should_watch(const store::feed& own, clock::time_point now) const;

    // How many instances rank highest among the peers that they hear, each hearing as many as this
    // one.
    std::size_t expected_watchers(clock::time_point now) const;

    // The peer to fetch from when one knows more than `revision`. `is_watching` says that a watch
    // is open here. Called at each tick.
    std::optional<pull> next_pull(std::int64_t revision, bool is_watching, clock::time_point now);

    // When what this instance holds was last known to be all there is.
    clock::time_point confirmed_at(const store::feed& own, std::int64_t revision) const;
    // An answer of a peer, taken over, was confirmed then.
    void note_pulled(clock::time_point confirmed) {
        pulled_confirmation_ = std::max(pulled_confirmation_, confirmed);
    }

    // Whether this instance, or a peer that it heard, has missed the store within `grace`: entries
    // that vanish then may belong to targets that live.
    bool had_recent_store_outage(const store::feed& own, clock::duration grace,
                                 clock::time_point now) const;
    bool is_isolated(const store::feed& own, clock::time_point now) const;

private:
    bool ranks_highest(clock::time_point now) const;

    const discovery::directory& known_;
    const peer_digests& digests_;
    std::string self_;
    update_source_limits limits_;
    clock::time_point initial_state_at_;
    clock::time_point pulled_confirmation_;
    clock::time_point behind_since_;
    bool is_behind_ = false;
};

}  // namespace bramleytrack::fleet
