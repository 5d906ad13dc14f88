// Keeps a mirror of the store up to date: one full read, followed by consecutive watches.
//
// After a power failure all instances start at once, and each reads all keys. The first read
// therefore accepts data that is seconds old, at a tenth of the price; later changes come from a
// peer, or from a watch that starts at the revision of the read.
//
// The store may be unreachable or slow, or may reject this instance alone; a response may be lost
// while the connection stays open; the history may be lost. Each call has its own
// timeout, and a failure is retried within a second unless watches are disabled. A watch that
// failed continues at its revision; all keys are read again when the store no longer has the
// changes since then, or after reread().
//
// Many instances may read at once and fill the store's link. A read then takes long, but it keeps
// the pages that it has, requests only the missing one again, and sends no second request for a
// page while bytes arrive: otherwise the requests of instances that give up would keep the link
// full, and none would ever complete.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/mirror.h"
#include "store/store.h"

namespace bramleytrack::store {

struct feed_limits {
    // The longest time without a byte of a page. A page normally takes 4 ms, and 60 times as long
    // when the store is slow.
    clock::duration read_timeout{1'000};
    // After this delay without a byte from the store, the page is requested again on another
    // connection. Without it, a lost response would cost the whole timeout at startup, when nothing
    // can be routed before the first read.
    clock::duration hedge_delay{350};
    // The pages of an interrupted read are dropped when the last one arrived longer ago. The watch
    // that follows a read begins at the revision of its oldest page, which the store may remove
    // from its history after 20 s.
    clock::duration max_page_age{10'000};
    // A watch may be stalled: its response was lost, or the store dropped it. A change must arrive
    // within 3 s, so a watch including its response margin is shorter than that. Its calls are few
    // compared with those caused by changes.
    clock::duration watch_wait{1'900};
    clock::duration watch_response_margin{400};
    // Changes come in bursts (a release, a start of the fleet), and each response to a watch is
    // charged as a call.
    clock::duration pause_after_events{200};
    // Upper bound of pause_after_events times the number of watchers, however many these are. A
    // change must be in force on all instances within 3 s; a pause of 1 s leaves 2 s of that for
    // the response to the watch and for the digests of peers.
    clock::duration max_pause_after_events{1'000};
    // A store that doesn't support watches responds to each at once without events, and the next
    // watch would follow immediately. Two calls a second keep the confirmation age low enough.
    clock::duration early_response_pause{500};
    // The delay doubles with each failure, with a jitter of half to the whole of it. A person
    // doesn't notice the delay of the first retry.
    clock::duration initial_retry_delay{100};
    // 610 instances that retry every 800 ms make about 760 calls a second, and with the jitter up
    // to twice as many.
    clock::duration max_retry_delay{800};
};

// How much of the store the first read may cover.
enum class read_extent { nothing, first_page, everything };

class feed {
public:
    // The changes in order; empty when a response only confirmed the state of the mirror.
    using change_callback = std::function<void(std::span<const event>, clock::time_point now)>;
    // The store became unreachable or reachable again; also called for the first failure or
    // response. `consecutive_failures` counts those since the last response.
    using state_callback = std::function<void(bool is_reachable, result_code reason,
                                              int consecutive_failures, clock::time_point now)>;

    feed(client& store, mirror& local_mirror, std::uint64_t seed, feed_limits limits = {});

    void on_change(change_callback callback) { change_callback_ = std::move(callback); }
    void on_state(state_callback callback) { state_callback_ = std::move(callback); }

    // Starts calls that are due; to be called every few tens of milliseconds.
    void tick(clock::time_point now);
    // Whether tick() starts calls once the first read is complete: watches, scheduled rereads and
    // retries. An instance that receives the store's changes from a peer needs none. A call that is
    // pending continues, including the hedge of a read, and reread() works in any case.
    void set_watch_enabled(bool is_enabled) { is_watch_enabled_ = is_enabled; }
    // Limits the first read; it stops after the page in progress and continues when it may cover
    // more. Everything is allowed unless this is called.
    void set_first_read(read_extent extent) { first_read_ = extent; }
    // The mirror has received the complete state from a peer, so no first read is needed.
    void skip_first_read(clock::time_point now);
    // The number of instances that are expected to watch. The pause after events is multiplied by
    // it: together they cost as many calls as one watcher, and one of them receives a change as
    // soon as a single watcher would.
    void set_expected_watchers(std::size_t number) {
        expected_watchers_ = std::max<std::size_t>(number, 1);
    }
    // Whether neither a watch nor a read is pending after the first read, so that changes should be
    // pulled from a peer instead: during pauses and retry delays, and while watches are disabled.
    bool is_idle() const { return is_complete_ && phase_ == phase::idle; }
    // Reads all keys now, from the first page on; called when the watch seems to be stalled.
    void reread(clock::time_point now);

    // Whether the first read is in progress and the store sends it.
    bool is_first_read_progressing(clock::time_point now) const;
    // Whether all keys were read at least once.
    bool is_complete() const { return is_complete_; }
    bool is_reachable() const { return is_reachable_; }
    // The time at which the mirror was last confirmed to be current: when the first page of a read
    // of the newest state was requested, when a watch was sent, or when the wait of a watch ended
    // without events.
    clock::time_point confirmed_at() const { return confirmed_at_; }
    // When the last call failed; the epoch when none has failed since the last response.
    clock::time_point failed_at() const { return failed_at_; }
    // The last time at which the store was known to be unreachable: when a call failed last, or
    // when the first response after it arrived. The epoch when no call has failed.
    clock::time_point unreachable_at() const { return unreachable_at_; }
    std::int64_t calls() const { return calls_; }

private:
    enum class phase { idle, reading, watching };

    // Begins a read, or continues the interrupted one.
    void start_read(clock::time_point now);
    void request_page(clock::time_point now);
    read_freshness freshness() const {
        return is_complete_ ? read_freshness::newest : read_freshness::seconds_old;
    }
    bool is_page_late(clock::time_point now) const;
    // Whether the next page of the read in progress, or the first one, may be requested.
    bool may_request_page() const;
    void on_page(std::int64_t call_id, const outcome<page>& response, clock::time_point now);
    void finish_read(clock::time_point now);
    void start_watch(clock::time_point sent_at);
    void on_watch_result(std::int64_t call_id, clock::time_point sent_at,
                         const outcome<watch_result>& response, clock::time_point now);
    void succeed(clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    void report_state(bool is_reachable, result_code reason, clock::time_point now);
    void publish(std::span<const event> events, clock::time_point now);

    struct reading {
        read_freshness freshness = read_freshness::newest;
        clock::time_point started_at;
        std::vector<item> items;               // of the pages that have arrived
        std::optional<std::int64_t> revision;  // lowest revision of these pages
        clock::time_point page_arrived_at;     // the last one
        // The pending requests for the next page. Responses to other requests are ignored as late.
        std::vector<std::int64_t> page_calls;
        clock::time_point page_requested_at;
    };

    client& store_;
    mirror& mirror_;
    feed_limits limits_;
    std::minstd_rand random_;
    change_callback change_callback_;
    state_callback state_callback_;
    phase phase_ = phase::idle;
    // The read in progress, or an interrupted one whose pages are kept.
    std::optional<reading> read_;
    // A response to another watch is ignored as late. 0: no watch is pending.
    std::int64_t watch_call_id_ = 0;
    std::int64_t last_call_id_ = 0;
    std::int64_t calls_ = 0;
    int consecutive_failures_ = 0;
    std::size_t expected_watchers_ = 1;
    clock::time_point next_call_at_;
    clock::time_point confirmed_at_;
    clock::time_point failed_at_;
    clock::time_point unreachable_at_;
    read_extent first_read_ = read_extent::everything;
    bool is_watch_enabled_ = true;
    bool must_read_ = true;
    bool is_complete_ = false;
    bool is_reachable_ = false;
    bool is_state_reported_ = false;  // to state_callback_, at least once
};

}  // namespace bramleytrack::store
