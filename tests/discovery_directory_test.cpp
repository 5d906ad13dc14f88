// Discovery: which targets accept new flows, and for how long the flows of a removed target are
// routed.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <random>

#include "discovery/directory.h"

namespace bramleytrack {
namespace {

using discovery::catalogue;
using discovery::change;
using discovery::directory;
using discovery::removal_reason;
using discovery::target_entry;
using discovery::target_removed;
using discovery::target_state;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration one_second{1'000};

catalogue make_catalogue(std::int64_t version, std::vector<discovery::route> routes = {}) {
    return {.version = version,
            .routes = std::move(routes),
            .services = {{.name = "board", .cold_flows_per_second = 1}}};
}

discovery::route route_at(std::uint16_t port) {
    discovery::route result;
    result.name = "r" + std::to_string(port);
    result.address = {.address = 1, .port = port};
    result.splits = {{.service = "board", .weight = 1}};
    return result;
}

target_entry make_entry(const std::string& id) {
    target_entry result;
    result.id = id;
    result.service = "board";
    result.zone = "north";
    return result;
}

class discovery_directory : public ::testing::Test {
protected:
    directory directory_;
    std::int64_t revision_ = 0;

    change apply(const discovery::record& subject, clock::time_point now = start,
                 bool had_recent_store_outage = false) {
        return directory_.apply(subject, ++revision_, had_recent_store_outage, now);
    }
    const discovery::target* find(const std::string& id) const {
        return directory_.find_target(discovery::token_of(id));
    }
    int count_eligible(clock::time_point now) const {
        int count = 0;
        for (const auto* each : directory_.find_pool("board")->targets) {
            count += each->accepts_new_flows(now) ? 1 : 0;
        }
        return count;
    }
};

TEST_F(discovery_directory, an_older_configuration_is_ignored) {
    apply(make_catalogue(7));
    EXPECT_EQ(apply(make_catalogue(6)), change::none);
    EXPECT_EQ(directory_.current_catalogue().version, 7);
}

TEST_F(discovery_directory, keeps_the_time_of_a_dropped_route_until_it_is_added_again) {
    apply(make_catalogue(1, {route_at(80), route_at(81)}));
    apply(make_catalogue(2, {route_at(80)}));
    EXPECT_EQ(directory_.route_dropped_at({.address = 1, .port = 81}), start);
    EXPECT_EQ(directory_.find_route({.address = 1, .port = 81}), nullptr);
    apply(make_catalogue(3, {route_at(80), route_at(81)}));
    EXPECT_FALSE(directory_.route_dropped_at({.address = 1, .port = 81}));
}

TEST_F(discovery_directory, a_draining_target_accepts_no_new_flows_and_stays_listed) {
    apply(make_catalogue(1));
    auto draining = make_entry("i-1");
    apply(draining);
    draining.state = target_state::draining;
    apply(draining);
    EXPECT_EQ(count_eligible(start), 0);
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_TRUE(find("i-1")->is_listed());
}

TEST_F(discovery_directory, flows_are_routed_for_their_lifetime_after_the_entry_was_removed) {
    // An entry is removed though the target is alive; its flows must continue. After the maximum
    // lifetime of a flow none can be left.
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    apply(target_removed{"i-1"});
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_EQ(find("i-1")->removal, removal_reason::unexpected);
    directory_.expire(start + 59 * one_second);
    EXPECT_NE(find("i-1"), nullptr);
    directory_.expire(start + 60 * one_second);
    EXPECT_EQ(find("i-1"), nullptr);
    EXPECT_EQ(directory_.target_count(), 0U);
}

TEST_F(discovery_directory,
       targets_whose_entries_expired_in_an_outage_accept_flows_for_two_seconds) {
    // The entries of live targets expired during a store outage. The targets write them again
    // within two seconds of the store's recovery; without the grace a service would reject all
    // callers until then.
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    apply(target_removed{"i-1"}, start, true);
    EXPECT_EQ(count_eligible(start + clock::duration{1'900}), 1);
    EXPECT_EQ(count_eligible(start + clock::duration{2'000}), 0);
}

TEST_F(discovery_directory, a_drained_target_accepts_no_flows_even_after_an_outage) {
    apply(make_catalogue(1));
    auto leaving = make_entry("i-1");
    leaving.state = target_state::draining;
    apply(leaving);
    apply(target_removed{"i-1"}, start, true);
    EXPECT_EQ(count_eligible(start), 0);
    EXPECT_EQ(find("i-1")->removal, removal_reason::drained);
}

TEST_F(discovery_directory, half_of_a_service_removed_at_once_is_presumed_alive) {
    // The store doesn't respond for less than a call's timeout, so no instance detects the outage,
    // and all entries expire.
    apply(make_catalogue(1));
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
        apply(make_entry(id));
    }
    apply(target_removed{"i-1"});
    EXPECT_EQ(count_eligible(start), 3);
    apply(target_removed{"i-2"}, start + clock::duration{100});
    EXPECT_EQ(count_eligible(start + clock::duration{100}), 4);
    EXPECT_EQ(count_eligible(start + clock::duration{2'100}), 2);
}

TEST_F(discovery_directory, a_single_removal_takes_effect_at_once) {
    apply(make_catalogue(1));
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        apply(make_entry(id));
    }
    apply(target_removed{"i-1"});
    EXPECT_EQ(count_eligible(start), 2);
}

TEST_F(discovery_directory, a_restarted_target_with_the_same_id_is_cold_again) {
    apply(make_catalogue(1));
    auto first = make_entry("i-1");
    first.started_at_ms = 100;
    apply(first);
    auto second = make_entry("i-1");
    second.started_at_ms = 200;
    second.cold_remaining = one_second;
    apply(second, start + one_second);
    EXPECT_TRUE(find("i-1")->is_cold(start + one_second));
    EXPECT_FALSE(find("i-1")->is_cold(start + 2 * one_second));
}

TEST_F(discovery_directory, an_unreadable_value_changes_no_target) {
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    EXPECT_EQ(apply(discovery::unreadable{.key = "x", .reason = "y", .target_id = ""}),
              change::refused);
    EXPECT_EQ(count_eligible(start), 1);
}

TEST_F(discovery_directory, removing_a_zone_takes_less_time_than_adding_all_targets) {
    // Guards against an instance that answers nobody for seconds when a zone's targets are removed:
    // with a pass over all targets for each removal, it takes fifty times as long.
    constexpr int targets = 16'000;
    apply(make_catalogue(1));
    const auto begin = std::clock();
    for (int i = 0; i < targets; ++i) {
        apply(make_entry("i-" + std::to_string(i)));
    }
    const auto added = std::clock();
    for (int i = 0; i < targets / 7; ++i) {
        apply(target_removed{"i-" + std::to_string(i)});
    }
    EXPECT_LT(std::clock() - added, added - begin);
}

TEST_F(discovery_directory, each_entry_that_expires_in_bulk_is_presumed_alive_once) {
    apply(make_catalogue(1));
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
        apply(make_entry(id));
    }
    apply(target_removed{"i-1"});
    apply(target_removed{"i-2"});
    EXPECT_EQ(count_eligible(start), 4);
    // Listed again and removed alone later, it is gone.
    apply(make_entry("i-1"), start + one_second);
    apply(make_entry("i-2"), start + one_second);
    apply(target_removed{"i-1"}, start + 3 * one_second);
    EXPECT_EQ(count_eligible(start + 3 * one_second), 3);
}

TEST_F(discovery_directory, a_target_that_moves_is_only_in_the_pool_of_its_new_zone) {
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    apply(make_entry("i-2"));
    ASSERT_EQ(directory_.find_pool("board")->by_zone.at("north").size(), 2U);
    auto moved = make_entry("i-1");
    moved.zone = "south";
    apply(moved);
    const auto* pool = directory_.find_pool("board");
    EXPECT_EQ(pool->targets.size(), 2U);
    EXPECT_EQ(pool->by_zone.at("north").size(), 1U);
    EXPECT_EQ(pool->by_zone.at("south").size(), 1U);
    apply(make_catalogue(2));
    EXPECT_EQ(directory_.find_pool("board")->by_zone.at("south").size(), 1U);
}

TEST_F(discovery_directory, pools_change_with_targets_as_if_they_were_built_anew) {
    // Guards against pools that keep a target which has left, or lack one that came.
    std::minstd_rand random{1};
    apply(make_catalogue(1));
    auto now = start;
    for (int step = 0; step < 2'000; ++step) {
        now += clock::duration{random() % 200};
        auto entry = make_entry("i-" + std::to_string(random() % 40));
        entry.zone = random() % 2 == 0 ? "north" : "south";
        entry.state = random() % 3 == 0 ? target_state::draining : target_state::ready;
        if (random() % 3 == 0) {
            apply(target_removed{entry.id}, now);
        } else {
            apply(entry, now);
        }
        directory_.expire(now);
        std::vector<const discovery::target*> expected;
        directory_.for_each_target([&expected](const discovery::target& each) {
            if (each.removal != removal_reason::drained) {
                expected.push_back(&each);
            }
        });
        const auto* pool = directory_.find_pool("board");
        ASSERT_TRUE(std::ranges::equal(pool->targets, expected));
        std::size_t in_zones = 0;
        for (const auto& each : pool->by_zone) {
            in_zones += each.second.size();
            ASSERT_TRUE(std::ranges::all_of(each.second, [&each](const auto* target) {
                return target->entry.zone == each.first;
            }));
        }
        ASSERT_EQ(in_zones, expected.size());
    }
}

TEST(routing_token, is_never_the_reserved_value) {
    constexpr int many = 100'000;
    for (int i = 0; i < many; ++i) {
        ASSERT_NE(discovery::token_of("i-" + std::to_string(i)), 0U);
    }
}

TEST(routing_token, instances_choose_the_same_of_two_targets_with_one_token) {
    // Two ids have the same token. An instance that received them in the other order must route the
    // flows to the same target, because the other one resets them.
    std::map<discovery::routing_token, std::string> seen;
    std::string first;
    std::string second;
    for (int i = 0; first.empty(); ++i) {
        const auto id = "i-" + std::to_string(i);
        const auto [found, is_new] = seen.emplace(discovery::token_of(id), id);
        if (!is_new) {
            first = std::min(found->second, id);
            second = std::max(found->second, id);
        }
    }
    const auto token = discovery::token_of(first);
    for (const auto& order : {std::pair{first, second}, std::pair{second, first}}) {
        directory subject;
        subject.apply(make_catalogue(1), 1, false, start);
        subject.apply(make_entry(order.first), 2, false, start);
        subject.apply(make_entry(order.second), 3, false, start);
        EXPECT_EQ(subject.find_target(token)->entry.id, first);
        int accepts_new_flows = 0;
        for (const auto* each : subject.find_pool("board")->targets) {
            accepts_new_flows += each->accepts_new_flows(start) ? 1 : 0;
        }
        EXPECT_EQ(accepts_new_flows, 1);
        // The other target receives the packets once the first is removed.
        subject.apply(target_removed{first}, 4, false, start);
        EXPECT_EQ(subject.find_target(token)->entry.id, second);
    }
}

// Another writer overwrites the entry of a target with bytes that can't be decoded. The store no
// longer lists the target, but new flows were still placed on it by its previous entry. Its open
// flows must continue, and its next heartbeat lists it again.
TEST_F(discovery_directory, an_entry_overwritten_with_an_unreadable_value_lists_no_target) {
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    apply(make_entry("i-2"));
    EXPECT_EQ(apply(discovery::unreadable{
                  .key = "targets/i-1", .reason = "not a JSON object", .target_id = "i-1"}),
              change::refused);
    EXPECT_EQ(count_eligible(start), 1);
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_EQ(find("i-1")->removal, removal_reason::unexpected);
    apply(make_entry("i-1"));
    EXPECT_EQ(count_eligible(start), 2);
}

TEST_F(discovery_directory, an_unreadable_value_under_an_unknown_id_lists_no_target) {
    apply(make_catalogue(1));
    apply(make_entry("i-1"));
    apply(discovery::unreadable{.key = "targets/i-9", .reason = "", .target_id = "i-9"});
    EXPECT_EQ(count_eligible(start), 1);
    EXPECT_EQ(directory_.target_count(), 1U);
}

}  // namespace
}  // namespace bramleytrack
