// Store: the call rate of a watch on one key, and that it misses no change.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "store/key_watch.h"
#include "support/fake_store.h"

namespace bramleytrack {
namespace {

using store::item;
using store::lookup_result;
using store::watch_result;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration response_delay{5};
const std::string key = "configuration";

class store_watch : public ::testing::Test {
protected:
    testing::fake_store store_;
    store::key_watch subject_{store_, key, 1};
    std::vector<item> reported_values_;
    clock::time_point now_ = start;

    void SetUp() override {
        subject_.on_value(
            [this](const item& value, clock::time_point) { reported_values_.push_back(value); });
        subject_.tick(now_);
    }
    static item value(std::int64_t revision) {
        return {.key = key, .value = "{}", .revision = revision};
    }
    void complete_read(std::int64_t revision) {
        store_.gets.back().done(lookup_result{.content = value(revision), .revision = revision},
                                now_);
    }
    // Ticks until the next call is made, for at most ten seconds; returns the elapsed time.
    clock::duration wait_for_call() {
        const auto calls = store_.gets.size() + store_.watches.size();
        const auto begin = now_;
        while (store_.gets.size() + store_.watches.size() == calls &&
               now_ - begin < clock::duration{10'000}) {
            subject_.tick(now_);
            now_ += clock::duration{1};
        }
        return now_ - begin;
    }
};

TEST_F(store_watch, watches_from_the_revision_that_was_read) {
    complete_read(8);
    ASSERT_EQ(reported_values_.size(), 1U);
    wait_for_call();
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches.back().revision, 8);
    store_.watches.back().done(watch_result{.events = {value(9)}, .revision = 9}, now_);
    EXPECT_EQ(reported_values_.back().revision, 9);
    wait_for_call();
    EXPECT_EQ(store_.watches.back().revision, 9);
}

TEST_F(store_watch, a_rejected_value_is_not_read_repeatedly) {
    // An operator writes a configuration that this release rejects. Its version stays above the
    // applied one, so each watch from the applied version returned it at once: 20 reads a second of
    // the whole text, until an operator corrected it. The watch therefore continues after the
    // highest revision received, whether or not the value was accepted.
    complete_read(8);
    for (int i = 0; i < 3; ++i) {
        wait_for_call();
        EXPECT_EQ(store_.watches.back().revision, 8);
        now_ += clock::duration{20'000};
        store_.watches.back().done(watch_result{.events = {}, .revision = 8}, now_);
    }
    EXPECT_EQ(reported_values_.size(), 1U);
    EXPECT_EQ(store_.gets.size(), 1U);
}

TEST_F(store_watch, changes_of_other_keys_with_the_same_prefix_are_not_reported) {
    complete_read(8);
    wait_for_call();
    store_.watches.back().done(
        watch_result{.events = {item{.key = key + "/draft", .value = "x", .revision = 9}},
                     .revision = 9},
        now_);
    EXPECT_EQ(reported_values_.size(), 1U);
}

TEST_F(store_watch, retries_of_a_fleet_are_spread_during_an_outage) {
    // The store is unreachable for two minutes for 610 daemons. With a retry each second they make
    // 610 calls a second, all at the same moment, because the outage ended all watches at once.
    constexpr int daemons = 610;
    constexpr clock::duration outage{120'000};
    constexpr clock::duration step{5};
    constexpr clock::duration::rep bucket = 100;
    std::vector<int> calls(outage.count() / bucket + 1);
    int total = 0;
    for (int i = 0; i < daemons; ++i) {
        testing::fake_store store;
        store::key_watch daemon{store, key, static_cast<std::uint64_t>(i)};
        std::size_t responses_sent = 0;
        for (clock::duration at{0}; at < outage; at += step) {
            daemon.tick(start + at);
            while (responses_sent < store.gets.size()) {
                ++calls[static_cast<std::size_t>(at.count() / bucket)];
                ++total;
                store.gets[responses_sent++].done(result_code::store_unavailable,
                                                  start + at + response_delay);
            }
        }
    }
    RecordProperty("calls_a_second", static_cast<int>(total * 1000L / outage.count()));
    EXPECT_LT(total * 1000L / outage.count(), 250);
    const auto steady = calls.begin() + 10'000 / bucket;
    RecordProperty("most_in_100_ms", *std::max_element(steady, calls.end()));
    EXPECT_LT(*std::max_element(steady, calls.end()), 60);
}

TEST_F(store_watch, an_early_empty_response_delays_the_next_watch) {
    complete_read(8);
    wait_for_call();
    store_.watches.back().done(watch_result{.events = {}, .revision = 8}, now_ + response_delay);
    EXPECT_GE(wait_for_call(), clock::duration{500});
    now_ += clock::duration{20'000};
    store_.watches.back().done(watch_result{.events = {}, .revision = 8}, now_);
    EXPECT_LE(wait_for_call(), clock::duration{60});
}

TEST_F(store_watch, reports_the_value_again_after_a_reread) {
    complete_read(8);
    wait_for_call();
    subject_.reread();
    store_.watches.back().done(watch_result{.events = {}, .revision = 8},
                               now_ + clock::duration{20'000});
    now_ += clock::duration{20'000};
    wait_for_call();
    ASSERT_EQ(store_.gets.size(), 2U);
    complete_read(8);
    EXPECT_EQ(reported_values_.size(), 2U);
    wait_for_call();
    EXPECT_EQ(store_.watches.back().revision, 8);
}

TEST_F(store_watch, lost_history_leads_to_a_read_after_a_pause) {
    // The store loses its history while the key doesn't exist: each read finds no item and each
    // watch is rejected. Without a pause, calls would follow each other immediately.
    store_.gets.back().done(lookup_result{.content = std::nullopt, .revision = 0}, now_);
    wait_for_call();
    store_.watches.back().done(result_code::history_gone, now_);
    EXPECT_GE(wait_for_call(), clock::duration{250});
    EXPECT_EQ(store_.gets.size(), 2U);
}

}  // namespace
}  // namespace bramleytrack
