// Store: what an instance holds of it never goes back, whatever the order of its sources.
#include <gtest/gtest.h>

#include "store/mirror.h"

namespace bramleytrack {
namespace {

using store::event;
using store::item;
using store::mirror;
using store::removal;

item written(const char* key, std::int64_t revision) {
    return {.key = key, .value = std::to_string(revision), .revision = revision};
}

TEST(store_mirror, an_older_word_changes_nothing) {
    // A watch tells of revision 9; then a peer that was cut off answers with revision 7. Routing by
    // the older value would send callers where operators no longer want them.
    mirror known;
    known.apply(std::vector<event>{written("a", 9)});
    EXPECT_TRUE(known.apply(std::vector<event>{written("a", 7)}).empty());
    ASSERT_EQ(known.items().size(), 1U);
    EXPECT_EQ(known.items().front().revision, 9);
}

TEST(store_mirror, a_removed_key_does_not_come_back_with_an_older_item) {
    // A target leaves; a peer that hasn't heard still lists it.
    mirror known;
    known.apply(std::vector<event>{written("a", 3), removal{.key = "a", .revision = 5}});
    EXPECT_TRUE(known.apply(std::vector<event>{written("a", 4)}).empty());
    EXPECT_TRUE(known.items().empty());
    EXPECT_EQ(known.apply(std::vector<event>{written("a", 6)}).size(), 1U);
}

TEST(store_mirror, a_read_removes_what_it_does_not_hold) {
    mirror known;
    known.replace(std::vector{written("a", 1), written("b", 2)}, 2);
    const auto changed = known.replace(std::vector{written("b", 2)}, 6);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(std::get<removal>(changed.front()).key, "a");
    EXPECT_EQ(known.revision(), 6);
}

TEST(store_mirror, a_read_does_not_remove_what_came_later) {
    // The read began at revision 4 and took long; meanwhile a peer told of a target that registered
    // at revision 5.
    mirror known;
    known.replace(std::vector{written("a", 1)}, 1);
    known.apply(std::vector<event>{written("b", 5)});
    EXPECT_TRUE(known.replace(std::vector{written("a", 1)}, 4).empty());
    EXPECT_EQ(known.items().size(), 2U);
}

TEST(store_mirror, a_read_that_implied_a_removal_is_not_undone_by_the_same_item) {
    // A page was read just before the target's last change of that revision; a repeat of the item
    // with the revision of the removal must not list the target again.
    mirror known;
    known.replace(std::vector{written("a", 4)}, 4);
    ASSERT_EQ(known.replace({}, 4).size(), 1U);
    EXPECT_TRUE(known.apply(std::vector<event>{written("a", 4)}).empty());
    EXPECT_TRUE(known.items().empty());
}

TEST(store_mirror, tells_a_peer_what_changed_or_that_it_cannot) {
    mirror known;
    known.replace(std::vector{written("a", 4)}, 4);
    known.apply(std::vector<event>{written("b", 5), removal{.key = "a", .revision = 6}});
    const auto changes = known.changes_since(5);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(store::revision_of(changes->front()), 6);
    // What was there at the first read isn't in the history.
    EXPECT_FALSE(known.changes_since(3));
}

TEST(store_mirror, tells_only_the_newest_word_on_a_key) {
    // A storm of configurations of 200 KB each: a peer that missed twenty needs the last one.
    // Sending all filled the links of small instances, and callers' packets were lost.
    mirror known;
    known.replace({}, 1);
    constexpr std::int64_t many = 1'000;
    for (std::int64_t revision = 2; revision < many; ++revision) {
        known.apply(std::vector<event>{written("a", revision)});
    }
    const auto changes = known.changes_since(1);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(store::revision_of(changes->front()), many - 1);
}

TEST(store_mirror, says_when_removals_may_be_missing) {
    // Markers of removed keys were dropped: a peer that still has one of the keys would keep it.
    mirror known;
    known.replace({}, 1);
    constexpr std::int64_t many = 30'000;
    for (std::int64_t revision = 2; revision < many; revision += 2) {
        const auto key = "key-" + std::to_string(revision);
        known.apply(std::vector<event>{written(key.c_str(), revision),
                                       removal{.key = key, .revision = revision + 1}});
    }
    EXPECT_FALSE(known.changes_since(1));
    EXPECT_TRUE(known.changes_since(many - 2));
}

TEST(store_mirror, bounds_the_markers_of_removed_keys) {
    mirror known;
    constexpr std::int64_t many = 30'000;
    for (std::int64_t revision = 1; revision < many; revision += 2) {
        const auto key = "key-" + std::to_string(revision);
        known.apply(std::vector<event>{item{.key = key, .value = {}, .revision = revision},
                                       removal{.key = key, .revision = revision + 1}});
    }
    EXPECT_LE(known.size(), 10'001U);
}

// Another writer puts a megabyte under a key of its own, again and again. Every instance kept it,
// and told it to each peer that asked: links of 10 Mbit/s were full for a second a time.
TEST(store_mirror, keeps_the_key_but_not_a_value_that_is_of_no_use) {
    mirror known{[](std::string_view key, std::size_t size) { return key != "b" && size < 100; }};
    const item large{.key = "a", .value = std::string(1'000'000, 'x'), .revision = 3};
    const item unrelated{.key = "b", .value = "x", .revision = 4};
    EXPECT_EQ(known.apply(std::vector<event>{large, unrelated, written("c", 5)}).size(), 3U);
    const auto told = known.changes_since(0);
    ASSERT_TRUE(told.has_value());
    ASSERT_EQ(told->size(), 3U);
    EXPECT_EQ(std::get<item>(told->at(0)).value, "");
    EXPECT_EQ(std::get<item>(told->at(1)).value, "");
    EXPECT_EQ(std::get<item>(told->at(2)).value, "5");
    // The revision still counts: an older word on the key must not come back.
    EXPECT_TRUE(known.apply(std::vector<event>{written("a", 2)}).empty());
}

// Half of the targets' heartbeats are lost, and entries of live targets go. An instance that starts
// then has never seen them: it drops the packets of their open flows until their next heartbeat.
TEST(store_mirror, tells_a_newcomer_what_stood_under_keys_that_went) {
    mirror known;
    known.replace(std::vector{written("a", 4), written("b", 5)}, 5);
    known.apply(std::vector<event>{removal{.key = "a", .revision = 7}});
    const auto told = known.removed_items();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front(), (store::removed_item{.last = written("a", 4), .removed_at = 7}));

    mirror newcomer;
    newcomer.replace(std::vector{written("b", 5)}, 7);
    const auto changed = newcomer.apply_removed_items(told);
    ASSERT_EQ(changed.size(), 2U);
    EXPECT_EQ(std::get<item>(changed[0]), written("a", 4));
    EXPECT_EQ(std::get<removal>(changed[1]).revision, 7);
    EXPECT_EQ(newcomer.items().size(), 1U);
    EXPECT_EQ(newcomer.removed_items(), told);
    // A second peer tells the same, and nothing changes.
    EXPECT_TRUE(newcomer.apply_removed_items(told).empty());
    // Its next heartbeat lists it again.
    EXPECT_EQ(newcomer.apply(std::vector<event>{written("a", 9)}).size(), 1U);
    EXPECT_TRUE(newcomer.removed_items().empty());
}

TEST(store_mirror, what_is_known_is_not_undone_by_what_a_peer_remembers) {
    mirror newcomer;
    newcomer.replace(std::vector{written("a", 9)}, 9);
    EXPECT_TRUE(newcomer
                    .apply_removed_items(std::vector<store::removed_item>{
                        {.last = written("a", 4), .removed_at = 7}})
                    .empty());
    EXPECT_EQ(newcomer.items().size(), 1U);
}

TEST(store_mirror, remembers_a_bounded_number_of_values_that_went) {
    mirror known;
    constexpr std::int64_t many = 5'000;
    for (std::int64_t i = 1; i <= many; ++i) {
        const auto key = "k" + std::to_string(i);
        known.apply(std::vector<event>{item{.key = key, .value = "v", .revision = 2 * i},
                                       removal{.key = key, .revision = 2 * i + 1}});
    }
    EXPECT_EQ(known.removed_items().size(), 2'000U);
}

}  // namespace
}  // namespace bramleytrack
