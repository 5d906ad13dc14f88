// Discovery: an instance keeps its entry in the store despite lost responses and expired leases.
#include "discovery/registration.h"

#include <gtest/gtest.h>

#include "support/fake_store.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration tick_interval{100};

class registration_test : public ::testing::Test {
protected:
    testing::fake_store store_;
    discovery::registration subject_{store_, "key", "value", 1};

    void become_registered() {
        subject_.tick(start);
        store_.leases.back().done(store::lease{.number = 7, .lifetime = clock::duration{15'000}},
                                  start);
        store_.commits.back().done(store::committed{.revision = 3}, start);
        ASSERT_TRUE(subject_.is_registered());
    }
};

TEST_F(registration_test, writes_its_entry_under_a_lease) {
    become_registered();
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(store_.commits[0].request.writes.front().lease, 7);
    EXPECT_EQ(store_.commits[0].request.writes.front().key, "key");
}

TEST_F(registration_test, repeats_the_write_after_a_lost_response) {
    // The write took effect, but its response was lost. Writing the same entry again is harmless.
    subject_.tick(start);
    store_.leases.back().done(store::lease{.number = 7, .lifetime = clock::duration{15'000}},
                              start);
    store_.commits.back().done(result_code::store_unavailable, start);
    EXPECT_FALSE(subject_.is_registered());
    subject_.tick(start + clock::duration{1'000});
    ASSERT_EQ(store_.commits.size(), 2U);
    store_.commits.back().done(store::committed{.revision = 4}, start);
    EXPECT_TRUE(subject_.is_registered());
}

TEST_F(registration_test, renews_the_lease_of_an_entry_from_before_a_restart) {
    // Guards against a fleet that rewrites all of its entries after a power failure.
    subject_.adopt_lease("value", 9);
    subject_.tick(start);
    ASSERT_EQ(store_.leases.size(), 1U);
    EXPECT_EQ(store_.leases.back().number, 9);
    EXPECT_FALSE(subject_.is_registered());
    store_.leases.back().done(store::lease{.number = 9, .lifetime = clock::duration{15'000}},
                              start);
    EXPECT_TRUE(subject_.is_registered());
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(registration_test, registers_again_when_the_adopted_lease_has_expired) {
    subject_.adopt_lease("value", 9);
    subject_.tick(start);
    store_.leases.back().done(result_code::lease_ended, start);
    subject_.tick(start + clock::duration{500});
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, does_not_adopt_an_entry_with_another_value) {
    // Guards against peers that continue to send to the address of an instance that was replaced.
    subject_.adopt_lease("another value", 9);
    subject_.adopt_lease("value", 0);
    subject_.tick(start);
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, registers_again_when_the_lease_has_expired) {
    become_registered();
    subject_.tick(start + clock::duration{5'000});
    ASSERT_EQ(store_.leases.size(), 2U);
    EXPECT_EQ(store_.leases.back().number, 7);
    store_.leases.back().done(result_code::lease_ended, start + clock::duration{5'000});
    EXPECT_FALSE(subject_.is_registered());
    subject_.tick(start + clock::duration{5'500});
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, registers_again_when_its_entry_was_removed) {
    become_registered();
    subject_.on_entry_removed(start + tick_interval);
    EXPECT_FALSE(subject_.is_registered());
    subject_.tick(start + 2 * tick_interval);
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, is_not_registered_after_its_lease_has_expired) {
    // The store is unreachable for longer than the lease is valid. By then peers own the cold
    // targets of this instance, so it must not continue to act as their owner.
    become_registered();
    for (auto now = start; now < start + clock::duration{15'000}; now += tick_interval) {
        const auto calls = store_.leases.size();
        subject_.tick(now);
        if (store_.leases.size() > calls) {
            store_.leases.back().done(result_code::store_unavailable, now);
        }
    }
    EXPECT_TRUE(subject_.is_registered());
    subject_.tick(start + clock::duration{15'000});
    EXPECT_FALSE(subject_.is_registered());
}

TEST_F(registration_test, ends_its_lease_on_deregistration) {
    become_registered();
    subject_.deregister(start + tick_interval);
    ASSERT_EQ(store_.ended_leases.size(), 1U);
    EXPECT_EQ(store_.ended_leases.front(), 7);
    subject_.tick(start + clock::duration{9'000});
    EXPECT_EQ(store_.leases.size(), 1U);
}

}  // namespace
}  // namespace bramleytrack
