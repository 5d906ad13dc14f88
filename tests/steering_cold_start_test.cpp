// The rate limit on new flows to a target that has just started, over all instances together.
#include <gtest/gtest.h>

#include <algorithm>

#include "steering/cold_gate.h"

namespace bramleytrack {
namespace {

using steering::cold_gate;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr double flows_per_second = 6;
// The platform's limit for any one second.
constexpr double max_flows_in_a_second = flows_per_second * 1.5 + 5;

discovery::target cold_target(std::uint32_t token) {
    discovery::target result;
    result.token = token;
    result.cold_until = start + clock::duration{60'000};
    return result;
}

class fleet_of_gates {
public:
    explicit fleet_of_gates(int instances) {
        for (int i = 0; i < instances; ++i) {
            gates_.emplace_back("instance-" + std::to_string(i));
        }
    }

    // Adds instance `peer` to the directory of instance `observer`.
    void add_peer(std::size_t observer, std::size_t peer) {
        directories_[observer].apply(
            discovery::peer_entry{.name = "instance-" + std::to_string(peer),
                                  .zone = "",
                                  .address = "",
                                  .pull_address = ""},
            ++revision_, false, start);
    }
    void add_all_peers() {
        for (std::size_t observer = 0; observer < gates_.size(); ++observer) {
            for (std::size_t peer = 0; peer < gates_.size(); ++peer) {
                add_peer(observer, peer);
            }
        }
    }
    // Removes instance `peer` from the directory of instance `observer`.
    void remove_peer(std::size_t observer, std::size_t peer, clock::time_point now) {
        directories_[observer].apply(discovery::peer_removed{"instance-" + std::to_string(peer)},
                                     ++revision_, false, now);
    }
    void expire(std::size_t observer, clock::time_point now) { directories_[observer].expire(now); }
    void isolate(std::size_t instance) { gates_[instance].set_isolated(true); }
    // Whether instance `observer` acts as the owner of the target.
    bool is_owner(std::size_t observer, const discovery::target& target, clock::time_point now) {
        return gates_[observer].may_open(target, flows_per_second, directories_[observer], now);
    }
    void register_all(clock::time_point now) {
        for (auto& each : gates_) {
            each.on_registered(now);
        }
    }

    // Every instance tries to open ten flows each 10 ms. Returns the maximum number of flows
    // that were opened within any one second.
    int max_in_a_second(const discovery::target& target, clock::time_point from,
                        clock::duration length) {
        std::vector<std::int64_t> opened;
        for (auto now = from; now < from + length; now += clock::duration{10}) {
            for (std::size_t i = 0; i < gates_.size(); ++i) {
                for (int j = 0; j < 10; ++j) {
                    if (gates_[i].may_open(target, flows_per_second, directories_[i], now)) {
                        gates_[i].on_flow_opened(target, now);
                        opened.push_back(to_milliseconds(now));
                    }
                }
            }
        }
        int result = 0;
        for (std::size_t i = 0; i < opened.size(); ++i) {
            std::size_t j = i;
            while (j < opened.size() && opened[j] < opened[i] + 1'000) {
                ++j;
            }
            result = std::max(result, static_cast<int>(j - i));
        }
        return result;
    }

private:
    std::vector<cold_gate> gates_;
    std::map<std::size_t, discovery::directory> directories_;
    std::int64_t revision_ = 0;
};

TEST(cold_gate, instances_with_equal_views_stay_below_the_limit_of_the_target) {
    constexpr int instances = 9;
    fleet_of_gates fleet{instances};
    fleet.add_all_peers();
    fleet.register_all(start);
    const auto target = cold_target(11);
    const int max_opened =
        fleet.max_in_a_second(target, start + clock::duration{1'000}, clock::duration{5'000});
    EXPECT_GT(max_opened, 0);
    EXPECT_LE(max_opened, flows_per_second);
}

TEST(cold_gate, two_instances_without_each_others_entries_stay_below_the_platform_limit) {
    // An instance joins, and for a second the others haven't received its entry: two instances act
    // as the owner.
    constexpr int instances = 2;
    fleet_of_gates fleet{instances};
    fleet.add_peer(0, 0);
    fleet.add_peer(1, 1);
    fleet.register_all(start);
    const int max_opened = fleet.max_in_a_second(cold_target(11), start + clock::duration{1'000},
                                                 clock::duration{5'000});
    EXPECT_LE(max_opened, max_flows_in_a_second);
}

TEST(cold_gate, instances_that_start_at_once_open_nothing_before_the_settling_time) {
    // All instances restart after a power failure. Each starts with an empty directory and would
    // act as the owner of every cold target.
    constexpr int instances = 9;
    fleet_of_gates fleet{instances};
    fleet.register_all(start);
    EXPECT_EQ(fleet.max_in_a_second(cold_target(11), start, clock::duration{900}), 0);
}

// The owner of a cold target is cut off from the store and from all peers, and its entry is
// removed. Its successor is cut off in the same way a moment later, and so is the third. Each has
// removed those before it from its directory and acts as the owner, so the target gets three
// times the flows of one owner.
TEST(cold_gate, owners_cut_off_one_after_the_other_stay_below_the_platform_limit) {
    constexpr std::size_t instances = 5;
    fleet_of_gates fleet{instances};
    fleet.add_all_peers();
    fleet.register_all(start - clock::duration{10'000});
    const auto target = cold_target(11);
    std::vector<std::size_t> cut_off;
    for (int i = 0; i < 3; ++i) {
        std::size_t owner = instances;
        for (std::size_t each = 0; each < instances; ++each) {
            const bool is_cut_off = std::ranges::find(cut_off, each) != cut_off.end();
            owner = !is_cut_off && fleet.is_owner(each, target, start) ? each : owner;
        }
        if (owner == instances) {
            break;  // the successor still waits
        }
        cut_off.push_back(owner);
        for (std::size_t observer = 0; observer < instances; ++observer) {
            if (std::ranges::find(cut_off, observer) == cut_off.end()) {
                fleet.remove_peer(observer, owner, start);
            }
        }
    }
    EXPECT_LE(fleet.max_in_a_second(target, start, clock::duration{1'000}), max_flows_in_a_second);
    // Before a successor acts, the instances that were cut off detect their isolation.
    for (const auto each : cut_off) {
        fleet.isolate(each);
    }
    const auto later = start + clock::duration{2'500};
    int owners = 0;
    for (std::size_t each = 0; each < instances; ++each) {
        fleet.expire(each, later);
        owners += fleet.is_owner(each, target, later) ? 1 : 0;
    }
    EXPECT_EQ(owners, 1);
}

TEST(cold_gate, an_instance_whose_registration_expired_opens_nothing) {
    cold_gate gate{"a"};
    const discovery::directory directory;
    gate.on_registered(start);
    const auto later = start + clock::duration{2'000};
    EXPECT_TRUE(gate.may_open(cold_target(11), flows_per_second, directory, later));
    gate.on_registration_lost();
    EXPECT_FALSE(gate.may_open(cold_target(11), flows_per_second, directory, later));
}

TEST(cold_gate, ownership_is_spread_evenly_over_the_fleet) {
    constexpr std::size_t instances = 9;
    constexpr std::uint32_t targets = 900;
    std::vector<cold_gate> gates;
    discovery::directory directory;
    for (std::size_t i = 0; i < instances; ++i) {
        const auto name = "instance-" + std::to_string(i);
        gates.emplace_back(name);
        gates.back().on_registered(start);
        directory.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""},
            static_cast<std::int64_t>(i), false, start);
    }
    std::vector<int> owned(instances);
    for (std::uint32_t token = 1; token <= targets; ++token) {
        int owners = 0;
        for (std::size_t i = 0; i < instances; ++i) {
            const bool is_owner = gates[i].may_open(cold_target(token), flows_per_second, directory,
                                                    start + clock::duration{2'000});
            owners += is_owner ? 1 : 0;
            owned[i] += is_owner ? 1 : 0;
        }
        ASSERT_EQ(owners, 1);
    }
    for (const int each : owned) {
        EXPECT_NEAR(each, static_cast<double>(targets) / instances, 40);
    }
}

}  // namespace
}  // namespace bramleytrack
