// Follows one key of the store: reads it, then repeatedly watches for its next change.
//
// The store limits the rate of calls, and its limits grow more slowly than the fleet. 610 instances
// must not all call it at once after an outage, and a response without a change must not be
// followed by the next call immediately. Retries are therefore jittered and backed off. feed.h
// keeps a mirror of all keys.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "store/store.h"

namespace bramleytrack::store {

struct key_watch_limits {
    // A read takes milliseconds; a response that is later than this is lost.
    clock::duration read_timeout{2'000};
    // A watch counts as one call however long it waits, so the wait is long.
    clock::duration wait{20'000};
    clock::duration response_margin{2'000};
    clock::duration pause_after_change{50};
    // A response without events long before the end of the wait comes from a store that doesn't
    // support watches.
    clock::duration early_response_pause{1'000};
    // A change must be applied within 4 s after the store is reachable again. 610 instances that
    // retry every 2 to 4 s make some 200 calls a second, a tenth of what the store accepts.
    clock::duration initial_retry_delay{500};
    clock::duration max_retry_delay{4'000};
};

class key_watch {
public:
    using value_callback = std::function<void(const item& value, clock::time_point now)>;

    // Different seeds spread the calls of the instances over time.
    key_watch(client& store, std::string key, std::uint64_t seed, key_watch_limits limits = {});

    void on_value(value_callback callback) { value_callback_ = std::move(callback); }
    // Starts the next call when it is due.
    void tick(clock::time_point now);
    // Reads the key again and reports its value again, even if it hasn't changed.
    void reread() { must_read_ = true; }

private:
    void read();
    void watch(clock::time_point sent_at);
    void report(const item& value, clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    clock::duration jittered(clock::duration max_delay);

    client& store_;
    std::string key_;
    key_watch_limits limits_;
    std::mt19937_64 random_;
    value_callback value_callback_;
    // The highest revision received, whether or not its value was accepted. A rejected value has a
    // higher revision than the applied one, so a watch from the applied revision would return it at
    // once, again and again.
    std::int64_t last_seen_revision_ = 0;
    int consecutive_failures_ = 0;
    bool must_read_ = true;
    bool is_call_pending_ = false;
    clock::time_point next_call_at_;
};

}  // namespace bramleytrack::store
