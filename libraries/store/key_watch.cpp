#include "store/key_watch.h"

#include <algorithm>

namespace bramleytrack::store {
namespace {

constexpr int max_doublings = 3;

}  // namespace

key_watch::key_watch(client& store, std::string key, std::uint64_t seed, key_watch_limits limits)
    : store_{store}, key_{std::move(key)}, limits_{limits}, random_{seed} {}

void key_watch::tick(clock::time_point now) {
    if (is_waiting_ || now < next_) {
        return;
    }
    is_waiting_ = true;
    if (must_read_) {
        read();
    } else {
        watch(now);
    }
}

void key_watch::read() {
    must_read_ = false;
    store_.get(key_, limits_.read_limit,
               [this](const outcome<lookup_result>& answer, clock::time_point now) {
                   is_waiting_ = false;
                   const auto* part = std::get_if<lookup_result>(&answer);
                   if (part == nullptr) {
                       must_read_ = true;
                       fail(std::get<result_code>(answer), now);
                       return;
                   }
                   failures_ = 0;
                   next_ = now;
                   seen_ = std::max(seen_, part->revision);
                   if (part->content) {
                       tell(*part->content, now);
                   }
               });
}

void key_watch::watch(clock::time_point sent) {
    store_.watch(key_, seen_, limits_.wait, limits_.wait + limits_.slack,
                 [this, sent](const outcome<watch_result>& answer, clock::time_point now) {
                     is_waiting_ = false;
                     const auto* part = std::get_if<watch_result>(&answer);
                     if (part == nullptr) {
                         fail(std::get<result_code>(answer), now);
                         return;
                     }
                     failures_ = 0;
                     seen_ = std::max(seen_, part->revision);
                     const bool is_early = part->events.empty() && (now - sent) * 2 < limits_.wait;
                     next_ = now +
                             (is_early ? jittered(limits_.after_early_answer) : limits_.after_news);
                     for (const auto& each : part->events) {
                         const auto* written = std::get_if<item>(&each);
                         if (written != nullptr && written->key == key_) {
                             tell(*written, now);
                         }
                     }
                 });
}

void key_watch::tell(const item& value, clock::time_point now) {
    if (found_) {
        found_(value, now);
    }
}

void key_watch::fail(result_code reason, clock::time_point now) {
    must_read_ = must_read_ || reason == result_code::history_gone;
    const auto doublings = std::min(failures_++, max_doublings);
    next_ = now + jittered(std::min(limits_.longest_retry, limits_.first_retry * (1 << doublings)));
}

clock::duration key_watch::jittered(clock::duration longest) {
    std::uniform_int_distribution<std::int64_t> pick{longest.count() / 2, longest.count()};
    return clock::duration{pick(random_)};
}

}  // namespace bramleytrack::store
