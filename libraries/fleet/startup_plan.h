// Plans from where an instance that has just started receives the complete state.
//
// After a power loss all instances start at once. If each read the whole store, the store's link
// would carry the state times the number of instances: half a minute for a thousand instances with
// ten targets each. Therefore few instances read the store in full, and the others receive a
// compressed copy from those that hold the state, which multiply with each copy.
//
// The registrations in the store are divided into shards. An instance lists its own shard first,
// which// // is small, and ranks its members by the rate of their links: the first ones read the
// store. All // others query members of the shard for a copy, and read the store only when no
// member answers any more that it is reading or busy: each further member begins later than the one
// before it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "discovery/records.h"
#include "fleet/update_source_selector.h"
#include "store/feed.h"

namespace bramleytrack::fleet {

struct startup_limits {
    // The number of readers of a shard times the number of its members. The state grows with the
    // fleet, so the bytes that the store sends grow with this product. At 3.3 KB of state an
    // instance, 64 keeps them at 54 MB, whatever the size up to 1,024 instances; a fleet of up to
    // about 128 instances starts without its peers.
    std::size_t max_readers_times_members = 64;
    // Each further member of a shard begins to read the store this much later than the one before
    // it, counted from the last answer of a member that was reading or busy.
    clock::duration reader_interval{600};
    // An instance that isn't registered yet lists its shard again after this time, when others that
    // started at the same moment have registered.
    clock::duration relisting_delay{600};
    // An instance lists a further shard when no member of those it knows has answered for this time
    // that it is reading or busy: none of them may hold the state.
    clock::duration next_shard_interval{1'000};
    // A listing is repeated, on another connection, when no byte has arrived from the store for
    // this time, which doubles with each repetition up to max_listing_retry.
    clock::duration listing_retry{350};
    // 985 instances that start during an outage make about 900 calls a second with it.
    clock::duration max_listing_retry{1'400};
    // The first members of a shard, which hold the state earliest. Two queries of three go to them.
    std::size_t preferred_sources = 4;
};

class startup_plan {
public:
    // `link_mbps`: the rate of this instance's link, in megabits per second. `seeds`: pull
    // addresses that are queried while no other peer is known.
    startup_plan(std::string self, double link_mbps, std::vector<std::string> seeds,
                 std::uint64_t seed, startup_limits limits = {});

    // The shard to list now, if a listing is due. It counts as requested. `last_received_at` is
    // when a byte last arrived from the store.
    std::optional<std::size_t> next_listing(clock::time_point last_received_at,
                                            clock::time_point now);
    // The members of a shard according to the store; some may have stopped.
    void on_listed(std::size_t shard, std::span<const discovery::peer_entry> members,
                   clock::time_point now);
    // Whether the store has answered a listing.
    bool has_listed() const { return listed_at_.has_value(); }

    // The peer of the last next_source() didn't answer: it isn't queried any more, unless a later
    // listing contains it.
    void on_source_unreachable();
    // A queried peer answered that it will hold the state soon, or is sending it to others.
    void on_source_expected(clock::time_point now);
    // How much of the store this instance may read now.
    store::read_extent allowed_read(clock::time_point now) const;
    // The peer to query next for a copy of the state; nothing if none is known. Three calls in a
    // row return the first member of the shard, one of the next, and a random one.
    std::optional<pull_source> next_source();

private:
    struct candidate {
        std::string pull_address;
        double link_mbps = 0;
    };

    clock::duration next_listing_retry();
    void rank_own_shard(std::span<const discovery::peer_entry> members, clock::time_point now);
    std::string random_candidate();

    std::string self_;
    std::size_t own_shard_;
    double link_mbps_;
    std::vector<std::string> seeds_;
    std::minstd_rand random_;
    startup_limits limits_;

    std::optional<clock::time_point> listed_at_;  // the first response to a listing
    clock::time_point listing_requested_at_;
    clock::time_point next_listing_at_;
    std::size_t next_shard_;
    bool is_listing_pending_ = false;
    clock::duration listing_retry_;  // after the pending listing

    // When this instance may read the store. Unknown until it is registered, or its shard was
    // listed twice.
    std::optional<clock::time_point> read_at_;
    clock::duration read_delay_{0};  // after the last on_source_expected(); 0 for the readers
    std::map<std::string, candidate> candidates_;  // by name, without this instance
    std::vector<std::string> preferred_;           // names of candidates
    std::string last_source_;                      // a name of a candidate, or empty
    std::size_t queries_ = 0;
};

}  // namespace bramleytrack::fleet
