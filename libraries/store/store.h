// The platform's key-value store as the product sees it: typed calls and answers, no transport.
//
// Every call has a time limit of the caller's own, because a connection may go silent for good
// without a reset. A call without an answer may still have taken effect.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"

namespace bramleytrack::store {

struct item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;  // of its last change
    std::int64_t lease = 0;     // under which it stands; 0: none, or not told

    bool operator==(const item&) const = default;
};

struct removal {
    std::string key;
    std::int64_t revision = 0;
};

// What stands under one key; nothing when the key doesn't exist.
struct lookup_result {
    std::optional<item> content;
    std::int64_t revision = 0;  // the store's revision when it answered
};

// One page of a range read. Pages are not a snapshot of one revision.
struct page {
    std::vector<item> items;
    bool has_more = false;
    std::int64_t revision = 0;  // the store's revision when it answered
};

using event = std::variant<item, removal>;

inline std::int64_t revision_of(const event& subject) {
    return std::visit([](const auto& each) { return each.revision; }, subject);
}

struct watch_result {
    std::vector<event> events;
    std::int64_t revision = 0;  // the next watch continues after this one
};

struct expectation {
    std::string key;
    std::int64_t revision = 0;  // 0: the key must not exist
};

struct write {
    std::string key;
    std::string value;
    std::int64_t lease = 0;  // 0: the key outlives its writer
};

// Applied as a whole or not at all.
struct transaction {
    std::vector<expectation> expectations;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

struct committed {
    std::int64_t revision = 0;
};

struct lease {
    std::int64_t number = 0;
    clock::duration lifetime{0};
};

// store_unavailable, store_throttled, history_gone, condition_failed or lease_ended.
template <typename answer>
using outcome = std::variant<answer, result_code>;

template <typename answer>
using callback = std::function<void(const outcome<answer>&, clock::time_point now)>;

// How new what is read has to be.
enum class read_freshness {
    newest,
    seconds_old  // at a fraction of the price; later changes show up in a watch
};

class client {
public:
    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    virtual void get(std::string_view key, clock::duration limit, callback<lookup_result> done) = 0;
    // Items whose key begins with `prefix` and sorts after `after_key`.
    virtual void range(std::string_view prefix, std::string_view after_key,
                       read_freshness freshness, clock::duration limit, callback<page> done) = 0;
    // Answers at the first change after `revision`, or without events after `wait`.
    virtual void watch(std::string_view prefix, std::int64_t revision, clock::duration wait,
                       clock::duration limit, callback<watch_result> done) = 0;
    virtual void commit(const transaction& wanted, clock::duration limit,
                        callback<committed> done) = 0;
    virtual void grant_lease(clock::duration lifetime, clock::duration limit,
                             callback<lease> done) = 0;
    virtual void renew_lease(std::int64_t number, clock::duration limit, callback<lease> done) = 0;
    virtual void end_lease(std::int64_t number, clock::duration limit, callback<lease> done) = 0;
};

}  // namespace bramleytrack::store
