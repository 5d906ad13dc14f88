// Brings the complete state to an instance that has just started, as fleet::startup_plan decides:
// lists shards of the registrations, lets the feed read the store, and requests copies from peers.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "discovery/records.h"
#include "fleet/startup_plan.h"
#include "store/feed.h"
#include "store/store.h"

namespace bramleytrack::fleet {

// Why a peer sent no copy.
enum class copy_refusal {
    no_state,
    reading,  // it holds no state yet, but reads the store and receives bytes
    busy,     // it sends copies to others
    unreachable
};

// The state of the copy that was requested last.
enum class copy_progress { none, requested, arriving };

class startup_sync {
public:
    // Requests a copy of the state from a peer. Not called while a copy is requested or arriving.
    using request_copy = std::function<void(const pull_source& from, clock::time_point now)>;
    // The registrations of a shard, which may include that of this instance.
    using listing_callback =
        std::function<void(std::span<const store::item> registrations, clock::time_point now)>;

    // `shard_prefixes`: the key prefix of each shard's registrations.
    startup_sync(store::client& store, store::feed& feed, const discovery::record_reader& records,
                 startup_plan plan, std::vector<std::string> shard_prefixes);

    void on_copy_due(request_copy callback) { request_copy_ = std::move(callback); }
    void on_listing(listing_callback callback) { listing_callback_ = std::move(callback); }

    // To be called every few tens of milliseconds until the state is complete.
    void tick(copy_progress progress, clock::time_point now);
    // The queried peer sent no copy: the next one is queried, unless the time for an answer has
    // passed already.
    void on_copy_refused(copy_refusal reason, clock::time_point now);
    // The state is complete; responses that arrive later have no effect.
    void finish() { is_finished_ = true; }

    // Whether this instance may register itself: its shard was listed, so that an entry from before
    // its restart was passed to the callback, or it received the state without the store.
    bool may_register() const { return plan_.has_listed() || is_finished_; }
    std::int64_t listings() const { return listings_; }
    std::int64_t queries() const { return queries_; }

private:
    void request_listing(std::size_t shard);
    void query_peer(clock::time_point now);
    void on_listing_page(std::size_t shard, const store::page& received, clock::time_point now);

    store::client& store_;
    store::feed& feed_;
    const discovery::record_reader& records_;
    startup_plan plan_;
    std::vector<std::string> shard_prefixes_;
    request_copy request_copy_;
    listing_callback listing_callback_;
    std::int64_t listings_ = 0;
    std::int64_t queries_ = 0;  // of peers for a copy
    int queries_since_tick_ = 0;
    bool is_finished_ = false;
};

}  // namespace bramleytrack::fleet
