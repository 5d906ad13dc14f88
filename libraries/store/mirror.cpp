#include "store/mirror.h"

#include <algorithm>
#include <set>

namespace bramleytrack::store {

std::vector<event> mirror::apply(std::span<const event> events) {
    std::vector<event> changed;
    for (const auto& each : events) {
        if (take(each)) {
            changed.push_back(each);
        }
    }
    drop_old_markers();
    return changed;
}

std::vector<event> mirror::replace(std::span<const item> items, std::int64_t revision) {
    std::vector<event> changed;
    std::set<std::string_view> present;
    for (const auto& each : items) {
        present.insert(each.key);
        if (take(each)) {
            changed.emplace_back(each);
        }
    }
    std::vector<event> missing;
    for (const auto& [key, known] : entries_) {
        if (!known.is_removed && known.revision <= revision && !present.contains(key)) {
            missing.emplace_back(
                removal{.key = key, .revision = std::max(known.revision, revision)});
        }
    }
    for (auto& each : missing) {
        take(each);
        changed.push_back(std::move(each));
    }
    drop_old_markers();
    if (revision_ == 0) {
        floor_ = std::max(floor_, revision);
    }
    advance(revision);
    return changed;
}

void mirror::advance(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
}

std::vector<item> mirror::items() const {
    std::vector<item> result;
    for (const auto& [key, known] : entries_) {
        if (!known.is_removed) {
            result.push_back({.key = key, .value = known.value, .revision = known.revision});
        }
    }
    return result;
}

std::optional<std::vector<event>> mirror::changes_since(std::int64_t revision) const {
    if (revision < floor_) {
        return std::nullopt;
    }
    std::vector<event> result;
    for (const auto& [key, known] : entries_) {
        if (known.revision <= revision) {
            continue;
        }
        if (known.is_removed) {
            result.emplace_back(removal{.key = key, .revision = known.revision});
        } else {
            result.emplace_back(item{.key = key, .value = known.value, .revision = known.revision});
        }
    }
    std::ranges::sort(result, {}, &revision_of);
    return result;
}

bool mirror::take(const event& offered) {
    const auto* written = std::get_if<item>(&offered);
    const auto& key = written != nullptr ? written->key : std::get<removal>(offered).key;
    const auto revision = revision_of(offered);
    auto& known = entries_[key];
    // A removal that a range read implied bears the revision of the read, which may equal that of
    // the item itself; a repeated item must not undo it.
    const bool is_removal_of_known =
        written == nullptr && !known.is_removed && revision == known.revision && known.revision > 0;
    if (revision <= known.revision && !is_removal_of_known) {
        return false;
    }
    const bool was_absent = known.is_removed || known.revision == 0;
    markers_ -= known.is_removed ? 1 : 0;
    if (written != nullptr) {
        take(known, *written);
    } else {
        take(known, std::get<removal>(offered));
    }
    markers_ += known.is_removed ? 1 : 0;
    return written != nullptr || !was_absent;
}

void mirror::take(entry& known, const item& written) {
    const bool is_kept = !is_of_use_ || is_of_use_(written.key, written.value.size());
    known = {.value = is_kept ? written.value : std::string{},
             .revision = written.revision,
             .value_revision = written.revision,
             .is_removed = false};
}

void mirror::take(entry& known, const removal& removed) {
    if (!known.is_removed && !known.value.empty()) {
        ended_.push_back(removed.key);
    }
    known.revision = removed.revision;
    known.is_removed = true;
    if (ended_.size() > max_ended_values) {
        const auto oldest = entries_.find(ended_.front());
        if (oldest != entries_.end() && oldest->second.is_removed) {
            oldest->second.value.clear();
        }
        ended_.pop_front();
    }
}

std::vector<removed_item> mirror::removed_items() const {
    std::vector<removed_item> result;
    for (const auto& [key, known] : entries_) {
        if (known.is_removed && !known.value.empty()) {
            result.push_back(
                {.last = {.key = key, .value = known.value, .revision = known.value_revision},
                 .removed_at = known.revision});
        }
    }
    return result;
}

std::vector<event> mirror::apply_removed_items(std::span<const removed_item> told) {
    std::vector<event> changed;
    for (const auto& each : told) {
        // Whatever is known of a key here is newer, or was told by another peer.
        if (entries_.contains(each.last.key)) {
            continue;
        }
        const removal removed{.key = each.last.key, .revision = each.removed_at};
        take(each.last);
        take(removed);
        changed.emplace_back(each.last);
        changed.emplace_back(removed);
    }
    drop_old_markers();
    return changed;
}

void mirror::drop_old_markers() {
    if (markers_ <= max_markers) {
        return;
    }
    std::vector<std::int64_t> revisions;
    for (const auto& [key, known] : entries_) {
        if (known.is_removed) {
            revisions.push_back(known.revision);
        }
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::ranges::nth_element(revisions, middle);
    const auto limit = *middle;
    floor_ = std::max(floor_, limit);
    std::erase_if(entries_, [limit](const auto& each) {
        return each.second.is_removed && each.second.revision <= limit;
    });
    markers_ = static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& each) { return each.second.is_removed; }));
}

}  // namespace bramleytrack::store
