#include "store/feed.h"

#include <algorithm>

namespace bramleytrack::store {
namespace {

constexpr std::string_view all_keys;  // the empty prefix
constexpr int max_doublings = 3;
// More than two concurrent requests for a page would only add load to a slow store.
constexpr std::size_t max_page_calls = 2;

}  // namespace

feed::feed(client& store, mirror& local_mirror, std::uint64_t seed, feed_limits limits)
    : store_{store},
      mirror_{local_mirror},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void feed::tick(clock::time_point now) {
    if (phase_ == phase::idle && now >= next_call_at_) {
        if ((is_complete_ && !is_watch_enabled_) || !may_request_page()) {
            return;
        }
        if (must_read_) {
            start_read(now);
        } else {
            start_watch(now);
        }
        return;
    }
    if (phase_ == phase::reading && is_page_late(now)) {
        request_page(now);
    }
}

bool feed::is_first_read_progressing(clock::time_point now) const {
    return !is_complete_ && phase_ == phase::reading &&
           now - std::max(read_->page_requested_at, store_.last_received_at()) <
               limits_.hedge_delay;
}

bool feed::may_request_page() const {
    const bool has_page = read_ && !read_->items.empty();
    return is_complete_ || first_read_ == read_extent::everything ||
           (first_read_ == read_extent::first_page && !has_page);
}

void feed::skip_first_read(clock::time_point now) {
    if (is_complete_) {
        return;
    }
    read_.reset();
    phase_ = phase::idle;
    must_read_ = false;
    is_complete_ = true;
    next_call_at_ = now;
}

bool feed::is_page_late(clock::time_point now) const {
    const auto last_progress = std::max(read_->page_requested_at, store_.last_received_at());
    return read_->page_calls.size() < max_page_calls && now - last_progress >= limits_.hedge_delay;
}

void feed::reread(clock::time_point now) {
    if (phase_ == phase::reading || !is_complete_) {
        return;
    }
    must_read_ = true;
    read_.reset();
    start_read(now);
}

void feed::start_read(clock::time_point now) {
    phase_ = phase::reading;
    watch_call_id_ = 0;
    const bool can_continue = read_ && read_->freshness == freshness() &&
                              now - read_->page_arrived_at <= limits_.max_page_age;
    if (!can_continue) {
        read_ = reading{};
        read_->freshness = freshness();
        read_->started_at = now;
    }
    request_page(now);
}

void feed::request_page(clock::time_point now) {
    ++calls_;
    const auto call_id = ++last_call_id_;
    read_->page_calls.push_back(call_id);
    read_->page_requested_at = now;
    const auto after_key = read_->items.empty() ? std::string{} : read_->items.back().key;
    store_.range(all_keys, after_key, read_->freshness, limits_.read_timeout,
                 [this, call_id](const outcome<page>& response, clock::time_point responded_at) {
                     on_page(call_id, response, responded_at);
                 });
}

void feed::on_page(std::int64_t call_id, const outcome<page>& response, clock::time_point now) {
    if (!read_ || std::erase(read_->page_calls, call_id) == 0) {
        return;
    }
    const auto* result = std::get_if<page>(&response);
    if (result == nullptr) {
        if (read_->page_calls.empty()) {
            fail(std::get<result_code>(response), now);
        }
        return;
    }
    succeed(now);
    read_->page_calls.clear();
    read_->page_arrived_at = now;
    read_->items.insert(read_->items.end(), result->items.begin(), result->items.end());
    // Pages that may be seconds old can arrive with decreasing revisions.
    read_->revision = std::min(read_->revision.value_or(result->revision), result->revision);
    if (!result->has_more || result->items.empty()) {
        finish_read(now);
    } else if (may_request_page()) {
        request_page(now);
    } else {
        phase_ = phase::idle;
        next_call_at_ = now;
    }
}

void feed::finish_read(clock::time_point now) {
    const auto finished = std::move(*read_);
    read_.reset();
    must_read_ = false;
    phase_ = phase::idle;
    if (finished.freshness == read_freshness::newest) {
        confirmed_at_ = std::max(confirmed_at_, finished.started_at);
    }
    const auto changes = mirror_.replace(finished.items, *finished.revision);
    is_complete_ = true;
    publish(changes, now);
    next_call_at_ = now;
}

void feed::start_watch(clock::time_point sent_at) {
    phase_ = phase::watching;
    const auto call_id = ++last_call_id_;
    watch_call_id_ = call_id;
    ++calls_;
    store_.watch(
        all_keys, mirror_.revision(), limits_.watch_wait,
        limits_.watch_wait + limits_.watch_response_margin,
        [this, call_id, sent_at](const outcome<watch_result>& response, clock::time_point now) {
            on_watch_result(call_id, sent_at, response, now);
        });
}

void feed::on_watch_result(std::int64_t call_id, clock::time_point sent_at,
                           const outcome<watch_result>& response, clock::time_point now) {
    if (call_id != watch_call_id_) {
        return;
    }
    phase_ = phase::idle;
    watch_call_id_ = 0;
    const auto* result = std::get_if<watch_result>(&response);
    if (result == nullptr) {
        // The next watch continues at the revision of the mirror, so no change is missed while the
        // store has its history. A read of all keys by each instance of a zone that was cut off
        // would cost the store as much as a restart of the zone.
        if (std::get<result_code>(response) == result_code::history_gone) {
            must_read_ = true;
            start_read(now);
        } else {
            fail(std::get<result_code>(response), now);
        }
        return;
    }
    // An empty response that arrives after the wait confirms the state as of the end of the wait;
    // any other response confirms it as of the time at which the watch was sent.
    const bool is_wait_over = result->events.empty() && now - sent_at >= limits_.watch_wait;
    succeed(now);
    confirmed_at_ = std::max(confirmed_at_, is_wait_over ? sent_at + limits_.watch_wait : sent_at);
    const auto changes = mirror_.apply(result->events);
    mirror_.advance(result->revision);
    publish(changes, now);
    const bool is_early = result->events.empty() && (now - sent_at) * 2 < limits_.watch_wait;
    const auto pause_if_empty = is_early ? limits_.early_response_pause : clock::duration{0};
    const auto pause_after_events =
        std::min(limits_.max_pause_after_events,
                 limits_.pause_after_events * static_cast<std::int64_t>(expected_watchers_));
    next_call_at_ = now + (result->events.empty() ? pause_if_empty : pause_after_events);
}

void feed::succeed(clock::time_point now) {
    if (failed_at_ != clock::time_point{}) {
        unreachable_at_ = now;
    }
    report_state(true, result_code::ok, now);
    consecutive_failures_ = 0;
    failed_at_ = clock::time_point{};
}

void feed::fail(result_code reason, clock::time_point now) {
    phase_ = phase::idle;
    failed_at_ = now;
    unreachable_at_ = now;
    const auto doublings = std::min(consecutive_failures_, max_doublings);
    const auto max_delay =
        std::min(limits_.max_retry_delay, limits_.initial_retry_delay * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> jitter{max_delay.count() / 2, max_delay.count()};
    next_call_at_ = now + clock::duration{jitter(random_)};
    ++consecutive_failures_;
    report_state(false, reason, now);
}

void feed::report_state(bool is_reachable, result_code reason, clock::time_point now) {
    const bool is_news = !is_state_reported_ || is_reachable != is_reachable_;
    is_reachable_ = is_reachable;
    if (is_news && state_callback_) {
        is_state_reported_ = true;
        state_callback_(is_reachable, reason, consecutive_failures_, now);
    }
}

void feed::publish(std::span<const event> events, clock::time_point now) {
    if (change_callback_) {
        change_callback_(events, now);
    }
}

}  // namespace bramleytrack::store
