// Fleet: an instance that has just started queries its peers for recently removed targets.
#include <gtest/gtest.h>

#include <set>

#include "fleet/startup_recovery.h"

namespace bramleytrack {
namespace {

class fleet_startup_recovery : public ::testing::Test {
protected:
    discovery::directory directory_;
    fleet::startup_recovery subject_{directory_, "self"};

    void add_peer(const std::string& name) {
        directory_.apply(
            discovery::peer_entry{
                .name = name, .zone = "north", .address = name + ":1", .pull_address = name + ":2"},
            1, false, clock::time_point{});
    }
};

TEST_F(fleet_startup_recovery, queries_three_peers_one_after_the_other) {
    // The first peer may have just started too, and the second may be gone.
    for (int i = 0; i < 9; ++i) {
        add_peer("peer-" + std::to_string(i));
    }
    add_peer("self");
    std::set<std::string> queried;
    for (int i = 0; i < 3; ++i) {
        const auto peer = subject_.next_peer();
        ASSERT_TRUE(peer.has_value());
        EXPECT_EQ(peer->address, peer->peer + ":2");
        EXPECT_NE(peer->peer, "self");
        queried.insert(peer->peer);
        EXPECT_FALSE(subject_.next_peer().has_value());
        subject_.on_query_done();
    }
    EXPECT_EQ(queried.size(), 3U);
    EXPECT_FALSE(subject_.next_peer().has_value());
}

TEST_F(fleet_startup_recovery, continues_when_peers_appear_later) {
    add_peer("self");
    EXPECT_FALSE(subject_.next_peer().has_value());
    add_peer("peer");
    EXPECT_TRUE(subject_.next_peer().has_value());
}

}  // namespace
}  // namespace bramleytrack
