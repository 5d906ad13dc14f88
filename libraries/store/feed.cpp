#include "store/feed.h"

#include <algorithm>

namespace bramleytrack::store {
namespace {

constexpr std::string_view all_keys;  // the empty prefix
constexpr int max_doublings = 3;
// More than two concurrent reads would only add load to a slow store.
constexpr std::size_t max_parallel_reads = 2;

}  // namespace

feed::feed(client& store, mirror& local_mirror, std::uint64_t seed, feed_limits limits)
    : store_{store},
      mirror_{local_mirror},
      limits_{limits},
      random_{static_cast<std::minstd_rand::result_type>(seed)} {}

void feed::tick(clock::time_point now) {
    if (phase_ == phase::idle && now >= next_call_at_) {
        if (is_complete_ && !is_watch_enabled_) {
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
                         now - read_started_ >= limits_.hedge_delay;
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
    watch_call_id_ = 0;
    const auto call_id = ++last_call_id_;
    reads_.push_back(
        {.call_id = call_id, .freshness = freshness(), .items = {}, .revision = std::nullopt});
    request_page({}, call_id, now);
}

void feed::request_page(const std::string& after_key, std::int64_t call_id,
                        clock::time_point sent_at) {
    ++calls_;
    store_.range(all_keys, after_key, freshness(), limits_.read_timeout,
                 [this, call_id, sent_at](const outcome<page>& response, clock::time_point now) {
                     on_page(call_id, sent_at, response, now);
                 });
}

void feed::on_page(std::int64_t call_id, clock::time_point sent_at, const outcome<page>& response,
                   clock::time_point now) {
    const auto current = std::ranges::find(reads_, call_id, &reading::call_id);
    if (current == reads_.end()) {
        return;
    }
    const auto* result = std::get_if<page>(&response);
    if (result == nullptr) {
        reads_.erase(current);
        if (reads_.empty()) {
            fail(std::get<result_code>(response), now);
        }
        return;
    }
    current->items.insert(current->items.end(), result->items.begin(), result->items.end());
    // Pages that may be seconds old can arrive with decreasing revisions.
    current->revision = std::min(current->revision.value_or(result->revision), result->revision);
    if (result->has_more && !result->items.empty()) {
        request_page(result->items.back().key, call_id, now);
        return;
    }
    const auto finished_read = std::move(*current);
    reads_.clear();
    must_read_ = false;
    phase_ = phase::idle;
    succeed(now);
    if (finished_read.freshness == read_freshness::newest) {
        confirmed_at_ = std::max(confirmed_at_, sent_at);
    }
    const auto changes = mirror_.replace(finished_read.items, *finished_read.revision);
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
        // Changes may have been missed, whatever the reason.
        must_read_ = true;
        if (std::get<result_code>(response) == result_code::history_gone) {
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
    if (!is_reachable_) {
        is_reachable_ = true;
        if (state_callback_) {
            state_callback_(true, result_code::ok, consecutive_failures_, now);
        }
    }
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
    if (is_reachable_) {
        is_reachable_ = false;
        if (state_callback_) {
            state_callback_(false, reason, consecutive_failures_, now);
        }
    }
}

void feed::publish(std::span<const event> events, clock::time_point now) {
    if (change_callback_) {
        change_callback_(events, now);
    }
}

}  // namespace bramleytrack::store
