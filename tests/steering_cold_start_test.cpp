// Steering: a target that has just started gets no more flows than it bears, from all instances
// together.
#include <gtest/gtest.h>

#include <algorithm>

#include "steering/cold_gate.h"

namespace bramleytrack {
namespace {

using steering::cold_gate;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr double flows_per_second = 6;
// What the users' platform tolerates in any one second.
constexpr double bound = flows_per_second * 1.5 + 5;

discovery::target cold_target(std::uint32_t token) {
    discovery::target result;
    result.token = token;
    result.cold_until = start + clock::duration{60'000};
    return result;
}

class fleet_of_gates {
public:
    explicit fleet_of_gates(int number) {
        for (int i = 0; i < number; ++i) {
            gates_.emplace_back("instance-" + std::to_string(i));
        }
    }

    // Instance `observer` learns of instance `subject`.
    void learn(std::size_t observer, std::size_t subject) {
        directories_[observer].apply(
            discovery::peer_entry{.name = "instance-" + std::to_string(subject),
                                  .zone = "",
                                  .address = "",
                                  .pull_address = ""},
            ++revision_, false, start);
    }
    void learn_all() {
        for (std::size_t observer = 0; observer < gates_.size(); ++observer) {
            for (std::size_t subject = 0; subject < gates_.size(); ++subject) {
                learn(observer, subject);
            }
        }
    }
    // Instance `observer` learns that instance `subject` has left the list.
    void forget(std::size_t observer, std::size_t subject, clock::time_point now) {
        directories_[observer].apply(discovery::peer_removed{"instance-" + std::to_string(subject)},
                                     ++revision_, false, now);
    }
    void expire(std::size_t observer, clock::time_point now) { directories_[observer].expire(now); }
    void isolate(std::size_t subject) { gates_[subject].set_isolated(true); }
    // The instance that opens flows to the target, as instance `observer` sees it.
    bool is_owner(std::size_t observer, const discovery::target& subject, clock::time_point now) {
        return gates_[observer].may_open(subject, flows_per_second, directories_[observer], now);
    }
    void register_all(clock::time_point now) {
        for (auto& each : gates_) {
            each.on_registered(now);
        }
    }

    // Every instance would open ten flows each 10 ms; returns the most that any second brought.
    int most_in_a_second(const discovery::target& subject, clock::time_point from,
                         clock::duration length) {
        std::vector<std::int64_t> opened;
        for (auto now = from; now < from + length; now += clock::duration{10}) {
            for (std::size_t i = 0; i < gates_.size(); ++i) {
                for (int j = 0; j < 10; ++j) {
                    if (gates_[i].may_open(subject, flows_per_second, directories_[i], now)) {
                        gates_[i].note_opened(subject, now);
                        opened.push_back(to_milliseconds(now));
                    }
                }
            }
        }
        int most = 0;
        for (std::size_t i = 0; i < opened.size(); ++i) {
            std::size_t j = i;
            while (j < opened.size() && opened[j] < opened[i] + 1'000) {
                ++j;
            }
            most = std::max(most, static_cast<int>(j - i));
        }
        return most;
    }

private:
    std::vector<cold_gate> gates_;
    std::map<std::size_t, discovery::directory> directories_;
    std::int64_t revision_ = 0;
};

TEST(cold_gate, instances_that_know_each_other_stay_below_what_a_target_bears) {
    constexpr int number = 9;
    fleet_of_gates fleet{number};
    fleet.learn_all();
    fleet.register_all(start);
    const auto subject = cold_target(11);
    const int most =
        fleet.most_in_a_second(subject, start + clock::duration{1'000}, clock::duration{5'000});
    EXPECT_GT(most, 0);
    EXPECT_LE(most, flows_per_second);
}

TEST(cold_gate, two_that_do_not_know_of_each_other_stay_below_the_bound) {
    // An instance joins, and for a second the others haven't heard: two take themselves for the
    // owner.
    constexpr int number = 2;
    fleet_of_gates fleet{number};
    fleet.learn(0, 0);
    fleet.learn(1, 1);
    fleet.register_all(start);
    const int most = fleet.most_in_a_second(cold_target(11), start + clock::duration{1'000},
                                            clock::duration{5'000});
    EXPECT_LE(most, bound);
}

TEST(cold_gate, instances_that_all_start_at_once_open_nothing_before_they_know_each_other) {
    // All instances lose power. Each finds an empty list at its start and would take itself for the
    // owner of every cold target.
    constexpr int number = 9;
    fleet_of_gates fleet{number};
    fleet.register_all(start);
    EXPECT_EQ(fleet.most_in_a_second(cold_target(11), start, clock::duration{900}), 0);
}

// The owner of a cold target is cut off from the store and from all peers, and its entry is taken
// away. Its successor is cut off a moment later in the same way, and so is the third. Each still
// lists those before it as gone and takes itself for the owner: the target gets three shares.
TEST(cold_gate, owners_that_are_cut_off_one_after_the_other_do_not_add_up) {
    constexpr std::size_t number = 5;
    fleet_of_gates fleet{number};
    fleet.learn_all();
    fleet.register_all(start - clock::duration{10'000});
    const auto subject = cold_target(11);
    std::vector<std::size_t> cut_off;
    for (int i = 0; i < 3; ++i) {
        std::size_t owner = number;
        for (std::size_t each = 0; each < number; ++each) {
            const bool is_cut_off = std::ranges::find(cut_off, each) != cut_off.end();
            owner = !is_cut_off && fleet.is_owner(each, subject, start) ? each : owner;
        }
        if (owner == number) {
            break;  // a successor waits
        }
        cut_off.push_back(owner);
        for (std::size_t observer = 0; observer < number; ++observer) {
            if (std::ranges::find(cut_off, observer) == cut_off.end()) {
                fleet.forget(observer, owner, start);
            }
        }
    }
    EXPECT_LE(fleet.most_in_a_second(subject, start, clock::duration{1'000}), bound);
    // By the time at which a successor acts, whoever was cut off knows that it hears nobody.
    for (const auto each : cut_off) {
        fleet.isolate(each);
    }
    const auto later = start + clock::duration{2'500};
    int owners = 0;
    for (std::size_t each = 0; each < number; ++each) {
        fleet.expire(each, later);
        owners += fleet.is_owner(each, subject, later) ? 1 : 0;
    }
    EXPECT_EQ(owners, 1);
}

TEST(cold_gate, an_instance_whose_registration_lapsed_opens_nothing) {
    cold_gate gate{"a"};
    const discovery::directory known;
    gate.on_registered(start);
    const auto later = start + clock::duration{2'000};
    EXPECT_TRUE(gate.may_open(cold_target(11), flows_per_second, known, later));
    gate.on_registration_lost();
    EXPECT_FALSE(gate.may_open(cold_target(11), flows_per_second, known, later));
}

TEST(cold_gate, what_is_owned_is_spread_over_the_fleet) {
    constexpr std::size_t number = 9;
    constexpr std::uint32_t targets = 900;
    std::vector<cold_gate> gates;
    discovery::directory known;
    for (std::size_t i = 0; i < number; ++i) {
        const auto name = "instance-" + std::to_string(i);
        gates.emplace_back(name);
        gates.back().on_registered(start);
        known.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""},
            static_cast<std::int64_t>(i), false, start);
    }
    std::vector<int> owned(number);
    for (std::uint32_t token = 1; token <= targets; ++token) {
        int owners = 0;
        for (std::size_t i = 0; i < number; ++i) {
            const bool is_owner = gates[i].may_open(cold_target(token), flows_per_second, known,
                                                    start + clock::duration{2'000});
            owners += is_owner ? 1 : 0;
            owned[i] += is_owner ? 1 : 0;
        }
        ASSERT_EQ(owners, 1);
    }
    for (const int each : owned) {
        EXPECT_NEAR(each, static_cast<double>(targets) / number, 40);
    }
}

}  // namespace
}  // namespace bramleytrack
