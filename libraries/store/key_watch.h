// Follows one key of the store: reads it, then waits for its next change, over and over.
//
// Load that it answers: the store counts each call, and its rates grow more slowly than the fleet.
// After an outage 610 daemons must not come back at once, and an answer that brings nothing new
// must not be followed by the next call at once. For a mirror of everything see feed.h.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "store/store.h"

namespace bramleytrack::store {

struct key_watch_limits {
    // A read takes milliseconds; an answer that is later than this isn't coming.
    clock::duration read_limit{2'000};
    // A waiting watch counts as one call, so it waits long.
    clock::duration wait{20'000};
    clock::duration slack{2'000};
    clock::duration after_news{50};
    // An answer without news long before the wait is over comes from a store that can't watch.
    clock::duration after_early_answer{1'000};
    // A change must be in force 4 s after the store is back; 610 daemons at 2 to 4 s are some 200
    // calls a second, a tenth of what the store takes.
    clock::duration first_retry{500};
    clock::duration longest_retry{4'000};
};

class key_watch {
public:
    using value_callback = std::function<void(const item& value, clock::time_point now)>;

    // Different seeds spread the instances.
    key_watch(client& store, std::string key, std::uint64_t seed, key_watch_limits limits = {});

    void on_value(value_callback callback) { found_ = std::move(callback); }
    // Starts the next call when it is due.
    void tick(clock::time_point now);
    // The key is read again though nothing newer was written, and its value is told again.
    void reread() { must_read_ = true; }

private:
    void read();
    void watch(clock::time_point sent);
    void tell(const item& value, clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    clock::duration jittered(clock::duration longest);

    client& store_;
    std::string key_;
    key_watch_limits limits_;
    std::mt19937_64 random_;
    value_callback found_;
    // Failure: a text that was refused stays above the version in force, and each watch beyond that
    // version is answered with it at once. So a watch asks beyond whatever the store has shown.
    std::int64_t seen_ = 0;
    int failures_ = 0;  // since the last answer
    bool must_read_ = true;
    bool is_waiting_ = false;
    clock::time_point next_;
};

}  // namespace bramleytrack::store
