// Keeps this instance's entry in the store, attached to a lease, so that its peers find it.
//
// The entry isn't used to detect whether an instance is alive: it only determines which peers exist
// and which of them own cold targets.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "store/store.h"

namespace bramleytrack::discovery {

struct registration_limits {
    // An entry outlives its process by at most this time. A renewal costs a tenth of a read: 610
    // instances that renew every 5 s make 122 renewals a second.
    clock::duration lifetime{15'000};
    clock::duration renewal{5'000};
    clock::duration call_timeout{1'500};
    clock::duration initial_retry_delay{250};
    clock::duration max_retry_delay{2'000};
};

class registration {
public:
    // `is_registered`: the entry is in the store, according to the last response and its lease.
    using state_callback =
        std::function<void(bool is_registered, result_code reason, clock::time_point now)>;

    registration(store::client& store, std::string key, std::string value, std::uint64_t seed,
                 registration_limits limits = {});

    void on_state(state_callback callback) { state_callback_ = std::move(callback); }
    void tick(clock::time_point now);
    // Continues with an entry of this instance that the store holds from before its last start,
    // attached to that lease.
    //
    // When a zone or the whole fleet restarts after a power failure, each instance would otherwise
    // request a lease and write an entry that exists already, which completes every watch. A single
    // renewal of the old lease is enough.
    void adopt_lease(std::string_view value, std::int64_t lease);
    // The store reports that the entry was removed, though its lease may still be valid.
    void on_entry_removed(clock::time_point now);
    // Removes the entry, so that peers needn't wait for the lease to expire.
    void deregister(clock::time_point now);

    bool is_registered() const { return is_registered_; }

private:
    enum class step { idle, waiting, ended };

    void grant(clock::time_point sent_at);
    void write(clock::time_point sent_at);
    void renew(clock::time_point sent_at);
    void succeed(clock::time_point sent_at, clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    void set_registered(bool is_registered, result_code reason, clock::time_point now);

    store::client& store_;
    std::string key_;
    std::string value_;
    registration_limits limits_;
    std::minstd_rand random_;
    state_callback state_callback_;
    step step_ = step::idle;
    std::int64_t lease_ = 0;  // 0: none
    bool is_entry_written_ = false;
    bool is_registered_ = false;
    int consecutive_failures_ = 0;
    clock::time_point next_call_at_;
    clock::time_point lease_valid_until_;  // the lease doesn't expire before
};

}  // namespace bramleytrack::discovery
