// Keeps this instance's entry in the store, under a lease, so that its peers find it.
//
// Liveness doesn't depend on it: it only says whom there is to talk to, and who owns cold targets.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "store/store.h"

namespace bramleytrack::discovery {

struct registration_limits {
    // An entry outlives its process by this at the most. Renewals cost a tenth of a read: 610
    // instances that renew every 5 s are 122 a second.
    clock::duration lifetime{15'000};
    clock::duration renewal{5'000};
    clock::duration call_limit{1'500};
    clock::duration first_retry{250};
    clock::duration longest_retry{2'000};
};

class registration {
public:
    // `is_held`: the entry is in the store as far as this instance knows.
    using state_callback =
        std::function<void(bool is_held, result_code reason, clock::time_point now)>;

    registration(store::client& store, std::string key, std::string value, std::uint64_t seed,
                 registration_limits limits = {});

    void on_state(state_callback callback) { state_changed_ = std::move(callback); }
    void tick(clock::time_point now);
    // The store shows an entry of this instance under that lease, from before its last start.
    //
    // Load that it answers: a zone or the whole fleet comes back after a loss of power, and each
    // instance would take a lease and write an entry that is there already, which wakes all
    // watchers. One renewal does.
    void adopt(std::string_view value, std::int64_t lease);
    // The store shows that the entry is gone though the lease may live: it was taken away.
    void on_entry_removed(clock::time_point now);
    // Removes the entry, so that peers need not wait for the lease to run out.
    void end(clock::time_point now);

    bool is_held() const { return is_held_; }

private:
    enum class step { idle, waiting, ended };

    void grant(clock::time_point sent);
    void write(clock::time_point sent);
    void renew(clock::time_point sent);
    void succeed(clock::time_point sent, clock::time_point now);
    void fail(result_code reason, clock::time_point now);
    void set_held(bool is_held, result_code reason, clock::time_point now);

    store::client& store_;
    std::string key_;
    std::string value_;
    registration_limits limits_;
    std::minstd_rand random_;
    state_callback state_changed_;
    step step_ = step::idle;
    std::int64_t lease_ = 0;  // 0: none
    bool is_written_ = false;
    bool is_held_ = false;
    int failures_ = 0;
    clock::time_point next_;
    clock::time_point valid_until_;  // the lease lives at least so long
};

}  // namespace bramleytrack::discovery
