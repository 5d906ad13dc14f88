#include "load/retry_after_plan.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::load {
namespace {

constexpr std::size_t max_members = 256;
constexpr clock::rep jitter_divisor = 4;

// Uniform in [0, range), and the same for every copy of a request.
clock::duration jitter_of(const work& refused, clock::duration range) {
    const auto hash = hash_of(refused.id.flow, static_cast<std::uint64_t>(refused.id.number));
    const auto limit = static_cast<std::uint64_t>(std::max<clock::rep>(1, range.count()));
    return clock::duration{static_cast<clock::rep>(hash % limit)};
}

}  // namespace

clock::duration retry_after_plan::assign(const work& refused, clock::duration earliest,
                                         clock::duration interval, clock::time_point now) {
    std::erase_if(next_due_, [now](const auto& entry) { return entry.second <= now; });
    auto due = now + std::max(earliest, clock::duration{1});
    const auto found = next_due_.find(refused.member);
    if (found != next_due_.end()) {
        due = std::max(due, found->second);
    }
    if (found != next_due_.end() || next_due_.size() < max_members) {
        const auto limit = now + max_retry_after;
        next_due_[std::string{refused.member}] =
            std::min(due + std::max(interval, clock::duration{1}), limit);
    }
    const auto wait = due - now;
    if (wait >= max_retry_after) {
        return max_retry_after / 2 + jitter_of(refused, max_retry_after / 2);
    }
    return std::min(wait + jitter_of(refused, wait / jitter_divisor), max_retry_after);
}

}  // namespace bramleytrack::load
