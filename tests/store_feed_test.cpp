// Store: an instance follows the store through outages, silence and lost history.
#include <gtest/gtest.h>

#include "store/feed.h"
#include "support/fake_store.h"

namespace bramleytrack {
namespace {

using store::event;
using store::item;

constexpr clock::time_point start = to_time_point(1'000'000);

class store_feed : public ::testing::Test {
protected:
    testing::fake_store store_;
    store::mirror known_;
    store::feed feed_{store_, known_, 1};
    std::vector<bool> states_;
    std::size_t changes_ = 0;

    void SetUp() override {
        feed_.on_change([this](std::span<const event> events, clock::time_point) {
            changes_ += events.size();
        });
        feed_.on_state([this](bool is_reachable, result_code, int, clock::time_point) {
            states_.push_back(is_reachable);
        });
    }

    static item written(const char* key, std::int64_t revision) {
        return {.key = key, .value = "", .revision = revision};
    }

    // Answers the newest read with `items` as of `revision`.
    void answer_read(std::vector<item> items, std::int64_t revision, clock::time_point now) {
        store_.ranges.back().done(
            store::page{.items = std::move(items), .has_more = false, .revision = revision}, now);
    }

    void become_watching(clock::time_point now) {
        feed_.tick(now);
        answer_read({written("a", 3)}, 3, now);
        feed_.tick(now);
        ASSERT_EQ(store_.watches.size(), 1U);
    }
};

TEST_F(store_feed, reads_everything_and_then_watches_from_there) {
    become_watching(start);
    EXPECT_TRUE(feed_.is_complete());
    EXPECT_EQ(store_.watches.back().revision, 3);
    EXPECT_EQ(changes_, 1U);
}

TEST_F(store_feed, reads_all_pages_and_watches_from_the_first) {
    // Pages aren't a snapshot: what changed after the first page was read may be missing in it, so
    // the watch has to begin there.
    feed_.tick(start);
    store_.ranges[0].done(store::page{.items = {written("a", 3)}, .has_more = true, .revision = 5},
                          start);
    ASSERT_EQ(store_.ranges.size(), 2U);
    EXPECT_EQ(store_.ranges[1].after_key, "a");
    store_.ranges[1].done(store::page{.items = {written("b", 6)}, .has_more = false, .revision = 7},
                          start);
    feed_.tick(start);
    EXPECT_EQ(store_.watches.back().revision, 5);
    EXPECT_EQ(known_.size(), 2U);
}

TEST_F(store_feed, the_first_read_may_be_old_and_confirms_nothing) {
    // Guards against 600 instances that read everything at the full price when power is back.
    feed_.tick(start);
    EXPECT_EQ(store_.ranges.back().freshness, store::read_freshness::seconds_old);
    answer_read({written("a", 3)}, 3, start);
    EXPECT_TRUE(feed_.is_complete());
    EXPECT_EQ(feed_.confirmed_at(), clock::time_point{});
    feed_.reread(start);
    EXPECT_EQ(store_.ranges.back().freshness, store::read_freshness::newest);
    answer_read({written("a", 3)}, 3, start);
    EXPECT_EQ(feed_.confirmed_at(), start);
}

TEST_F(store_feed, a_read_counts_from_its_oldest_page) {
    // Guards against a change that is missing for good: a later page was older than the first.
    feed_.tick(start);
    store_.ranges[0].done(store::page{.items = {written("a", 3)}, .has_more = true, .revision = 9},
                          start);
    store_.ranges[1].done(store::page{.items = {written("b", 4)}, .has_more = false, .revision = 6},
                          start);
    feed_.tick(start);
    EXPECT_EQ(store_.watches.back().revision, 6);
}

TEST_F(store_feed, asks_a_second_time_when_the_first_read_is_late) {
    // At the start the answer of the first read is lost, and nothing can be routed before there is
    // one. Waiting for the whole limit would add a second to the dark time.
    feed_.tick(start);
    feed_.tick(start + clock::duration{300});
    EXPECT_EQ(store_.ranges.size(), 1U);
    feed_.tick(start + clock::duration{400});
    ASSERT_EQ(store_.ranges.size(), 2U);
    answer_read({written("a", 3)}, 3, start + clock::duration{410});
    EXPECT_TRUE(feed_.is_complete());
    // The first answer comes after all, with an older state: it isn't heard any more.
    store_.ranges[0].done(store::page{.items = {}, .has_more = false, .revision = 9},
                          start + clock::duration{500});
    EXPECT_EQ(known_.items().size(), 1U);
}

TEST_F(store_feed, a_watch_that_fails_is_followed_by_a_read_within_a_second) {
    // The store is away for four seconds. Changes that it made meanwhile are missed by a watch from
    // the old revision if the history went, so everything is read.
    become_watching(start);
    auto now = start + clock::duration{2'300};
    store_.watches.back().done(result_code::store_unavailable, now);
    EXPECT_EQ(states_.back(), false);
    const auto reads = store_.ranges.size();
    for (int i = 0; i < 10 && store_.ranges.size() == reads; ++i) {
        now += clock::duration{100};
        feed_.tick(now);
    }
    ASSERT_GT(store_.ranges.size(), reads);
    answer_read({written("a", 8)}, 8, now);
    EXPECT_EQ(states_.back(), true);
    EXPECT_EQ(feed_.unreachable_at(), now);
}

TEST_F(store_feed, retries_during_a_long_outage_stay_below_one_in_400_ms) {
    feed_.tick(start);
    std::size_t before = 0;
    constexpr int ticks = 200;  // 20 s
    for (int i = 0; i < ticks; ++i) {
        const auto now = start + clock::duration{100} * i;
        if (store_.ranges.size() > before) {
            before = store_.ranges.size();
            store_.ranges.back().done(result_code::store_unavailable, now);
        }
        feed_.tick(now);
    }
    EXPECT_LE(store_.ranges.size(), 55U);
    EXPECT_GE(store_.ranges.size(), 20U);
}

TEST_F(store_feed, lost_history_is_read_anew_at_once) {
    become_watching(start);
    store_.watches.back().done(result_code::history_gone, start);
    EXPECT_EQ(store_.ranges.size(), 2U);
}

TEST_F(store_feed, a_watch_that_waited_in_vain_confirms_the_end_of_its_wait) {
    // Dated by when it was sent, the word of a quiet store would be up to twice a wait old, and
    // every instance would take its watcher for deaf and watch itself.
    become_watching(start);
    const auto answered = start + clock::duration{1'910};
    store_.watches.back().done(store::watch_result{.events = {}, .revision = 3}, answered);
    EXPECT_EQ(feed_.confirmed_at(), start + clock::duration{1'900});
}

TEST_F(store_feed, several_watchers_together_cost_what_one_does) {
    // Guards against six instances of a large fleet whose watches are all answered by each change.
    feed_.set_expected_watchers(4);
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {written("b", 4)}, .revision = 4},
                               start);
    EXPECT_TRUE(feed_.is_pausing());
    feed_.tick(start + clock::duration{700});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{800});
    EXPECT_EQ(store_.watches.size(), 2U);
    EXPECT_FALSE(feed_.is_pausing());
    // A change is never kept waiting for more than a second.
    feed_.set_expected_watchers(100);
    store_.watches.back().done(store::watch_result{.events = {written("c", 5)}, .revision = 5},
                               start + clock::duration{900});
    feed_.tick(start + clock::duration{1'900});
    EXPECT_EQ(store_.watches.size(), 3U);
}

TEST_F(store_feed, changes_that_come_together_cost_one_call) {
    // A release changes a target each few milliseconds; a watch that begins anew at once is
    // answered for each of them.
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {written("b", 4)}, .revision = 4},
                               start);
    feed_.tick(start + clock::duration{100});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{200});
    ASSERT_EQ(store_.watches.size(), 2U);
    EXPECT_EQ(store_.watches.back().revision, 4);
}

TEST_F(store_feed, a_store_that_cannot_watch_is_not_asked_without_a_pause) {
    // It answers each watch at once, without news. Asked anew at once, 610 instances would make as
    // many calls as their connections take.
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {}, .revision = 3}, start);
    feed_.tick(start + clock::duration{400});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{500});
    EXPECT_EQ(store_.watches.size(), 2U);
}

TEST_F(store_feed, begins_no_watch_while_none_is_wanted) {
    become_watching(start);
    feed_.set_watch_enabled(false);
    store_.watches.back().done(store::watch_result{.events = {}, .revision = 3}, start);
    feed_.tick(start + clock::duration{1'000});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.set_watch_enabled(true);
    feed_.tick(start + clock::duration{1'100});
    EXPECT_EQ(store_.watches.size(), 2U);
}

}  // namespace
}  // namespace bramleytrack
