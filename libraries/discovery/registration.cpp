#include "discovery/registration.h"

#include <algorithm>

namespace bramleytrack::discovery {
namespace {

constexpr int max_doublings = 3;

}  // namespace

registration::registration(store::client& store, std::string key, std::string value,
                           std::uint64_t seed, registration_limits limits)
    : store_{store},
      key_{std::move(key)},
      value_{std::move(value)},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void registration::tick(clock::time_point now) {
    if (is_registered_ && now >= lease_valid_until_) {
        // The lease wasn't renewed: the store has removed the entry, or is about to.
        lease_ = 0;
        is_entry_written_ = false;
        set_registered(false, result_code::lease_ended, now);
    }
    if (step_ != step::idle || now < next_call_at_) {
        return;
    }
    step_ = step::waiting;
    if (lease_ == 0) {
        grant(now);
    } else if (!is_entry_written_) {
        write(now);
    } else {
        renew(now);
    }
}

void registration::adopt_lease(std::string_view value, std::int64_t lease) {
    if (step_ != step::idle || lease_ != 0 || lease == 0 || value != value_) {
        return;
    }
    lease_ = lease;
    is_entry_written_ = true;
}

void registration::on_entry_removed(clock::time_point now) {
    if (step_ == step::ended || !is_registered_) {
        return;
    }
    lease_ = 0;
    is_entry_written_ = false;
    next_call_at_ = now;
    set_registered(false, result_code::lease_ended, now);
}

void registration::deregister(clock::time_point now) {
    if (lease_ != 0) {
        store_.end_lease(
            lease_, limits_.call_timeout,
            [](const store::outcome<store::lease>& /*answer*/, clock::time_point /*now*/) {
                // Without a response the lease expires by itself.
            });
    }
    lease_ = 0;
    step_ = step::ended;
    set_registered(false, result_code::ok, now);
}

void registration::grant(clock::time_point sent_at) {
    store_.grant_lease(
        limits_.lifetime, limits_.call_timeout,
        [this, sent_at](const store::outcome<store::lease>& response, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (const auto* granted = std::get_if<store::lease>(&response)) {
                lease_ = granted->number;
                is_entry_written_ = false;
                lease_valid_until_ = sent_at + limits_.lifetime;
                step_ = step::waiting;
                write(now);
            } else {
                fail(std::get<result_code>(response), now);
            }
        });
}

void registration::write(clock::time_point sent_at) {
    const store::transaction request{.preconditions = {},
                                     .writes = {{.key = key_, .value = value_, .lease = lease_}},
                                     .removals = {}};
    store_.commit(
        request, limits_.call_timeout,
        [this, sent_at](const store::outcome<store::committed>& response, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (std::holds_alternative<store::committed>(response)) {
                is_entry_written_ = true;
                succeed(sent_at, now);
                set_registered(true, result_code::ok, now);
            } else {
                fail(std::get<result_code>(response), now);
            }
        });
}

void registration::renew(clock::time_point sent_at) {
    store_.renew_lease(
        lease_, limits_.call_timeout,
        [this, sent_at](const store::outcome<store::lease>& response, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (std::holds_alternative<store::lease>(response)) {
                lease_valid_until_ = sent_at + limits_.lifetime;
                succeed(sent_at, now);
                set_registered(true, result_code::ok, now);
            } else {
                fail(std::get<result_code>(response), now);
            }
        });
}

void registration::succeed(clock::time_point sent_at, clock::time_point now) {
    consecutive_failures_ = 0;
    step_ = step::idle;
    next_call_at_ = std::max(sent_at + limits_.renewal, now);
}

void registration::fail(result_code reason, clock::time_point now) {
    step_ = step::idle;
    if (reason == result_code::lease_ended) {
        lease_ = 0;
        is_entry_written_ = false;
        set_registered(false, reason, now);
    }
    const auto doublings = std::min(consecutive_failures_, max_doublings);
    const auto max_delay =
        std::min(limits_.max_retry_delay, limits_.initial_retry_delay * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> jitter{max_delay.count() / 2, max_delay.count()};
    next_call_at_ = now + clock::duration{jitter(random_)};
    ++consecutive_failures_;
}

void registration::set_registered(bool is_registered, result_code reason, clock::time_point now) {
    if (is_registered == is_registered_) {
        return;
    }
    is_registered_ = is_registered;
    if (state_callback_) {
        state_callback_(is_registered, reason, now);
    }
}

}  // namespace bramleytrack::discovery
