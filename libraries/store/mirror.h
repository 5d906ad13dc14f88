// What the store holds as far as this instance knows: the newest revision of each key.
//
// Items arrive from range reads, watches and peers, in any order and more than once. Only a newer
// revision of a key changes anything, so nothing that was once known ever goes back.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.h"

namespace bramleytrack::store {

// A key that is gone, and what stood there last.
struct removed_item {
    item last;
    std::int64_t removed_at = 0;  // revision

    bool operator==(const removed_item&) const = default;
};

class mirror {
public:
    // Whether a value of this size under this key can be of use.
    using value_filter = std::function<bool(std::string_view key, std::size_t size)>;

    // Failure: other writers share the store, and their values, up to a megabyte each, would fill
    // the memory here and be passed on to every peer. Of what `is_relevant` leaves out only the key
    // and its revision are kept.
    explicit mirror(value_filter is_relevant = nullptr) : is_of_use_{std::move(is_relevant)} {}

    // Applies what is new and returns just that.
    std::vector<event> apply(std::span<const event> events);

    // Applies a whole range read that began at `revision`: keys that it doesn't hold were removed,
    // unless they changed later than the read began.
    std::vector<event> replace(std::span<const item> items, std::int64_t revision);

    // All events above this revision have been applied, as far as the sources said.
    std::int64_t revision() const { return revision_; }
    void advance(std::int64_t revision);

    // All items, for a peer that lacks them.
    std::vector<item> items() const;
    // The newest word on each key that changed after `revision`, in the order of their revisions;
    // nothing when some of it may have been dropped.
    std::optional<std::vector<event>> changes_since(std::int64_t revision) const;
    // The newest keys that went, for an instance that has just started: entries are also taken away
    // from targets that live, and their flows go on.
    std::vector<removed_item> removed_items() const;
    // Takes over what isn't known here, and returns it as events: first what stood there, then its
    // removal.
    std::vector<event> apply_removed_items(std::span<const removed_item> told);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string value;  // of a key that is gone, what stood there last, if that is kept
        std::int64_t revision = 0;
        std::int64_t value_revision = 0;  // when the value was written
        bool is_removed = false;
    };

    // Removed keys stay as markers, so that an older item can't bring them back; the oldest are
    // dropped beyond this number. Hosts come and go a few thousand times a day at the planned size.
    static constexpr std::size_t max_markers = 10'000;
    // What stood under keys that are gone: a release of a service, some hundred bytes each.
    static constexpr std::size_t max_ended_values = 2'000;

    bool take(const event& offered);
    void take(entry& known, const item& written);
    void take(entry& known, const removal& removed);
    void drop_old_markers();

    value_filter is_of_use_;
    std::map<std::string, entry, std::less<>> entries_;
    std::size_t markers_ = 0;
    std::deque<std::string> ended_;  // keys whose last value is kept, oldest first
    // Removals up to this revision may be missing: they came before the first read, or their
    // markers were dropped.
    std::int64_t floor_ = 0;
    std::int64_t revision_ = 0;
};

}  // namespace bramleytrack::store
