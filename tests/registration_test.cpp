// Discovery: an instance keeps its entry in the store, through lost answers and lapsed leases.
#include "discovery/registration.h"

#include <gtest/gtest.h>

#include "support/fake_store.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration beat{100};

class registration_test : public ::testing::Test {
protected:
    testing::fake_store store_;
    discovery::registration subject_{store_, "key", "value", 1};

    void become_held() {
        subject_.tick(start);
        store_.leases.back().done(store::lease{.number = 7, .lifetime = clock::duration{15'000}},
                                  start);
        store_.commits.back().done(store::committed{.revision = 3}, start);
        ASSERT_TRUE(subject_.is_held());
    }
};

TEST_F(registration_test, writes_its_entry_under_a_lease) {
    become_held();
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(store_.commits[0].wanted.writes.front().lease, 7);
    EXPECT_EQ(store_.commits[0].wanted.writes.front().key, "key");
}

TEST_F(registration_test, writes_again_when_the_answer_was_lost) {
    // The write took effect and its answer was lost. Writing the same entry again does no harm.
    subject_.tick(start);
    store_.leases.back().done(store::lease{.number = 7, .lifetime = clock::duration{15'000}},
                              start);
    store_.commits.back().done(result_code::store_unavailable, start);
    EXPECT_FALSE(subject_.is_held());
    subject_.tick(start + clock::duration{1'000});
    ASSERT_EQ(store_.commits.size(), 2U);
    store_.commits.back().done(store::committed{.revision = 4}, start);
    EXPECT_TRUE(subject_.is_held());
}

TEST_F(registration_test, goes_on_with_the_entry_from_before_its_last_start) {
    // Guards against a fleet that writes all its entries anew when power is back.
    subject_.adopt("value", 9);
    subject_.tick(start);
    ASSERT_EQ(store_.leases.size(), 1U);
    EXPECT_EQ(store_.leases.back().number, 9);
    EXPECT_FALSE(subject_.is_held());
    store_.leases.back().done(store::lease{.number = 9, .lifetime = clock::duration{15'000}},
                              start);
    EXPECT_TRUE(subject_.is_held());
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(registration_test, registers_anew_when_the_old_lease_has_ended_meanwhile) {
    subject_.adopt("value", 9);
    subject_.tick(start);
    store_.leases.back().done(result_code::lease_ended, start);
    subject_.tick(start + clock::duration{500});
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, leaves_an_old_entry_with_another_address_alone) {
    // Guards against peers that go on talking to the address of the instance that was replaced.
    subject_.adopt("another value", 9);
    subject_.adopt("value", 0);
    subject_.tick(start);
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, registers_anew_when_the_lease_has_ended) {
    become_held();
    subject_.tick(start + clock::duration{5'000});
    ASSERT_EQ(store_.leases.size(), 2U);
    EXPECT_EQ(store_.leases.back().number, 7);
    store_.leases.back().done(result_code::lease_ended, start + clock::duration{5'000});
    EXPECT_FALSE(subject_.is_held());
    subject_.tick(start + clock::duration{5'500});
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, registers_anew_when_its_entry_was_taken_away) {
    become_held();
    subject_.on_entry_removed(start + beat);
    EXPECT_FALSE(subject_.is_held());
    subject_.tick(start + 2 * beat);
    EXPECT_EQ(store_.leases.back().number, 0);
}

TEST_F(registration_test, does_not_take_itself_for_registered_beyond_its_lease) {
    // The store is away for longer than the lease lives: peers have taken over what this instance
    // owned, and it must not go on as before.
    become_held();
    for (auto now = start; now < start + clock::duration{15'000}; now += beat) {
        const auto calls = store_.leases.size();
        subject_.tick(now);
        if (store_.leases.size() > calls) {
            store_.leases.back().done(result_code::store_unavailable, now);
        }
    }
    EXPECT_TRUE(subject_.is_held());
    subject_.tick(start + clock::duration{15'000});
    EXPECT_FALSE(subject_.is_held());
}

TEST_F(registration_test, removes_its_entry_at_the_end) {
    become_held();
    subject_.end(start + beat);
    ASSERT_EQ(store_.ended_leases.size(), 1U);
    EXPECT_EQ(store_.ended_leases.front(), 7);
    subject_.tick(start + clock::duration{9'000});
    EXPECT_EQ(store_.leases.size(), 1U);
}

}  // namespace
}  // namespace bramleytrack
