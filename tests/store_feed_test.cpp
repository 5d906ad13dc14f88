// Store: the feed keeps the mirror current despite outages, lost responses and lost history.
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
    store::mirror mirror_;
    store::feed feed_{store_, mirror_, 1};
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

    static item make_item(const char* key, std::int64_t revision) {
        return {.key = key, .value = "", .revision = revision};
    }

    // Completes the newest read with `items` as of `revision`.
    void complete_read(std::vector<item> items, std::int64_t revision, clock::time_point now) {
        store_.ranges.back().done(
            store::page{.items = std::move(items), .has_more = false, .revision = revision}, now);
    }

    void become_watching(clock::time_point now) {
        feed_.tick(now);
        complete_read({make_item("a", 3)}, 3, now);
        feed_.tick(now);
        ASSERT_EQ(store_.watches.size(), 1U);
    }
};

TEST_F(store_feed, watches_from_the_revision_of_the_first_read) {
    become_watching(start);
    EXPECT_TRUE(feed_.is_complete());
    EXPECT_EQ(store_.watches.back().revision, 3);
    EXPECT_EQ(changes_, 1U);
}

TEST_F(store_feed, watches_from_the_revision_of_the_first_page) {
    // Pages aren't a snapshot: the first page may lack changes that happened after it was read, so
    // the watch has to start at its revision.
    feed_.tick(start);
    store_.ranges[0].done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 5}, start);
    ASSERT_EQ(store_.ranges.size(), 2U);
    EXPECT_EQ(store_.ranges[1].after_key, "a");
    store_.ranges[1].done(
        store::page{.items = {make_item("b", 6)}, .has_more = false, .revision = 7}, start);
    feed_.tick(start);
    EXPECT_EQ(store_.watches.back().revision, 5);
    EXPECT_EQ(mirror_.size(), 2U);
}

TEST_F(store_feed, the_first_read_may_be_stale_and_is_no_confirmation) {
    // Guards against 600 instances that read all keys at the full price after a power failure.
    feed_.tick(start);
    EXPECT_EQ(store_.ranges.back().freshness, store::read_freshness::seconds_old);
    complete_read({make_item("a", 3)}, 3, start);
    EXPECT_TRUE(feed_.is_complete());
    EXPECT_EQ(feed_.confirmed_at(), clock::time_point{});
    feed_.reread(start);
    EXPECT_EQ(store_.ranges.back().freshness, store::read_freshness::newest);
    complete_read({make_item("a", 3)}, 3, start);
    EXPECT_EQ(feed_.confirmed_at(), start);
}

TEST_F(store_feed, a_read_has_the_lowest_revision_of_its_pages) {
    // Guards against a change that is never received because a later page was older than the first.
    feed_.tick(start);
    store_.ranges[0].done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 9}, start);
    store_.ranges[1].done(
        store::page{.items = {make_item("b", 4)}, .has_more = false, .revision = 6}, start);
    feed_.tick(start);
    EXPECT_EQ(store_.watches.back().revision, 6);
}

TEST_F(store_feed, hedges_a_first_read_that_is_late) {
    // The response to the first read is lost at startup, and nothing can be routed without one.
    // Waiting for the whole timeout would delay routing by a second.
    feed_.tick(start);
    feed_.tick(start + clock::duration{300});
    EXPECT_EQ(store_.ranges.size(), 1U);
    feed_.tick(start + clock::duration{400});
    ASSERT_EQ(store_.ranges.size(), 2U);
    complete_read({make_item("a", 3)}, 3, start + clock::duration{410});
    EXPECT_TRUE(feed_.is_complete());
    // The late response to the first read has a different state and is ignored.
    store_.ranges[0].done(store::page{.items = {}, .has_more = false, .revision = 9},
                          start + clock::duration{500});
    EXPECT_EQ(mirror_.items().size(), 1U);
}

TEST_F(store_feed, sends_no_second_request_for_a_page_whose_bytes_arrive) {
    // Guards against hundreds of starting instances that each read everything twice because the
    // store's link is full.
    feed_.tick(start);
    for (int i = 1; i <= 20; ++i) {
        store_.received_at = start + clock::duration{100} * i;
        feed_.tick(store_.received_at);
    }
    EXPECT_EQ(store_.ranges.size(), 1U);
    feed_.tick(store_.received_at + clock::duration{350});
    EXPECT_EQ(store_.ranges.size(), 2U);
}

TEST_F(store_feed, requests_only_the_missing_page_again) {
    // Guards against a start that never ends: if a lost page cost all pages before it, no read of
    // many pages would complete while one call in three fails.
    feed_.tick(start);
    store_.ranges[0].done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 5}, start);
    ASSERT_EQ(store_.ranges.size(), 2U);
    store_.ranges[1].done(result_code::store_unavailable, start);
    EXPECT_FALSE(feed_.is_complete());
    feed_.tick(start + clock::duration{100});
    ASSERT_EQ(store_.ranges.size(), 3U);
    EXPECT_EQ(store_.ranges[2].after_key, "a");
    store_.ranges[2].done(
        store::page{.items = {make_item("b", 6)}, .has_more = false, .revision = 7},
        start + clock::duration{110});
    EXPECT_TRUE(feed_.is_complete());
    EXPECT_EQ(mirror_.size(), 2U);
    EXPECT_EQ(mirror_.revision(), 5);
}

TEST_F(store_feed, drops_the_pages_of_a_read_that_was_interrupted_for_long) {
    // Guards against a watch from a revision that the store no longer has in its history.
    feed_.tick(start);
    store_.ranges[0].done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 5}, start);
    store_.ranges[1].done(result_code::store_unavailable, start);
    feed_.tick(start + clock::duration{10'100});
    ASSERT_EQ(store_.ranges.size(), 3U);
    EXPECT_EQ(store_.ranges[2].after_key, "");
}

TEST_F(store_feed, a_read_of_several_pages_confirms_the_time_of_its_first_request) {
    // Guards against a state that counts as current although its first page was read long before.
    become_watching(start);
    feed_.reread(start + clock::duration{100});
    store_.ranges.back().done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 5},
        start + clock::duration{700});
    complete_read({make_item("b", 4)}, 5, start + clock::duration{900});
    EXPECT_EQ(feed_.confirmed_at(), start + clock::duration{100});
}

TEST_F(store_feed, reports_a_store_that_is_unreachable_from_the_start) {
    // Without the report, the log of an instance that never becomes ready ends with its start.
    feed_.tick(start);
    store_.ranges.back().done(result_code::store_unavailable, start);
    ASSERT_EQ(states_.size(), 1U);
    EXPECT_FALSE(states_.back());
}

TEST_F(store_feed, stops_after_the_first_page_until_it_may_read_everything) {
    feed_.set_first_read(store::read_extent::nothing);
    feed_.tick(start);
    EXPECT_TRUE(store_.ranges.empty());
    feed_.set_first_read(store::read_extent::first_page);
    feed_.tick(start);
    store_.ranges[0].done(
        store::page{.items = {make_item("a", 3)}, .has_more = true, .revision = 5}, start);
    feed_.tick(start + clock::duration{100});
    EXPECT_EQ(store_.ranges.size(), 1U);
    feed_.set_first_read(store::read_extent::everything);
    feed_.tick(start + clock::duration{200});
    ASSERT_EQ(store_.ranges.size(), 2U);
    EXPECT_EQ(store_.ranges[1].after_key, "a");
}

TEST_F(store_feed, reads_nothing_after_a_peer_sent_the_state) {
    // Guards against a start in which each instance reads the store although a peer's copy arrived.
    feed_.tick(start);
    mirror_.replace(std::vector{make_item("a", 3), make_item("b", 4)}, 4);
    feed_.skip_first_read(start);
    store_.ranges[0].done(store::page{.items = {}, .has_more = false, .revision = 9}, start);
    EXPECT_EQ(mirror_.items().size(), 2U);
    feed_.tick(start);
    EXPECT_EQ(store_.ranges.size(), 1U);
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches[0].revision, 4);
}

TEST_F(store_feed, a_failed_watch_continues_at_its_revision_within_a_second) {
    // The store is unreachable for four seconds. If all keys were read after each failed watch, a
    // zone that was cut off would read the state as often as it has instances.
    become_watching(start);
    auto now = start + clock::duration{2'300};
    store_.watches.back().done(result_code::store_unavailable, now);
    EXPECT_EQ(states_.back(), false);
    const auto reads = store_.ranges.size();
    const auto watches = store_.watches.size();
    for (int i = 0; i < 10 && store_.watches.size() == watches; ++i) {
        now += clock::duration{100};
        feed_.tick(now);
    }
    ASSERT_GT(store_.watches.size(), watches);
    EXPECT_EQ(store_.ranges.size(), reads);
    EXPECT_EQ(store_.watches.back().revision, 3);
    store_.watches.back().done(store::watch_result{.events = {make_item("b", 8)}, .revision = 8},
                               now);
    EXPECT_EQ(states_.back(), true);
    EXPECT_EQ(feed_.unreachable_at(), now);
    EXPECT_EQ(mirror_.revision(), 8);
}

TEST_F(store_feed, reads_all_keys_when_the_history_was_lost_during_an_outage) {
    // A watch from the old revision would miss the changes made meanwhile.
    become_watching(start);
    auto now = start + clock::duration{2'300};
    store_.watches.back().done(result_code::store_unavailable, now);
    now += clock::duration{100};
    feed_.tick(now);
    ASSERT_EQ(store_.watches.size(), 2U);
    const auto reads = store_.ranges.size();
    store_.watches.back().done(result_code::history_gone, now);
    ASSERT_EQ(store_.ranges.size(), reads + 1);
    EXPECT_EQ(store_.ranges.back().freshness, store::read_freshness::newest);
    complete_read({make_item("c", 9)}, 9, now);
    EXPECT_EQ(mirror_.items().size(), 1U);
    EXPECT_EQ(states_.back(), true);
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

TEST_F(store_feed, all_keys_are_read_at_once_when_the_history_is_lost) {
    become_watching(start);
    store_.watches.back().done(result_code::history_gone, start);
    EXPECT_EQ(store_.ranges.size(), 2U);
}

TEST_F(store_feed, a_watch_without_events_confirms_the_state_at_the_end_of_its_wait) {
    // If the time of sending counted, confirmations of a store without changes would be up to two
    // waits old, and every instance would treat its watcher as stalled and watch itself.
    become_watching(start);
    const auto responded_at = start + clock::duration{1'910};
    store_.watches.back().done(store::watch_result{.events = {}, .revision = 3}, responded_at);
    EXPECT_EQ(feed_.confirmed_at(), start + clock::duration{1'900});
}

TEST_F(store_feed, several_watchers_make_as_many_calls_as_one) {
    // Guards against the cost of six watching instances of a large fleet that all receive a
    // response for each change.
    feed_.set_expected_watchers(4);
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {make_item("b", 4)}, .revision = 4},
                               start);
    EXPECT_TRUE(feed_.is_idle());
    feed_.tick(start + clock::duration{700});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{800});
    EXPECT_EQ(store_.watches.size(), 2U);
    EXPECT_FALSE(feed_.is_idle());
    // A change is never delayed by more than a second.
    feed_.set_expected_watchers(100);
    store_.watches.back().done(store::watch_result{.events = {make_item("c", 5)}, .revision = 5},
                               start + clock::duration{900});
    feed_.tick(start + clock::duration{1'900});
    EXPECT_EQ(store_.watches.size(), 3U);
}

TEST_F(store_feed, changes_in_a_burst_cost_one_call) {
    // A release changes a target every few milliseconds; a watch that restarts immediately receives
    // a response for each of them.
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {make_item("b", 4)}, .revision = 4},
                               start);
    feed_.tick(start + clock::duration{100});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{200});
    ASSERT_EQ(store_.watches.size(), 2U);
    EXPECT_EQ(store_.watches.back().revision, 4);
}

TEST_F(store_feed, pauses_between_watches_of_a_store_without_watch_support) {
    // Such a store responds to each watch at once, without events. Without a pause, 610 instances
    // would make as many calls as their connections allow.
    become_watching(start);
    store_.watches.back().done(store::watch_result{.events = {}, .revision = 3}, start);
    feed_.tick(start + clock::duration{400});
    EXPECT_EQ(store_.watches.size(), 1U);
    feed_.tick(start + clock::duration{500});
    EXPECT_EQ(store_.watches.size(), 2U);
}

TEST_F(store_feed, starts_no_watch_while_watches_are_disabled) {
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
