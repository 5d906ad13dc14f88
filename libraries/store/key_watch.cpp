#include "store/key_watch.h"

#include <algorithm>

namespace bramleytrack::store {
namespace {

constexpr int max_doublings = 3;

}  // namespace

key_watch::key_watch(client& store, std::string key, std::uint64_t seed, key_watch_limits limits)
    : store_{store}, key_{std::move(key)}, limits_{limits}, random_{seed} {}

void key_watch::tick(clock::time_point now) {
    if (is_call_pending_ || now < next_call_at_) {
        return;
    }
    is_call_pending_ = true;
    if (must_read_) {
        read();
    } else {
        watch(now);
    }
}

void key_watch::read() {
    must_read_ = false;
    store_.get(key_, limits_.read_timeout,
               [this](const outcome<lookup_result>& response, clock::time_point now) {
                   is_call_pending_ = false;
                   const auto* result = std::get_if<lookup_result>(&response);
                   if (result == nullptr) {
                       must_read_ = true;
                       fail(std::get<result_code>(response), now);
                       return;
                   }
                   consecutive_failures_ = 0;
                   next_call_at_ = now;
                   last_seen_revision_ = std::max(last_seen_revision_, result->revision);
                   if (result->content) {
                       report(*result->content, now);
                   }
               });
}

void key_watch::watch(clock::time_point sent_at) {
    store_.watch(key_, last_seen_revision_, limits_.wait, limits_.wait + limits_.response_margin,
                 [this, sent_at](const outcome<watch_result>& response, clock::time_point now) {
                     is_call_pending_ = false;
                     const auto* result = std::get_if<watch_result>(&response);
                     if (result == nullptr) {
                         fail(std::get<result_code>(response), now);
                         return;
                     }
                     consecutive_failures_ = 0;
                     last_seen_revision_ = std::max(last_seen_revision_, result->revision);
                     const bool is_early =
                         result->events.empty() && (now - sent_at) * 2 < limits_.wait;
                     next_call_at_ = now + (is_early ? jittered(limits_.early_response_pause)
                                                     : limits_.pause_after_change);
                     for (const auto& each : result->events) {
                         const auto* written = std::get_if<item>(&each);
                         if (written != nullptr && written->key == key_) {
                             report(*written, now);
                         }
                     }
                 });
}

void key_watch::report(const item& value, clock::time_point now) {
    if (value_callback_) {
        value_callback_(value, now);
    }
}

void key_watch::fail(result_code reason, clock::time_point now) {
    must_read_ = must_read_ || reason == result_code::history_gone;
    const auto doublings = std::min(consecutive_failures_++, max_doublings);
    next_call_at_ = now + jittered(std::min(limits_.max_retry_delay,
                                            limits_.initial_retry_delay * (1 << doublings)));
}

clock::duration key_watch::jittered(clock::duration max_delay) {
    std::uniform_int_distribution<std::int64_t> jitter{max_delay.count() / 2, max_delay.count()};
    return clock::duration{jitter(random_)};
}

}  // namespace bramleytrack::store
