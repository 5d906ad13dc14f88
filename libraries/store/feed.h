// Keeps a mirror of the store up to date: one read of everything, then one watch after the other.
//
// Load that it answers: all instances start at once after a loss of power, and each reads
// everything. The first read may be seconds old, at a tenth of the price; what changed since comes
// from a peer, or from a watch that begins at the read's revision.
//
// Failures that it answers: the store is away, slow, or refuses this instance alone; an answer is
// lost and the connection stays open in silence; the history is gone. Each call has a limit of its
// own, each failure is followed by a retry within a second, and after any doubt all is read anew.
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
    // A read takes 4 ms as a rule and 60 times as long when the store is slow.
    clock::duration read_limit{1'000};
    // A second read starts on another connection when the first is this late: a read that was lost
    // would otherwise cost the whole limit at the start, when nothing can be routed without it.
    clock::duration hedge_after{350};
    // A watch may be deaf: its answer was lost, or the store forgot it. The bound for a change is
    // 3 s, so a watch with its slack is shorter; its calls are few beside those for changes.
    clock::duration watch_wait{1'900};
    clock::duration watch_slack{400};
    // Changes come in groups (a release, a start of the fleet); each answer of a watch is a priced
    // call.
    clock::duration pause_after_events{200};
    // However many instances watch: half of the time that a change has to be in force everywhere.
    clock::duration max_pause_after_events{1'000};
    // Failure: a store that can't watch answers each one at once, without news, and the next would
    // follow at once. Two reads a second keep the word on everything young enough.
    clock::duration after_early_answer{500};
    // The first retry is at once for a person; the last keeps 610 instances at 800 calls a second.
    clock::duration first_retry{100};
    clock::duration longest_retry{800};
};

class feed {
public:
    // What changed, in order; empty when an answer merely confirmed what is known.
    using change_callback = std::function<void(std::span<const event>, clock::time_point now)>;
    // The store was lost (is_reachable false) or regained.
    using state_callback = std::function<void(bool is_reachable, result_code reason, int attempts,
                                              clock::time_point now)>;

    feed(client& store, mirror& known, std::uint64_t seed, feed_limits limits = {});

    void on_change(change_callback callback) { changed_ = std::move(callback); }
    void on_state(state_callback callback) { state_changed_ = std::move(callback); }

    // Starts calls that are due; call it every few tens of milliseconds.
    void tick(clock::time_point now);
    // Whether new watches begin: an instance that hears from a peer what the store holds needs
    // none.
    void set_watch_enabled(bool is_wanted) { is_wanted_ = is_wanted; }
    // How many instances are likely to watch. Each pauses for so much longer after news: together
    // they cost what one does, and one of them hears of a change as soon as that one would.
    void set_expected_watchers(std::size_t number) { watchers_ = std::max<std::size_t>(number, 1); }
    // Whether it waits until it watches again, and had better ask a peer for news meanwhile.
    bool is_pausing() const { return is_complete_ && phase_ == phase::idle; }
    // Something suggests that the watch is deaf: reads everything now.
    void reread(clock::time_point now);

    // Whether everything was read at least once.
    bool is_complete() const { return is_complete_; }
    bool is_reachable() const { return is_reachable_; }
    // What is known was all there is then: when a read of the newest state was sent, or when a
    // watch had waited in vain.
    clock::time_point confirmed_at() const { return confirmed_at_; }
    // When the last call failed; the epoch when none did since an answer.
    clock::time_point failed_at() const { return failed_at_; }
    // When the store was last known to be unreachable.
    clock::time_point unreachable_at() const { return unreachable_at_; }
    std::int64_t calls() const { return calls_; }

private:
    enum class phase { idle, reading, watching };

    void start_read(clock::time_point now);
    void ask_page(const std::string& after_key, std::int64_t attempt, clock::time_point sent);
    read_freshness freshness() const {
        return is_complete_ ? read_freshness::newest : read_freshness::seconds_old;
    }
    void on_page(std::int64_t attempt, clock::time_point sent, const outcome<page>& answer,
                 clock::time_point now);
    void start_watch(clock::time_point sent);
    void on_news(std::int64_t attempt, clock::time_point sent, const outcome<watch_result>& answer,
                 clock::time_point now);
    void succeed(clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    void publish(std::span<const event> events, clock::time_point now);

    struct reading {
        std::int64_t attempt = 0;
        read_freshness freshness = read_freshness::newest;
        std::vector<item> items;
        std::optional<std::int64_t> revision;  // of the oldest page
    };

    client& store_;
    mirror& known_;
    feed_limits limits_;
    std::minstd_rand random_;
    change_callback changed_;
    state_callback state_changed_;
    phase phase_ = phase::idle;
    // Answers of attempts that are not listed here (reads) or current (watch) come too late.
    std::vector<reading> reads_;
    std::int64_t watch_attempt_ = 0;
    std::int64_t attempts_ = 0;
    std::int64_t calls_ = 0;
    int failures_ = 0;  // since the last answer
    std::size_t watchers_ = 1;
    clock::time_point next_start_;
    clock::time_point read_started_;
    clock::time_point confirmed_at_;
    clock::time_point failed_at_;
    clock::time_point unreachable_at_;
    bool is_wanted_ = true;
    bool must_read_ = true;
    bool is_complete_ = false;
    bool is_reachable_ = false;
};

}  // namespace bramleytrack::store
