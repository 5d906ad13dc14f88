#include "store/feed.h"

#include <algorithm>

namespace bramleytrack::store {
namespace {

constexpr std::string_view everything;
constexpr int max_doublings = 3;
// More than two reads at a time would only add to the load of a store that is slow.
constexpr std::size_t max_parallel_reads = 2;

}  // namespace

feed::feed(client& store, mirror& known, std::uint64_t seed, feed_limits limits)
    : store_{store},
      known_{known},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void feed::tick(clock::time_point now) {
    if (phase_ == phase::idle && now >= next_start_) {
        if (is_complete_ && !is_wanted_) {
            return;
        }
        if (must_read_) {
            start_read(now);
        } else {
            start_watch(now);
        }
        return;
    }
    const bool is_late = phase_ == phase::reading && reads_.size() < max_parallel_reads &&
                         now - read_started_ >= limits_.hedge_after;
    if (is_late) {
        start_read(now);
    }
}

void feed::reread(clock::time_point now) {
    if (phase_ == phase::reading) {
        return;
    }
    must_read_ = true;
    start_read(now);
}

void feed::start_read(clock::time_point now) {
    phase_ = phase::reading;
    read_started_ = now;
    watch_attempt_ = 0;
    const auto attempt = ++attempts_;
    reads_.push_back(
        {.attempt = attempt, .freshness = freshness(), .items = {}, .revision = std::nullopt});
    ask_page({}, attempt, now);
}

void feed::ask_page(const std::string& after_key, std::int64_t attempt, clock::time_point sent) {
    ++calls_;
    store_.range(everything, after_key, freshness(), limits_.read_limit,
                 [this, attempt, sent](const outcome<page>& answer, clock::time_point now) {
                     on_page(attempt, sent, answer, now);
                 });
}

void feed::on_page(std::int64_t attempt, clock::time_point sent, const outcome<page>& answer,
                   clock::time_point now) {
    const auto current = std::ranges::find(reads_, attempt, &reading::attempt);
    if (current == reads_.end()) {
        return;
    }
    const auto* part = std::get_if<page>(&answer);
    if (part == nullptr) {
        reads_.erase(current);
        if (reads_.empty()) {
            fail(std::get<result_code>(answer), now);
        }
        return;
    }
    current->items.insert(current->items.end(), part->items.begin(), part->items.end());
    // Pages that may be seconds old needn't come in the order of their revisions.
    current->revision = std::min(current->revision.value_or(part->revision), part->revision);
    if (part->has_more && !part->items.empty()) {
        ask_page(part->items.back().key, attempt, now);
        return;
    }
    const auto whole = std::move(*current);
    reads_.clear();
    must_read_ = false;
    phase_ = phase::idle;
    succeed(now);
    if (whole.freshness == read_freshness::newest) {
        confirmed_at_ = std::max(confirmed_at_, sent);
    }
    const auto changes = known_.replace(whole.items, *whole.revision);
    is_complete_ = true;
    publish(changes, now);
    next_start_ = now;
}

void feed::start_watch(clock::time_point sent) {
    phase_ = phase::watching;
    const auto attempt = ++attempts_;
    watch_attempt_ = attempt;
    ++calls_;
    store_.watch(everything, known_.revision(), limits_.watch_wait,
                 limits_.watch_wait + limits_.watch_slack,
                 [this, attempt, sent](const outcome<watch_result>& answer, clock::time_point now) {
                     on_news(attempt, sent, answer, now);
                 });
}

void feed::on_news(std::int64_t attempt, clock::time_point sent,
                   const outcome<watch_result>& answer, clock::time_point now) {
    if (attempt != watch_attempt_) {
        return;
    }
    phase_ = phase::idle;
    watch_attempt_ = 0;
    const auto* part = std::get_if<watch_result>(&answer);
    if (part == nullptr) {
        // Whatever the reason, changes may have been missed.
        must_read_ = true;
        if (std::get<result_code>(answer) == result_code::history_gone) {
            start_read(now);
        } else {
            fail(std::get<result_code>(answer), now);
        }
        return;
    }
    // An answer without events was given when the wait was over, or later.
    const bool has_waited = part->events.empty() && now - sent >= limits_.watch_wait;
    succeed(now);
    confirmed_at_ = std::max(confirmed_at_, has_waited ? sent + limits_.watch_wait : sent);
    const auto changes = known_.apply(part->events);
    known_.advance(part->revision);
    publish(changes, now);
    const bool is_early = part->events.empty() && (now - sent) * 2 < limits_.watch_wait;
    const auto pause_if_empty = is_early ? limits_.after_early_answer : clock::duration{0};
    const auto pause_after_events =
        std::min(limits_.max_pause_after_events,
                 limits_.pause_after_events * static_cast<std::int64_t>(watchers_));
    next_start_ = now + (part->events.empty() ? pause_if_empty : pause_after_events);
}

void feed::succeed(clock::time_point now) {
    if (failed_at_ != clock::time_point{}) {
        unreachable_at_ = now;
    }
    if (!is_reachable_) {
        is_reachable_ = true;
        if (state_changed_) {
            state_changed_(true, result_code::ok, failures_, now);
        }
    }
    failures_ = 0;
    failed_at_ = clock::time_point{};
}

void feed::fail(result_code reason, clock::time_point now) {
    phase_ = phase::idle;
    failed_at_ = now;
    unreachable_at_ = now;
    const auto doublings = std::min(failures_, max_doublings);
    const auto longest = std::min(limits_.longest_retry, limits_.first_retry * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> pick{longest.count() / 2, longest.count()};
    next_start_ = now + clock::duration{pick(random_)};
    ++failures_;
    if (is_reachable_) {
        is_reachable_ = false;
        if (state_changed_) {
            state_changed_(false, reason, failures_, now);
        }
    }
}

void feed::publish(std::span<const event> events, clock::time_point now) {
    if (changed_) {
        changed_(events, now);
    }
}

}  // namespace bramleytrack::store
