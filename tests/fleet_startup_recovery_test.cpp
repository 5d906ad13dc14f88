// Fleet: an instance that has just started asks its peers which targets ended lately.
#include <gtest/gtest.h>

#include <set>

#include "fleet/startup_recovery.h"

namespace bramleytrack {
namespace {

class fleet_startup_recovery : public ::testing::Test {
protected:
    discovery::directory known_;
    fleet::startup_recovery subject_{known_, "self"};

    void add_peer(const std::string& name) {
        known_.apply(
            discovery::peer_entry{
                .name = name, .zone = "north", .address = name + ":1", .pull_address = name + ":2"},
            1, false, clock::time_point{});
    }
};

TEST_F(fleet_startup_recovery, asks_three_peers_one_after_the_other) {
    // The first may have started just now, too, and the second be gone.
    for (int i = 0; i < 9; ++i) {
        add_peer("peer-" + std::to_string(i));
    }
    add_peer("self");
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        const auto peer = subject_.next();
        ASSERT_TRUE(peer.has_value());
        EXPECT_EQ(peer->address, peer->peer + ":2");
        EXPECT_NE(peer->peer, "self");
        asked.insert(peer->peer);
        EXPECT_FALSE(subject_.next().has_value());
        subject_.on_answer();
    }
    EXPECT_EQ(asked.size(), 3U);
    EXPECT_FALSE(subject_.next().has_value());
}

TEST_F(fleet_startup_recovery, goes_on_when_peers_show_up_later) {
    add_peer("self");
    EXPECT_FALSE(subject_.next().has_value());
    add_peer("peer");
    EXPECT_TRUE(subject_.next().has_value());
}

}  // namespace
}  // namespace bramleytrack
