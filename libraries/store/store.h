// Interface to the platform's key-value store: typed requests and responses, without a transport.
//
// Each call has a timeout that its caller chooses, because a connection may stall for good without
// a reset. A call without a response may still have taken effect.
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
    std::int64_t lease = 0;     // to which it is attached; 0: none, or not reported

    bool operator==(const item&) const = default;
};

struct removal {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const removal&) const = default;
};

// The item under one key; nullopt when the key doesn't exist.
struct lookup_result {
    std::optional<item> content;
    std::int64_t revision = 0;  // the store's revision when it responded
};

// One page of a range read. Pages are not a snapshot of one revision.
struct page {
    std::vector<item> items;
    bool has_more = false;
    std::int64_t revision = 0;  // the store's revision when it responded
};

using event = std::variant<item, removal>;

inline std::int64_t revision_of(const event& subject) {
    return std::visit([](const auto& each) { return each.revision; }, subject);
}

struct watch_result {
    std::vector<event> events;
    std::int64_t revision = 0;  // the next watch continues after this one
};

struct precondition {
    std::string key;
    std::int64_t revision = 0;  // 0: the key must not exist
};

struct write {
    std::string key;
    std::string value;
    std::int64_t lease = 0;  // 0: the key outlives its writer
};

// Applied atomically.
struct transaction {
    std::vector<precondition> preconditions;
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

// The result, or a failure: store_unavailable, store_throttled, history_gone (the store no longer
// has the events after the revision of a watch), condition_failed (of a transaction) or
// lease_ended.
template <typename result>
using outcome = std::variant<result, result_code>;

template <typename result>
using callback = std::function<void(const outcome<result>&, clock::time_point now)>;

// How recent the data of a read has to be.
enum class read_freshness {
    newest,
    seconds_old  // at a fraction of the price; a watch reports later changes
};

class client {
public:
    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    // When a byte of any response last arrived; the epoch if never. Tells a response that is slow
    // from one that is lost.
    virtual clock::time_point last_received_at() const = 0;

    virtual void get(std::string_view key, clock::duration timeout,
                     callback<lookup_result> done) = 0;
    // Items whose key begins with `prefix` and sorts after `after_key`. A page may be large and
    // many instances may read at once, so `timeout` is the longest time without a byte of the
    // response.
    virtual void range(std::string_view prefix, std::string_view after_key,
                       read_freshness freshness, clock::duration timeout, callback<page> done) = 0;
    // Responds at the first change after `revision`, or without events after `wait`. `timeout` is
    // the longest time without a byte, since a response may hold thousands of changes.
    virtual void watch(std::string_view prefix, std::int64_t revision, clock::duration wait,
                       clock::duration timeout, callback<watch_result> done) = 0;
    virtual void commit(const transaction& request, clock::duration timeout,
                        callback<committed> done) = 0;
    virtual void grant_lease(clock::duration lifetime, clock::duration timeout,
                             callback<lease> done) = 0;
    virtual void renew_lease(std::int64_t number, clock::duration timeout,
                             callback<lease> done) = 0;
    virtual void end_lease(std::int64_t number, clock::duration timeout, callback<lease> done) = 0;
};

}  // namespace bramleytrack::store
