// Discovery: which targets may take flows, and for how long a target's flows are still routed.
#include <gtest/gtest.h>

#include "discovery/directory.h"

namespace bramleytrack {
namespace {

using discovery::absence;
using discovery::catalogue;
using discovery::change;
using discovery::directory;
using discovery::target_entry;
using discovery::target_removed;
using discovery::target_state;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration one_second{1'000};

catalogue text(std::int64_t version, std::vector<discovery::route> routes = {}) {
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

target_entry entry(const std::string& id) {
    target_entry result;
    result.id = id;
    result.service = "board";
    result.zone = "north";
    return result;
}

class discovery_directory : public ::testing::Test {
protected:
    directory known_;
    std::int64_t revision_ = 0;

    change apply(const discovery::record& subject, clock::time_point now = start,
                 bool had_recent_store_outage = false) {
        return known_.apply(subject, ++revision_, had_recent_store_outage, now);
    }
    const discovery::target* find(const std::string& id) const {
        return known_.find_target(discovery::token_of(id));
    }
    int eligible(clock::time_point now) const {
        int count = 0;
        for (const auto* each : known_.find_pool("board")->targets) {
            count += each->takes_flows(now) ? 1 : 0;
        }
        return count;
    }
};

TEST_F(discovery_directory, a_configuration_never_goes_back) {
    apply(text(7));
    EXPECT_EQ(apply(text(6)), change::none);
    EXPECT_EQ(known_.in_force().version, 7);
}

TEST_F(discovery_directory, remembers_routes_that_were_dropped_until_they_return) {
    apply(text(1, {route_at(80), route_at(81)}));
    apply(text(2, {route_at(80)}));
    EXPECT_EQ(known_.dropped_at({.address = 1, .port = 81}), start);
    EXPECT_EQ(known_.find_route({.address = 1, .port = 81}), nullptr);
    apply(text(3, {route_at(80), route_at(81)}));
    EXPECT_FALSE(known_.dropped_at({.address = 1, .port = 81}));
}

TEST_F(discovery_directory, a_draining_target_takes_no_flows_and_keeps_its_own) {
    apply(text(1));
    auto draining = entry("i-1");
    apply(draining);
    draining.state = target_state::draining;
    apply(draining);
    EXPECT_EQ(eligible(start), 0);
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_TRUE(find("i-1")->is_listed());
}

TEST_F(discovery_directory, flows_are_routed_as_long_as_they_may_live_after_the_entry_went) {
    // An entry is taken away though the target lives; its flows must go on. After the longest life
    // of a flow nothing can be left.
    apply(text(1));
    apply(entry("i-1"));
    apply(target_removed{"i-1"});
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_EQ(find("i-1")->gone, absence::vanished);
    known_.expire(start + 59 * one_second);
    EXPECT_NE(find("i-1"), nullptr);
    known_.expire(start + 60 * one_second);
    EXPECT_EQ(find("i-1"), nullptr);
    EXPECT_EQ(known_.target_count(), 0U);
}

TEST_F(discovery_directory,
       targets_whose_entries_lapsed_with_the_store_take_flows_for_two_seconds) {
    // The store was away, and the entries of live targets lapsed. They are back two seconds after
    // its return; without them a service would refuse everyone meanwhile.
    apply(text(1));
    apply(entry("i-1"));
    apply(target_removed{"i-1"}, start, true);
    EXPECT_EQ(eligible(start + clock::duration{1'900}), 1);
    EXPECT_EQ(eligible(start + clock::duration{2'000}), 0);
}

TEST_F(discovery_directory, a_target_that_drained_and_left_is_gone_even_when_the_store_was_away) {
    apply(text(1));
    auto leaving = entry("i-1");
    leaving.state = target_state::draining;
    apply(leaving);
    apply(target_removed{"i-1"}, start, true);
    EXPECT_EQ(eligible(start), 0);
    EXPECT_EQ(find("i-1")->gone, absence::left);
}

TEST_F(discovery_directory, half_of_a_service_that_vanishes_at_once_is_presumed_alive) {
    // The store is silent for less than a call's limit, so that nobody notices, and all entries
    // lapse.
    apply(text(1));
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
        apply(entry(id));
    }
    apply(target_removed{"i-1"});
    EXPECT_EQ(eligible(start), 3);
    apply(target_removed{"i-2"}, start + clock::duration{100});
    EXPECT_EQ(eligible(start + clock::duration{100}), 4);
    EXPECT_EQ(eligible(start + clock::duration{2'100}), 2);
}

TEST_F(discovery_directory, single_crashes_are_believed_at_once) {
    apply(text(1));
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        apply(entry(id));
    }
    apply(target_removed{"i-1"});
    EXPECT_EQ(eligible(start), 2);
}

TEST_F(discovery_directory, a_new_life_under_the_same_id_is_cold_again) {
    apply(text(1));
    auto first = entry("i-1");
    first.born = 100;
    apply(first);
    auto second = entry("i-1");
    second.born = 200;
    second.cold_for = one_second;
    apply(second, start + one_second);
    EXPECT_TRUE(find("i-1")->is_cold(start + one_second));
    EXPECT_FALSE(find("i-1")->is_cold(start + 2 * one_second));
}

TEST_F(discovery_directory, an_unreadable_value_changes_nothing_else) {
    apply(text(1));
    apply(entry("i-1"));
    EXPECT_EQ(apply(discovery::unreadable{.key = "x", .reason = "y", .target_id = ""}),
              change::refused);
    EXPECT_EQ(eligible(start), 1);
}

TEST(routing_token, is_never_the_one_that_stands_for_none) {
    constexpr int many = 100'000;
    for (int i = 0; i < many; ++i) {
        ASSERT_NE(discovery::token_of("i-" + std::to_string(i)), 0U);
    }
}

TEST(routing_token, instances_choose_alike_between_two_targets_with_one_token) {
    // Two ids have one token. An instance that learned them in another order must route the flows
    // to the same one of them, or a target resets a flow that isn't its own.
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
        directory known;
        known.apply(text(1), 1, false, start);
        known.apply(entry(order.first), 2, false, start);
        known.apply(entry(order.second), 3, false, start);
        EXPECT_EQ(known.find_target(token)->entry.id, first);
        int takes_flows = 0;
        for (const auto* each : known.find_pool("board")->targets) {
            takes_flows += each->takes_flows(start) ? 1 : 0;
        }
        EXPECT_EQ(takes_flows, 1);
        // The other one takes the packets when the first has left.
        known.apply(target_removed{first}, 4, false, start);
        EXPECT_EQ(known.find_target(token)->entry.id, second);
    }
}

// A stranger overwrites the entry of a target with bytes that can't be read. Nothing in the store
// names the target any more, yet callers went on being sent there by the entry before. Flows that
// are open must not notice, and the target's next word puts it back.
TEST_F(discovery_directory, an_entry_overwritten_with_garbage_names_no_target) {
    apply(text(1));
    apply(entry("i-1"));
    apply(entry("i-2"));
    EXPECT_EQ(apply(discovery::unreadable{
                  .key = "targets/i-1", .reason = "not a JSON object", .target_id = "i-1"}),
              change::refused);
    EXPECT_EQ(eligible(start), 1);
    ASSERT_NE(find("i-1"), nullptr);
    EXPECT_EQ(find("i-1")->gone, absence::vanished);
    apply(entry("i-1"));
    EXPECT_EQ(eligible(start), 2);
}

TEST_F(discovery_directory, garbage_under_an_unknown_id_lists_no_target) {
    apply(text(1));
    apply(entry("i-1"));
    apply(discovery::unreadable{.key = "targets/i-9", .reason = "", .target_id = "i-9"});
    EXPECT_EQ(eligible(start), 1);
    EXPECT_EQ(known_.target_count(), 1U);
}

}  // namespace
}  // namespace bramleytrack
