// A local copy of the store: the newest received revision of each key.
//
// Items arrive from range reads, watches and peers, in any order and more than once. Only a newer
// revision of a key is applied, so a key never returns to an older state.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/store.h"

namespace bramleytrack::store {

// A removed key with its last item.
struct removed_item {
    item last;
    std::int64_t removal_revision = 0;

    bool operator==(const removed_item&) const = default;
};

class mirror {
public:
    // Whether a value of this size under this key can be relevant.
    using value_filter = std::function<bool(std::string_view key, std::size_t size)>;

    // Other writers share the store, and their values of up to a megabyte each would fill the
    // memory of this instance and be sent to every peer. For items that `is_relevant` rejects, only
    // the key and its revision are kept.
    explicit mirror(value_filter is_relevant = nullptr) : is_relevant_{std::move(is_relevant)} {}

    // by_revision_ refers to the keys in entries_, so a mirror can be moved but not copied.
    ~mirror() = default;
    mirror(const mirror&) = delete;
    mirror& operator=(const mirror&) = delete;
    mirror(mirror&&) = default;
    mirror& operator=(mirror&&) = default;

    // Applies the events that are newer than the stored state, and returns those.
    std::vector<event> apply(std::span<const event> events);

    // Applies a complete range read that began at `revision`: keys that are missing in it count as
    // removed, unless they changed after that revision. Items are usually ordered by key, which
    // makes it cheaper.
    std::vector<event> replace(std::span<const item> items, std::int64_t revision);

    // All events up to this revision have been applied, according to the responses of the store and
    // of peers.
    std::int64_t revision() const { return revision_; }
    void advance(std::int64_t revision);

    // All items, for a peer that lacks them.
    std::vector<item> items() const;
    // Whether changes_since() holds all changes after `revision`.
    bool has_changes_since(std::int64_t revision) const { return revision >= history_floor_; }
    // The newest event of each key that changed after `revision`, ordered by revision; nullopt when
    // some of these events may have been dropped.
    std::optional<std::vector<event>> changes_since(std::int64_t revision) const;
    // The keys that were removed most recently, for an instance that has just started: entries of
    // live targets may be removed too, and their open flows must still be routed.
    std::vector<removed_item> removed_items() const;
    // Applies removed items whose keys the mirror doesn't hold. Returns two events for each: the
    // last item, then its removal.
    std::vector<event> apply_removed_items(std::span<const removed_item> received);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string value;  // of a removed key: its last value, if that is kept
        std::int64_t revision = 0;
        std::int64_t value_revision = 0;  // at which the value was written
        bool is_removed = false;
    };

    // Removed keys stay as tombstones, so that an older item can't restore them; beyond this number
    // the older half is dropped. At the planned size a few thousand hosts a day are added and
    // removed.
    static constexpr std::size_t max_tombstones = 10'000;
    // Last values of removed keys: enough for a release of a service, some hundred bytes each.
    static constexpr std::size_t max_removed_values = 2'000;

    using entry_map = std::map<std::string, entry, std::less<>>;

    bool apply_event(const event& update);
    // `hint`: the likely position of the key or of its successor; set to the successor.
    bool apply_event(const event& update, entry_map::iterator& hint);
    // Keys that `items` lacks and that haven't changed after `revision`.
    std::vector<event> implied_removals(std::span<const item> items, std::int64_t revision) const;
    void set_item(entry& stored, const item& written);
    void set_removed(entry& stored, const removal& removed);
    void drop_old_tombstones();

    value_filter is_relevant_;
    entry_map entries_;
    // Revision and key of each entry, so that changes after a revision are found without a pass
    // over all keys: every peer that is behind requests them after each change. The keys are those
    // of entries_.
    std::set<std::pair<std::int64_t, std::string_view>> by_revision_;
    std::size_t tombstones_ = 0;
    std::deque<std::string> removed_values_;  // keys whose last value is kept, oldest first
    // Removals up to this revision may be missing: they happened before the first read, or their
    // tombstones were dropped.
    std::int64_t history_floor_ = 0;
    std::int64_t revision_ = 0;
};

}  // namespace bramleytrack::store
