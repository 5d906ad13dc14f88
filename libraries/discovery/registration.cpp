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
    if (is_held_ && now >= valid_until_) {
        // Nobody renewed it: the store has dropped the entry by now, or is about to.
        lease_ = 0;
        is_written_ = false;
        set_held(false, result_code::lease_ended, now);
    }
    if (step_ != step::idle || now < next_) {
        return;
    }
    step_ = step::waiting;
    if (lease_ == 0) {
        grant(now);
    } else if (!is_written_) {
        write(now);
    } else {
        renew(now);
    }
}

void registration::adopt(std::string_view value, std::int64_t lease) {
    if (step_ != step::idle || lease_ != 0 || lease == 0 || value != value_) {
        return;
    }
    lease_ = lease;
    is_written_ = true;
}

void registration::on_entry_removed(clock::time_point now) {
    if (step_ == step::ended || !is_held_) {
        return;
    }
    lease_ = 0;
    is_written_ = false;
    next_ = now;
    set_held(false, result_code::lease_ended, now);
}

void registration::end(clock::time_point now) {
    if (lease_ != 0) {
        store_.end_lease(
            lease_, limits_.call_limit,
            [](const store::outcome<store::lease>& /*answer*/, clock::time_point /*now*/) {
                // Without an answer the lease runs out by itself.
            });
    }
    lease_ = 0;
    step_ = step::ended;
    set_held(false, result_code::ok, now);
}

void registration::grant(clock::time_point sent) {
    store_.grant_lease(
        limits_.lifetime, limits_.call_limit,
        [this, sent](const store::outcome<store::lease>& answer, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (const auto* granted = std::get_if<store::lease>(&answer)) {
                lease_ = granted->number;
                is_written_ = false;
                valid_until_ = sent + limits_.lifetime;
                step_ = step::waiting;
                write(now);
            } else {
                fail(std::get<result_code>(answer), now);
            }
        });
}

void registration::write(clock::time_point sent) {
    const store::transaction wanted{.expectations = {},
                                    .writes = {{.key = key_, .value = value_, .lease = lease_}},
                                    .removals = {}};
    store_.commit(
        wanted, limits_.call_limit,
        [this, sent](const store::outcome<store::committed>& answer, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (std::holds_alternative<store::committed>(answer)) {
                is_written_ = true;
                succeed(sent, now);
                set_held(true, result_code::ok, now);
            } else {
                fail(std::get<result_code>(answer), now);
            }
        });
}

void registration::renew(clock::time_point sent) {
    store_.renew_lease(
        lease_, limits_.call_limit,
        [this, sent](const store::outcome<store::lease>& answer, clock::time_point now) {
            if (step_ == step::ended) {
                return;
            }
            if (std::holds_alternative<store::lease>(answer)) {
                valid_until_ = sent + limits_.lifetime;
                succeed(sent, now);
                set_held(true, result_code::ok, now);
            } else {
                fail(std::get<result_code>(answer), now);
            }
        });
}

void registration::succeed(clock::time_point sent, clock::time_point now) {
    failures_ = 0;
    step_ = step::idle;
    next_ = std::max(sent + limits_.renewal, now);
}

void registration::fail(result_code reason, clock::time_point now) {
    step_ = step::idle;
    if (reason == result_code::lease_ended) {
        lease_ = 0;
        is_written_ = false;
        set_held(false, reason, now);
    }
    const auto doublings = std::min(failures_, max_doublings);
    const auto longest = std::min(limits_.longest_retry, limits_.first_retry * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> pick{longest.count() / 2, longest.count()};
    next_ = now + clock::duration{pick(random_)};
    ++failures_;
}

void registration::set_held(bool is_held, result_code reason, clock::time_point now) {
    if (is_held == is_held_) {
        return;
    }
    is_held_ = is_held;
    if (state_changed_) {
        state_changed_(is_held, reason, now);
    }
}

}  // namespace bramleytrack::discovery
