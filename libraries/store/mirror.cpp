#include "store/mirror.h"

#include <algorithm>
#include <iterator>

namespace bramleytrack::store {

std::vector<event> mirror::apply(std::span<const event> events) {
    std::vector<event> changed;
    for (const auto& each : events) {
        if (apply_event(each)) {
            changed.push_back(each);
        }
    }
    drop_old_tombstones();
    return changed;
}

std::vector<event> mirror::replace(std::span<const item> items, std::int64_t revision) {
    auto missing = implied_removals(items, revision);
    std::vector<event> changed;
    changed.reserve(items.size() + missing.size());
    auto hint = entries_.begin();
    for (const auto& each : items) {
        event update = each;
        if (apply_event(update, hint)) {
            changed.push_back(std::move(update));
        }
    }
    for (auto& each : missing) {
        apply_event(each);
        changed.push_back(std::move(each));
    }
    drop_old_tombstones();
    if (revision_ == 0) {
        history_floor_ = std::max(history_floor_, revision);
    }
    advance(revision);
    return changed;
}

std::vector<event> mirror::implied_removals(std::span<const item> items,
                                            std::int64_t revision) const {
    std::vector<event> result;
    if (entries_.empty()) {
        return result;
    }
    std::vector<std::string_view> present;
    present.reserve(items.size());
    std::ranges::transform(items, std::back_inserter(present), &item::key);
    if (!std::ranges::is_sorted(present)) {
        std::ranges::sort(present);
    }
    for (const auto& [key, stored] : entries_) {
        if (!stored.is_removed && stored.revision <= revision &&
            !std::ranges::binary_search(present, std::string_view{key})) {
            result.emplace_back(
                removal{.key = key, .revision = std::max(stored.revision, revision)});
        }
    }
    return result;
}

void mirror::advance(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
}

std::vector<item> mirror::items() const {
    std::vector<item> result;
    for (const auto& [key, stored] : entries_) {
        if (!stored.is_removed) {
            result.push_back({.key = key, .value = stored.value, .revision = stored.revision});
        }
    }
    return result;
}

std::optional<std::vector<event>> mirror::changes_since(std::int64_t revision) const {
    if (!has_changes_since(revision)) {
        return std::nullopt;
    }
    std::vector<event> result;
    const auto first = by_revision_.lower_bound({revision + 1, std::string_view{}});
    for (auto each = first; each != by_revision_.end(); ++each) {
        const auto& [key, stored] = *entries_.find(each->second);
        if (stored.is_removed) {
            result.emplace_back(removal{.key = key, .revision = stored.revision});
        } else {
            result.emplace_back(
                item{.key = key, .value = stored.value, .revision = stored.revision});
        }
    }
    return result;
}

bool mirror::apply_event(const event& update) {
    auto hint = entries_.end();
    return apply_event(update, hint);
}

bool mirror::apply_event(const event& update, entry_map::iterator& hint) {
    const auto* written = std::get_if<item>(&update);
    const auto& key = written != nullptr ? written->key : std::get<removal>(update).key;
    const auto revision = revision_of(update);
    const auto position = entries_.try_emplace(hint, key);
    hint = std::next(position);
    auto& stored = position->second;
    // A removal that is implied by a range read has the revision of the read, which may equal that
    // of the item itself; receiving the item again must not undo the removal.
    const bool is_removal_of_stored_item = written == nullptr && !stored.is_removed &&
                                           revision == stored.revision && stored.revision > 0;
    if (revision <= stored.revision && !is_removal_of_stored_item) {
        return false;
    }
    const bool was_absent = stored.is_removed || stored.revision == 0;
    by_revision_.erase({stored.revision, position->first});
    by_revision_.emplace(revision, position->first);
    tombstones_ -= stored.is_removed ? 1 : 0;
    if (written != nullptr) {
        set_item(stored, *written);
    } else {
        set_removed(stored, std::get<removal>(update));
    }
    tombstones_ += stored.is_removed ? 1 : 0;
    return written != nullptr || !was_absent;
}

void mirror::set_item(entry& stored, const item& written) {
    const bool is_value_kept = !is_relevant_ || is_relevant_(written.key, written.value.size());
    stored = {.value = is_value_kept ? written.value : std::string{},
              .revision = written.revision,
              .value_revision = written.revision,
              .is_removed = false};
}

void mirror::set_removed(entry& stored, const removal& removed) {
    if (!stored.is_removed && !stored.value.empty()) {
        removed_values_.push_back(removed.key);
    }
    stored.revision = removed.revision;
    stored.is_removed = true;
    if (removed_values_.size() > max_removed_values) {
        const auto oldest = entries_.find(removed_values_.front());
        if (oldest != entries_.end() && oldest->second.is_removed) {
            oldest->second.value.clear();
        }
        removed_values_.pop_front();
    }
}

std::vector<removed_item> mirror::removed_items() const {
    std::vector<removed_item> result;
    for (const auto& [key, stored] : entries_) {
        if (stored.is_removed && !stored.value.empty()) {
            result.push_back(
                {.last = {.key = key, .value = stored.value, .revision = stored.value_revision},
                 .removal_revision = stored.revision});
        }
    }
    return result;
}

std::vector<event> mirror::apply_removed_items(std::span<const removed_item> received) {
    std::vector<event> changed;
    for (const auto& each : received) {
        // The stored state of a key is newer, or was received from another peer.
        if (entries_.contains(each.last.key)) {
            continue;
        }
        const removal removed{.key = each.last.key, .revision = each.removal_revision};
        apply_event(each.last);
        apply_event(removed);
        changed.emplace_back(each.last);
        changed.emplace_back(removed);
    }
    drop_old_tombstones();
    return changed;
}

void mirror::drop_old_tombstones() {
    if (tombstones_ <= max_tombstones) {
        return;
    }
    std::vector<std::int64_t> revisions;
    for (const auto& [key, stored] : entries_) {
        if (stored.is_removed) {
            revisions.push_back(stored.revision);
        }
    }
    const auto median = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::ranges::nth_element(revisions, median);
    const auto cutoff = *median;
    history_floor_ = std::max(history_floor_, cutoff);
    std::erase_if(entries_, [this, cutoff](const auto& each) {
        const bool is_dropped = each.second.is_removed && each.second.revision <= cutoff;
        if (is_dropped) {
            by_revision_.erase({each.second.revision, each.first});
        }
        return is_dropped;
    });
    tombstones_ = static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& each) { return each.second.is_removed; }));
}

}  // namespace bramleytrack::store
