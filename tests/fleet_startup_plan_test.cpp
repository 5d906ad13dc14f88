// Fleet: from where an instance that has just started receives the state.
#include <gtest/gtest.h>

#include <set>

#include "discovery/peer_shard.h"
#include "fleet/startup_plan.h"
#include "fleet/transfer_budget.h"

namespace bramleytrack {
namespace {

using discovery::peer_entry;
using fleet::startup_plan;
using store::read_extent;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr double small_link = 20;
constexpr double large_link = 200;

clock::time_point after(std::int64_t milliseconds) {
    return start + clock::duration{milliseconds};
}

peer_entry member(const std::string& name, double link_mbps = small_link) {
    return {.name = name,
            .zone = "z",
            .address = name + ":1",
            .pull_address = name + ":2",
            .link_mbps = link_mbps};
}

std::vector<peer_entry> members_of_a_shard(int others, double link_mbps = small_link) {
    std::vector<peer_entry> result{member("self")};
    for (int i = 0; i < others; ++i) {
        result.push_back(member("peer-" + std::to_string(i), link_mbps));
    }
    return result;
}

class fleet_startup_plan : public ::testing::Test {
protected:
    startup_plan subject_{"self", small_link, {"10.0.0.1:1", "10.0.0.2:1"}, 1};

    void list(std::span<const peer_entry> members, clock::time_point now = start) {
        const auto shard = subject_.next_listing({}, now);
        ASSERT_TRUE(shard.has_value());
        subject_.on_listed(*shard, members, now);
    }
};

TEST_F(fleet_startup_plan, lists_its_own_shard_before_it_reads) {
    EXPECT_EQ(subject_.next_listing({}, start), discovery::peer_shard("self"));
    EXPECT_EQ(subject_.allowed_read(start), read_extent::nothing);
    EXPECT_FALSE(subject_.next_listing({}, start).has_value());
}

TEST_F(fleet_startup_plan, repeats_a_listing_only_when_no_byte_arrives) {
    // Guards against thousands of repeated listings that fill the store's link at a start of all.
    ASSERT_TRUE(subject_.next_listing({}, start).has_value());
    EXPECT_FALSE(subject_.next_listing(after(300), after(500)).has_value());
    EXPECT_TRUE(subject_.next_listing(after(300), after(650)).has_value());
}

TEST_F(fleet_startup_plan, repeats_listings_less_often_during_an_outage) {
    // Guards against a fleet that starts without the store and makes thousands of calls a second.
    int listings = 0;
    for (std::int64_t now = 0; now < 60'000; now += 100) {
        listings += subject_.next_listing({}, after(now)).has_value() ? 1 : 0;
    }
    EXPECT_LE(listings, 75);
    EXPECT_GE(listings, 40);
}

TEST_F(fleet_startup_plan, a_member_of_a_small_fleet_reads_the_store_at_once) {
    list(members_of_a_shard(7));
    EXPECT_EQ(subject_.allowed_read(start), read_extent::everything);
}

TEST_F(fleet_startup_plan, the_member_with_the_fastest_link_reads_first) {
    startup_plan large{"self", large_link, {}, 1};
    const auto shard = large.next_listing({}, start);
    auto members = members_of_a_shard(100);
    members.front().link_mbps = large_link;
    large.on_listed(*shard, members, start);
    EXPECT_EQ(large.allowed_read(start), read_extent::everything);
    list(members_of_a_shard(100, large_link));
    EXPECT_EQ(subject_.allowed_read(start), read_extent::nothing);
}

TEST_F(fleet_startup_plan, reads_itself_when_all_readers_have_stopped) {
    // Guards against an instance that waits forever for peers that no longer run.
    list(members_of_a_shard(100, large_link));
    EXPECT_EQ(subject_.allowed_read(after(59'000)), read_extent::nothing);
    EXPECT_EQ(subject_.allowed_read(after(60'000)), read_extent::everything);
}

TEST_F(fleet_startup_plan, waits_while_a_member_is_reading_or_busy) {
    // Guards against a store that all read at last because the first readers are slow.
    list(members_of_a_shard(100, large_link));
    for (std::int64_t second = 1; second <= 100; ++second) {
        subject_.on_source_expected(after(second * 1'000));
    }
    EXPECT_EQ(subject_.allowed_read(after(100'000)), read_extent::nothing);
    EXPECT_EQ(subject_.allowed_read(after(160'000)), read_extent::everything);
}

TEST_F(fleet_startup_plan, lists_again_when_it_is_not_registered_yet) {
    // After a long power loss the registrations have expired, and all register anew.
    list({});
    EXPECT_EQ(subject_.allowed_read(start), read_extent::first_page);
    EXPECT_FALSE(subject_.next_listing({}, after(500)).has_value());
    list(members_of_a_shard(100, large_link), after(600));
    EXPECT_EQ(subject_.allowed_read(after(600)), read_extent::nothing);
}

TEST_F(fleet_startup_plan, lists_a_further_shard_when_its_own_has_no_source) {
    list(members_of_a_shard(100, large_link));
    EXPECT_FALSE(subject_.next_listing({}, after(900)).has_value());
    subject_.on_source_expected(after(900));
    EXPECT_FALSE(subject_.next_listing({}, after(1'800)).has_value());
    EXPECT_EQ(subject_.next_listing({}, after(1'900)),
              (discovery::peer_shard("self") + 1) % discovery::peer_shards);
}

TEST_F(fleet_startup_plan, queries_seeds_while_no_peer_is_known) {
    // The store may be unreachable when an instance starts.
    std::set<std::string> addresses;
    for (int i = 0; i < 4; ++i) {
        addresses.insert(subject_.next_source()->address);
    }
    EXPECT_EQ(addresses, (std::set<std::string>{"10.0.0.1:1", "10.0.0.2:1"}));
}

TEST_F(fleet_startup_plan, queries_many_members_and_never_itself) {
    list(members_of_a_shard(30));
    std::set<std::string> peers;
    for (int i = 0; i < 300; ++i) {
        peers.insert(subject_.next_source()->peer);
    }
    EXPECT_FALSE(peers.contains("self"));
    EXPECT_FALSE(peers.contains("seed"));
    EXPECT_GT(peers.size(), 20U);
}

TEST_F(fleet_startup_plan, queries_a_member_that_does_not_answer_only_once) {
    // Guards against a start that waits for the same stopped peer in each round of queries.
    list(members_of_a_shard(5));
    for (int i = 0; i < 5; ++i) {
        EXPECT_NE(subject_.next_source()->peer, "seed");
        subject_.on_source_unreachable();
    }
    EXPECT_EQ(subject_.next_source()->peer, "seed");
}

TEST(fleet_transfer_budget, admits_as_many_copies_as_leave_within_the_backlog) {
    // Guards against a sender whose hundred copies all arrive after seconds.
    constexpr std::int64_t copy_bytes = 250'000;  // 200 ms at half of 20 Mbit/s
    fleet::transfer_budget subject{small_link};
    EXPECT_TRUE(subject.admits(copy_bytes, start));
    EXPECT_TRUE(subject.admits(copy_bytes, start));
    EXPECT_FALSE(subject.admits(copy_bytes, start));
    EXPECT_TRUE(subject.admits(copy_bytes, after(100)));
}

TEST(fleet_transfer_budget, admits_one_copy_however_large) {
    constexpr std::int64_t copy_bytes = 25'000'000;
    fleet::transfer_budget subject{small_link};
    EXPECT_TRUE(subject.admits(copy_bytes, start));
    EXPECT_FALSE(subject.admits(1, after(19'000)));
    EXPECT_TRUE(subject.admits(copy_bytes, after(20'000)));
}

}  // namespace
}  // namespace bramleytrack
