#include "fleet/startup_sync.h"

#include <utility>

namespace bramleytrack::fleet {
namespace {

// The longest time without a byte of a listing.
constexpr clock::duration listing_timeout{1'000};
// One cycle of startup_plan::next_source() a tick.
constexpr int max_queries_per_tick = 3;

}  // namespace

startup_sync::startup_sync(store::client& store, store::feed& feed,
                           const discovery::record_reader& records, startup_plan plan,
                           std::vector<std::string> shard_prefixes)
    : store_{store},
      feed_{feed},
      records_{records},
      plan_{std::move(plan)},
      shard_prefixes_{std::move(shard_prefixes)} {}

void startup_sync::tick(copy_progress progress, clock::time_point now) {
    if (progress == copy_progress::arriving) {
        plan_.on_source_expected(now);
    }
    if (const auto shard = plan_.next_listing(store_.last_received_at(), now)) {
        request_listing(*shard);
    }
    // Pages and a copy would share this instance's link.
    feed_.set_first_read(progress == copy_progress::arriving ? store::read_extent::nothing
                                                             : plan_.allowed_read(now));
    feed_.tick(now);
    queries_since_tick_ = 0;
    if (progress == copy_progress::none) {
        query_peer(now);
    }
}

void startup_sync::on_copy_refused(copy_refusal reason, clock::time_point now) {
    if (reason == copy_refusal::unreachable) {
        plan_.on_source_unreachable();
        return;
    }
    if (reason != copy_refusal::no_state) {
        plan_.on_source_expected(now);
    }
    if (queries_since_tick_ < max_queries_per_tick) {
        query_peer(now);
    }
}

void startup_sync::query_peer(clock::time_point now) {
    const auto source = is_finished_ ? std::nullopt : plan_.next_source();
    if (!source) {
        return;
    }
    ++queries_;
    ++queries_since_tick_;
    request_copy_(*source, now);
}

void startup_sync::request_listing(std::size_t shard) {
    ++listings_;
    store_.range(shard_prefixes_[shard], {}, store::read_freshness::seconds_old, listing_timeout,
                 [this, shard](const store::outcome<store::page>& response, clock::time_point now) {
                     const auto* received = std::get_if<store::page>(&response);
                     if (received != nullptr && !is_finished_) {
                         on_listing_page(shard, *received, now);
                     }
                 });
}

// Members beyond the first page of a shard aren't needed: there are hundreds before them.
void startup_sync::on_listing_page(std::size_t shard, const store::page& received,
                                   clock::time_point now) {
    std::vector<discovery::peer_entry> members;
    for (const auto& each : received.items) {
        const auto decoded = records_.read(each.key, each.value);
        if (const auto* peer = std::get_if<discovery::peer_entry>(&decoded)) {
            members.push_back(*peer);
        }
    }
    plan_.on_listed(shard, members, now);
    if (listing_callback_) {
        listing_callback_(received.items, now);
    }
    tick(copy_progress::requested, now);  // starts a read that is allowed now without delay
}

}  // namespace bramleytrack::fleet
