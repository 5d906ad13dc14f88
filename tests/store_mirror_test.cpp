// Store: keys of the mirror never return to an older state, in whatever order items arrive.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "store/mirror.h"

namespace bramleytrack {
namespace {

using store::event;
using store::item;
using store::mirror;
using store::removal;

item make_item(const char* key, std::int64_t revision) {
    return {.key = key, .value = std::to_string(revision), .revision = revision};
}

TEST(store_mirror, an_older_revision_is_ignored) {
    // A watch reports revision 9; then a peer that was isolated responds with revision 7. Routing
    // by the older value would undo a change of the operators.
    mirror subject;
    subject.apply(std::vector<event>{make_item("a", 9)});
    EXPECT_TRUE(subject.apply(std::vector<event>{make_item("a", 7)}).empty());
    ASSERT_EQ(subject.items().size(), 1U);
    EXPECT_EQ(subject.items().front().revision, 9);
}

TEST(store_mirror, an_older_item_does_not_restore_a_removed_key) {
    // A target is removed; a peer that hasn't received the removal still lists it.
    mirror subject;
    subject.apply(std::vector<event>{make_item("a", 3), removal{.key = "a", .revision = 5}});
    EXPECT_TRUE(subject.apply(std::vector<event>{make_item("a", 4)}).empty());
    EXPECT_TRUE(subject.items().empty());
    EXPECT_EQ(subject.apply(std::vector<event>{make_item("a", 6)}).size(), 1U);
}

TEST(store_mirror, a_read_removes_keys_that_it_lacks) {
    mirror subject;
    subject.replace(std::vector{make_item("a", 1), make_item("b", 2)}, 2);
    const auto changed = subject.replace(std::vector{make_item("b", 2)}, 6);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(std::get<removal>(changed.front()).key, "a");
    EXPECT_EQ(subject.revision(), 6);
}

TEST(store_mirror, a_read_does_not_remove_keys_with_a_later_revision) {
    // The read began at revision 4 and took long; meanwhile a peer reported a target that
    // registered at revision 5.
    mirror subject;
    subject.replace(std::vector{make_item("a", 1)}, 1);
    subject.apply(std::vector<event>{make_item("b", 5)});
    EXPECT_TRUE(subject.replace(std::vector{make_item("a", 1)}, 4).empty());
    EXPECT_EQ(subject.items().size(), 2U);
}

TEST(store_mirror, a_removal_implied_by_a_read_is_not_undone_by_the_same_item) {
    // A page was read just before the target's last change of that revision. Receiving the item
    // again with the revision of the removal must not list the target again.
    mirror subject;
    subject.replace(std::vector{make_item("a", 4)}, 4);
    ASSERT_EQ(subject.replace({}, 4).size(), 1U);
    EXPECT_TRUE(subject.apply(std::vector<event>{make_item("a", 4)}).empty());
    EXPECT_TRUE(subject.items().empty());
}

TEST(store_mirror, returns_the_changes_or_nothing_if_they_are_incomplete) {
    mirror subject;
    subject.replace(std::vector{make_item("a", 4)}, 4);
    subject.apply(std::vector<event>{make_item("b", 5), removal{.key = "a", .revision = 6}});
    const auto changes = subject.changes_since(5);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(store::revision_of(changes->front()), 6);
    // Changes before the first read aren't in the history.
    EXPECT_FALSE(subject.changes_since(3));
}

TEST(store_mirror, returns_only_the_newest_event_of_a_key) {
    // Many configurations of 200 KB each are written in a row. A peer that missed twenty needs only
    // the last one; sending all saturated the links of small instances, and callers' packets were
    // lost.
    mirror subject;
    subject.replace({}, 1);
    constexpr std::int64_t many = 1'000;
    for (std::int64_t revision = 2; revision < many; ++revision) {
        subject.apply(std::vector<event>{make_item("a", revision)});
    }
    const auto changes = subject.changes_since(1);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(store::revision_of(changes->front()), many - 1);
}

TEST(store_mirror, returns_nothing_when_removals_may_be_missing) {
    // Tombstones were dropped: a peer that still holds one of the removed keys would keep it.
    mirror subject;
    subject.replace({}, 1);
    constexpr std::int64_t many = 30'000;
    for (std::int64_t revision = 2; revision < many; revision += 2) {
        const auto key = "key-" + std::to_string(revision);
        subject.apply(std::vector<event>{make_item(key.c_str(), revision),
                                         removal{.key = key, .revision = revision + 1}});
    }
    EXPECT_FALSE(subject.changes_since(1));
    EXPECT_TRUE(subject.changes_since(many - 2));
}

TEST(store_mirror, bounds_the_number_of_tombstones) {
    mirror subject;
    constexpr std::int64_t many = 30'000;
    for (std::int64_t revision = 1; revision < many; revision += 2) {
        const auto key = "key-" + std::to_string(revision);
        subject.apply(std::vector<event>{item{.key = key, .value = {}, .revision = revision},
                                         removal{.key = key, .revision = revision + 1}});
    }
    EXPECT_LE(subject.size(), 10'001U);
}

// Another writer repeatedly writes a megabyte under a key of its own. Every instance kept the value
// and sent it to each peer that pulled changes: links of 10 Mbit/s were saturated for a second each
// time.
TEST(store_mirror, keeps_the_key_but_not_the_value_of_an_irrelevant_item) {
    mirror subject{[](std::string_view key, std::size_t size) { return key != "b" && size < 100; }};
    const item large{.key = "a", .value = std::string(1'000'000, 'x'), .revision = 3};
    const item unrelated{.key = "b", .value = "x", .revision = 4};
    EXPECT_EQ(subject.apply(std::vector<event>{large, unrelated, make_item("c", 5)}).size(), 3U);
    const auto received = subject.changes_since(0);
    ASSERT_TRUE(received.has_value());
    ASSERT_EQ(received->size(), 3U);
    EXPECT_EQ(std::get<item>(received->at(0)).value, "");
    EXPECT_EQ(std::get<item>(received->at(1)).value, "");
    EXPECT_EQ(std::get<item>(received->at(2)).value, "5");
    // The revision is kept: an older item under the key must not be applied.
    EXPECT_TRUE(subject.apply(std::vector<event>{make_item("a", 2)}).empty());
}

// Half of the targets' heartbeats are lost, and entries of live targets expire. An instance that
// has just started never received these entries: without the removed items of a peer it drops the
// packets of their open flows until their next heartbeat.
TEST(store_mirror, provides_removed_items_to_an_instance_that_has_just_started) {
    mirror subject;
    subject.replace(std::vector{make_item("a", 4), make_item("b", 5)}, 5);
    subject.apply(std::vector<event>{removal{.key = "a", .revision = 7}});
    const auto received = subject.removed_items();
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received.front(),
              (store::removed_item{.last = make_item("a", 4), .removal_revision = 7}));

    mirror new_mirror;
    new_mirror.replace(std::vector{make_item("b", 5)}, 7);
    const auto changed = new_mirror.apply_removed_items(received);
    ASSERT_EQ(changed.size(), 2U);
    EXPECT_EQ(std::get<item>(changed[0]), make_item("a", 4));
    EXPECT_EQ(std::get<removal>(changed[1]).revision, 7);
    EXPECT_EQ(new_mirror.items().size(), 1U);
    EXPECT_EQ(new_mirror.removed_items(), received);
    // A second peer sends the same, and nothing changes.
    EXPECT_TRUE(new_mirror.apply_removed_items(received).empty());
    // The target's next heartbeat lists it again.
    EXPECT_EQ(new_mirror.apply(std::vector<event>{make_item("a", 9)}).size(), 1U);
    EXPECT_TRUE(new_mirror.removed_items().empty());
}

TEST(store_mirror, removed_items_of_a_peer_do_not_replace_a_stored_item) {
    mirror new_mirror;
    new_mirror.replace(std::vector{make_item("a", 9)}, 9);
    EXPECT_TRUE(new_mirror
                    .apply_removed_items(std::vector<store::removed_item>{
                        {.last = make_item("a", 4), .removal_revision = 7}})
                    .empty());
    EXPECT_EQ(new_mirror.items().size(), 1U);
}

TEST(store_mirror, bounds_the_number_of_kept_values_of_removed_keys) {
    mirror subject;
    constexpr std::int64_t many = 5'000;
    for (std::int64_t i = 1; i <= many; ++i) {
        const auto key = "k" + std::to_string(i);
        subject.apply(std::vector<event>{item{.key = key, .value = "v", .revision = 2 * i},
                                         removal{.key = key, .revision = 2 * i + 1}});
    }
    EXPECT_EQ(subject.removed_items().size(), 2'000U);
}

TEST(store_mirror, returns_the_newest_event_of_each_key_in_the_order_of_revisions) {
    // Guards against changes that a peer never receives, or receives in an order in which a later
    // state is followed by an older one.
    std::minstd_rand random{1};
    store::mirror subject;
    std::map<std::string, store::event> newest;
    for (std::int64_t revision = 1; revision <= 500; ++revision) {
        const auto key = "key-" + std::to_string(random() % 30);
        const auto update =
            random() % 4 == 0
                ? store::event{store::removal{.key = key, .revision = revision}}
                : store::event{store::item{.key = key, .value = "v", .revision = revision}};
        subject.apply(std::vector{update});
        newest[key] = update;
        const auto after = static_cast<std::int64_t>(random()) % revision;
        std::vector<store::event> expected;
        for (const auto& [name, each] : newest) {
            if (store::revision_of(each) > after) {
                expected.push_back(each);
            }
        }
        std::ranges::sort(expected, {}, &store::revision_of);
        ASSERT_EQ(subject.changes_since(after), expected);
    }
}

}  // namespace
}  // namespace bramleytrack
