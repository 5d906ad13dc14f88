// Fleet: one instance watches the store and the others receive updates from it, and no failure of
// the watcher, of the store or of a link leaves an instance behind for longer than the bound for a
// change.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "fleet/update_source_selector.h"
#include "support/fake_store.h"
#include "wire/codec.h"

namespace bramleytrack {
namespace {

using fleet::peer_digests;
using fleet::update_source_selector;

constexpr clock::time_point start = to_time_point(1'000'000);

wire::digest digest_with_loads(const peer_digests& digests, const steering::flow_tracker& flows) {
    wire::digest result;
    result.known_revision = 123'456'789;
    result.confirmed_ms_ago = 2'400;
    result.loads = digests.load_reports(flows);
    return result;
}

class fleet_update_source_selector : public ::testing::Test {
protected:
    discovery::directory directory_;
    testing::fake_store store_;
    store::mirror mirror_;
    store::feed feed_{store_, mirror_, 1};
    peer_digests digests_{directory_, "self", "north", 1};
    update_source_selector update_source_{directory_, digests_, "self"};
    std::int64_t revision_ = 0;

    void SetUp() override {
        add_peer("self");
        feed_.tick(start);
        complete_read();
        feed_.reread(start);  // the first read may be seconds old
        complete_read();
    }

    void complete_read() {
        store_.ranges.back().done(store::page{.items = {}, .has_more = false, .revision = 5},
                                  start);
    }

    void add_peer(const std::string& name) {
        directory_.apply(
            discovery::peer_entry{
                .name = name, .zone = "north", .address = name + ":1", .pull_address = name + ":2"},
            ++revision_, false, start);
    }

    static wire::digest digest(std::int64_t revision, std::int64_t confirmed_ms_ago) {
        wire::digest result;
        result.known_revision = revision;
        result.confirmed_ms_ago = confirmed_ms_ago;
        return result;
    }

    // A peer that ranks above this instance, and is therefore the watcher.
    std::string watcher() {
        for (int i = 0;; ++i) {
            auto name = "peer-" + std::to_string(i);
            if (hash_of(name) > hash_of(std::string_view{"self"})) {
                return name;
            }
        }
    }
};

TEST_F(fleet_update_source_selector, watches_while_no_digest_is_received) {
    EXPECT_TRUE(update_source_.should_watch(feed_, start));
}

TEST_F(fleet_update_source_selector,
       an_instance_that_has_just_started_waits_for_digests_before_it_watches) {
    // Otherwise all instances of a fleet watch at once when power is restored.
    update_source_.on_initial_state(start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
    EXPECT_FALSE(update_source_.should_watch(feed_, start + clock::duration{800}));
    EXPECT_TRUE(update_source_.should_watch(feed_, start + clock::duration{900}));
}

TEST_F(fleet_update_source_selector, leaves_the_watch_to_the_peer_that_ranks_highest) {
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    digests_.on_digest(watcher_name, digest(5, 100), start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
    EXPECT_EQ(update_source_.confirmed_at(feed_, 5), start);
}

TEST_F(fleet_update_source_selector, a_digest_that_waited_during_a_pause_confirms_no_later_state) {
    // Guards against a paused instance that takes digests from before its pause for new ones, and
    // refuses callers of a route that was added meanwhile.
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    const clock::duration pause{4'000};
    digests_.on_digest(watcher_name, digest(5, 100), start, pause);
    EXPECT_EQ(digests_.received().at(watcher_name).confirmed, start - clock::duration{4'100});
    EXPECT_EQ(digests_.last_received_at(), start - pause);
    // The delay of the event loop does not add up from peer to peer.
    digests_.on_digest(watcher_name, digest(5, 100), start, clock::duration{100});
    EXPECT_EQ(digests_.received().at(watcher_name).confirmed, start - clock::duration{100});
}

TEST_F(fleet_update_source_selector, watches_when_the_digests_of_the_watcher_stop) {
    // The watcher is killed immediately before a change. A change must be in force after 3 s.
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    digests_.on_digest(watcher_name, digest(5, 0), start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start + clock::duration{1'200}));
    EXPECT_TRUE(update_source_.should_watch(feed_, start + clock::duration{1'300}));
}

TEST_F(fleet_update_source_selector, watches_when_the_confirmation_of_the_watcher_is_old) {
    // The watcher is silently cut off from the store, and continues to send digests.
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    digests_.on_digest(watcher_name, digest(5, 0), start);
    clock::time_point now = start;
    while (!update_source_.should_watch(feed_, now)) {
        now += clock::duration{300};
        digests_.on_digest(watcher_name, digest(5, (now - start).count()), now);
        ASSERT_LT(now - start, clock::duration{3'000});
    }
    EXPECT_GT(now - start, clock::duration{2'500});
}

TEST_F(fleet_update_source_selector, a_peer_that_lost_the_store_does_not_count_as_watcher) {
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    auto content = digest(5, 0);
    content.has_lost_store = true;
    digests_.on_digest(watcher_name, content, start);
    EXPECT_TRUE(update_source_.should_watch(feed_, start));
    EXPECT_TRUE(update_source_.had_recent_store_outage(feed_, clock::duration{2'000}, start));
    EXPECT_FALSE(update_source_.had_recent_store_outage(feed_, clock::duration{2'000},
                                                        start + clock::duration{2'001}));
}

TEST_F(fleet_update_source_selector,
       an_instance_that_the_store_refuses_leaves_the_watch_to_any_peer) {
    const std::string peer_name = "peer";
    add_peer(peer_name);
    digests_.on_digest(peer_name, digest(5, 0), start);
    feed_.tick(start);
    store_.watches.back().done(result_code::store_unavailable, start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
}

TEST_F(fleet_update_source_selector, fetches_from_a_peer_with_a_later_revision) {
    const auto watcher_name = watcher();
    add_peer(watcher_name);
    digests_.on_digest(watcher_name, digest(9, 0), start);
    const auto pull = update_source_.next_pull(5, false, start);
    ASSERT_TRUE(pull);
    EXPECT_EQ(pull->address, watcher_name + ":2");
    EXPECT_FALSE(update_source_.next_pull(9, false, start));
}

TEST_F(fleet_update_source_selector, a_watcher_fetches_only_when_its_own_watch_is_stalled) {
    // The watch is stalled: its response was lost, and its connection stays open without data.
    add_peer("peer");
    digests_.on_digest("peer", digest(9, 0), start);
    EXPECT_FALSE(update_source_.next_pull(5, true, start));
    EXPECT_TRUE(update_source_.next_pull(5, true, start + clock::duration{500}));
}

TEST_F(fleet_update_source_selector, watches_when_peers_are_ahead_and_none_can_be_queried) {
    // An instance that had just started had the entries of two of eight peers, received digests of
    // all, and left the watch to one whose address it didn't have. It stayed without a
    // configuration all day.
    const auto unlisted_peer = watcher();
    clock::time_point now = start;
    for (int i = 0; i < 5; ++i, now += clock::duration{300}) {
        digests_.on_digest(unlisted_peer, digest(9, 0), now);
        EXPECT_FALSE(update_source_.next_pull(5, false, now));
    }
    EXPECT_TRUE(update_source_.should_watch(feed_, now));
}

TEST_F(fleet_update_source_selector,
       a_confirmation_of_a_later_revision_does_not_confirm_an_earlier_one) {
    add_peer("peer");
    const auto later = start + clock::duration{900};
    digests_.on_digest("peer", digest(9, 0), later);
    EXPECT_EQ(update_source_.confirmed_at(feed_, 5), start);
    EXPECT_EQ(update_source_.confirmed_at(feed_, 9), later);
}

TEST_F(fleet_update_source_selector, is_isolated_without_contact_to_the_store_and_peers) {
    add_peer("peer");
    digests_.on_digest("peer", digest(5, 0), start);
    EXPECT_FALSE(update_source_.is_isolated(feed_, start + clock::duration{1'900}));
    EXPECT_TRUE(update_source_.is_isolated(feed_, start + clock::duration{2'600}));
}

TEST_F(fleet_update_source_selector, the_only_instance_is_not_isolated) {
    EXPECT_FALSE(update_source_.is_isolated(feed_, start + clock::duration{60'000}));
}

TEST_F(fleet_update_source_selector,
       only_the_highest_rank_keeps_querying_the_store_during_an_outage) {
    // Guards against hundreds of instances of which each sends two calls a second to an unreachable
    // store.
    const auto lose_store = [this](clock::time_point now) {
        feed_.reread(now);
        store_.ranges.back().done(result_code::store_unavailable, now);
    };
    const auto later = start + clock::duration{4'000};
    lose_store(later);
    auto content = digest(5, 4'000);
    content.has_lost_store = true;
    const auto watcher_name = watcher();
    digests_.on_digest(watcher_name, content, later);
    EXPECT_FALSE(update_source_.should_watch(feed_, later + clock::duration{100}));
    // The peer may be wrong or gone: this instance retries after retry_delay, and also when it has
    // no fresh digests.
    digests_.on_digest(watcher_name, content, later + clock::duration{3'000});
    EXPECT_TRUE(update_source_.should_watch(feed_, later + clock::duration{3'000}));
    lose_store(later + clock::duration{3'000});
    EXPECT_FALSE(update_source_.should_watch(feed_, later + clock::duration{3'100}));
    EXPECT_TRUE(update_source_.should_watch(feed_, later + clock::duration{4'400}));
}

TEST_F(fleet_update_source_selector,
       expected_watchers_is_the_ratio_of_fleet_size_to_fresh_digests) {
    EXPECT_EQ(update_source_.expected_watchers(start), 1U);
    for (int i = 0; i < 194; ++i) {
        add_peer("peer-" + std::to_string(i));
    }
    for (int i = 0; i < 32; ++i) {
        digests_.on_digest("peer-" + std::to_string(i), digest(5, 0), start);
    }
    EXPECT_EQ(update_source_.expected_watchers(start), 5U);
    // When the digests of all peers are fresh, one instance watches.
    for (int i = 0; i < 194; ++i) {
        digests_.on_digest("peer-" + std::to_string(i), digest(5, 0), start);
    }
    EXPECT_EQ(update_source_.expected_watchers(start), 1U);
}

TEST_F(fleet_update_source_selector, a_few_instances_watch_in_a_large_fleet) {
    // 610 instances, each of which has fresh digests of 32 others. If all watched, each change
    // would cost 610 calls, and if none did, no instance would receive it.
    constexpr int number = 610;
    constexpr int received = 32;
    std::minstd_rand random{1};
    std::uniform_int_distribution<int> pick{0, number - 1};
    int watchers = 0;
    for (int self = 0; self < number; ++self) {
        const auto name = "peer-" + std::to_string(self);
        peer_digests digests{directory_, name, "north", 1};
        const update_source_selector selector{directory_, digests, name};
        for (int i = 0; i < received; ++i) {
            digests.on_digest("peer-" + std::to_string(pick(random)), digest(5, 0), start);
        }
        watchers += selector.should_watch(feed_, start) ? 1 : 0;
    }
    EXPECT_GE(watchers, 4);
    EXPECT_LE(watchers, 40);
}

TEST(peer_digests, loads_of_peers_are_summed_and_represent_peers_without_digests) {
    discovery::directory directory;
    for (int i = 0; i < 5; ++i) {
        const auto name = "p" + std::to_string(i);
        directory.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""}, i,
            false, start);
    }
    peer_digests digests{directory, "p0", "", 1};
    wire::digest content;
    wire::load_report report;
    report.token = 11;
    report.open_requests = 3;
    content.loads.push_back(report);
    digests.on_digest("p1", content, start);
    digests.on_digest("p2", content, start);
    // The digests of two of four peers are fresh.
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start), 12);
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start + clock::duration{1'300}), 0);
}

TEST(peer_digests, demand_through_peers_is_summed_while_it_is_fresh) {
    discovery::directory directory;
    for (const auto* name : {"p0", "p1", "p2"}) {
        directory.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""}, 1,
            false, start);
    }
    peer_digests digests{directory, "p0", "", 1};
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    demands["board"].on_request(0, start);
    demands["plans"].on_request(0, start);
    wire::digest content;
    content.demands = digests.demand_reports(demands, steering::flow_tracker{}, start);
    digests.on_digest("p1", content, start);
    digests.on_digest("p2", content, start);
    EXPECT_DOUBLE_EQ(digests.demand_remote("board", start), 4);
    EXPECT_DOUBLE_EQ(digests.demand_remote("plans", start), 2);
    EXPECT_DOUBLE_EQ(digests.demand_remote("alerts", start), 0);
    EXPECT_DOUBLE_EQ(digests.demand_remote("board", start + clock::duration{1'300}), 0);
}

TEST(peer_digests, all_peers_receive_digests_in_turn) {
    discovery::directory directory;
    constexpr int number = 20;
    for (int i = 0; i < number; ++i) {
        directory.apply(discovery::peer_entry{.name = "p" + std::to_string(i),
                                              .zone = "",
                                              .address = "a" + std::to_string(i),
                                              .pull_address = ""},
                        i, false, start);
    }
    peer_digests digests{directory, "p0", "", 1};
    std::map<std::string, int> digests_sent;
    for (int round = 0; round < 3; ++round) {
        const auto receivers = digests.next_receivers();
        EXPECT_LE(receivers.size(), 8U);
        for (const auto* each : receivers) {
            ++digests_sent[each->name];
        }
    }
    EXPECT_EQ(digests_sent.size(), number - 1U);
    EXPECT_FALSE(digests_sent.contains("p0"));
}

void add_peers(discovery::directory& directory, const std::string& zone, int number) {
    for (int i = 0; i < number; ++i) {
        directory.apply(
            discovery::peer_entry{
                .name = zone + std::to_string(i), .zone = zone, .address = "", .pull_address = ""},
            i, false, start);
    }
}

// Forty peers in each of three zones.
discovery::directory three_zones() {
    discovery::directory directory;
    for (const auto* zone : {"north", "south", "west"}) {
        add_peers(directory, zone, 40);
    }
    return directory;
}

// Reports `open` open requests on the service "board".
wire::digest digest_with_open_requests(const peer_digests& digests, int open) {
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    wire::digest result;
    result.demands = digests.demand_reports(demands, steering::flow_tracker{}, start);
    result.demands.front().open = open;
    return result;
}

TEST(peer_digests, most_receivers_are_in_the_same_zone_and_all_its_peers_are_selected) {
    // Guards against reports on a target that reach only one in five of the instances with its
    // flows.
    const auto directory = three_zones();
    peer_digests digests{directory, "north0", "north", 1};
    std::set<std::string> same_zone_receivers;
    for (int round = 0; round < 7; ++round) {
        const auto receivers = digests.next_receivers();
        EXPECT_EQ(receivers.size(), 8U);
        EXPECT_GE(std::ranges::count(receivers, "north", &discovery::peer_entry::zone), 3);
        EXPECT_GE(std::ranges::count_if(receivers,
                                        [](const auto* each) { return each->zone != "north"; }),
                  2);
        for (const auto* each : receivers) {
            if (each->zone == "north") {
                same_zone_receivers.insert(each->name);
            }
        }
    }
    EXPECT_EQ(same_zone_receivers.size(), 39U);
}

TEST(peer_digests, a_digest_represents_peers_of_its_own_zone) {
    // Guards against a target that looks full because two digests represent forty peers of a zone.
    const auto directory = three_zones();
    peer_digests digests{directory, "north0", "north", 1};
    wire::digest content;
    content.loads.emplace_back();
    content.loads.back().token = 11;
    content.loads.back().open_requests = 1;
    for (int i = 1; i <= 26; ++i) {
        digests.on_digest("north" + std::to_string(i), content, start);
    }
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start), 39);
    digests.on_digest("south0", content, start);
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start + clock::duration{60}), 41);
}

TEST(peer_digests, all_open_requests_of_a_service_count_when_few_digests_of_a_zone_are_fresh) {
    // Guards against a load peak that is admitted completely: digests report only the most loaded
    // targets, and few instances report for another zone, so sums over targets are too low.
    discovery::directory directory;
    add_peers(directory, "far", 10);
    peer_digests digests{directory, "near", "home", 1};
    const auto content = digest_with_open_requests(digests, 17);
    digests.on_digest("far1", content, start);
    digests.on_digest("far2", content, start);
    // Ten times 17, less four standard deviations: each of the two digests represents five peers.
    EXPECT_NEAR(digests.open_remote_of_service("board", start), 170 - 4 * std::sqrt(2 * 17 * 5 * 4),
                0.1);
}

TEST(peer_digests, a_few_requests_of_one_peer_in_another_zone_do_not_fill_a_service) {
    // Guards against callers of an idle service that are rejected, since one digest represents
    // thirty peers.
    discovery::directory directory;
    add_peers(directory, "far", 30);
    peer_digests digests{directory, "near", "home", 1};
    const auto content = digest_with_open_requests(digests, 4);
    digests.on_digest("far1", content, start);
    EXPECT_DOUBLE_EQ(digests.open_remote_of_service("board", start), 0);
}

TEST(peer_digests, reports_the_open_requests_of_a_service_on_all_its_targets) {
    discovery::directory directory;
    steering::flow_tracker flows;
    for (int i = 0; i < 30; ++i) {
        discovery::target_entry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "board";
        directory.apply(entry, i + 1, false, start);
        steering::segment opening;
        opening.flow.caller = {.address = 7, .port = static_cast<std::uint16_t>(i)};
        opening.is_opening = true;
        flows.record_opening(opening, discovery::token_of(entry.id), start);
    }
    const peer_digests digests{directory, "near", "home", 1};
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    const auto reports = digests.demand_reports(demands, flows, start);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().open, 30);
}

TEST(peer_digests, a_digest_fits_in_the_control_traffic_budget) {
    // With 5 KB/s and 8 receivers every 300 ms, a digest may have 187 bytes under any load.
    const discovery::directory directory;
    const peer_digests digests{directory, "p0", "", 1};
    steering::flow_tracker flows;
    for (std::uint16_t port = 1; port < 500; ++port) {
        steering::segment opening;
        opening.flow.caller = {.address = 7, .port = port};
        opening.is_opening = true;
        flows.record_opening(opening, 0xFFFFFF00U + port % 50U, start);
    }
    wire::peer_message message;
    message.sender = "front-port-louis-10";
    message.incarnation = to_milliseconds(start);
    wire::digest content = digest_with_loads(digests, flows);
    steering::demand_by_service demands;
    for (const auto* service : {"board", "plans", "alerts", "archive", "readings"}) {
        for (int i = 0; i < 20'000; ++i) {
            demands[service].on_request(0, start);
        }
    }
    content.demands = digests.demand_reports(demands, steering::flow_tracker{}, start);
    EXPECT_EQ(content.demands.size(), 3U);
    for (auto& each : content.demands) {
        each.open = 20'000;
    }
    message.__set_fleet_digest(content);
    wire::encoder encoder;
    const auto key = wire::derive_fleet_key("a passphrase of the fleet");
    EXPECT_LE(encoder.encode(message, key).size(), 187U);
}

}  // namespace
}  // namespace bramleytrack
