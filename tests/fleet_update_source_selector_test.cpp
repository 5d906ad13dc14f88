// Fleet: one instance watches the store, the others hear from it, and no failure of the watcher, of
// the store or of a link leaves anybody behind for longer than the bound for a change.
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

wire::digest fleet_digest_of(const peer_digests& digests, const steering::flow_tracker& flows) {
    wire::digest result;
    result.known_revision = 123'456'789;
    result.confirmed_ms_ago = 2'400;
    result.loads = digests.loads_of(flows);
    return result;
}

class fleet_update_source_selector : public ::testing::Test {
protected:
    discovery::directory known_;
    testing::fake_store store_;
    store::mirror mirror_;
    store::feed feed_{store_, mirror_, 1};
    peer_digests digests_{known_, "self", "north", 1};
    update_source_selector update_source_{known_, digests_, "self"};
    std::int64_t revision_ = 0;

    void SetUp() override {
        add_peer("self");
        feed_.tick(start);
        answer_read();
        feed_.reread(start);  // the first read may be seconds old
        answer_read();
    }

    void answer_read() {
        store_.ranges.back().done(store::page{.items = {}, .has_more = false, .revision = 5},
                                  start);
    }

    void add_peer(const std::string& name) {
        known_.apply(
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

    // A peer that ranks above this instance, and so is the one to watch.
    std::string watcher() {
        for (int i = 0;; ++i) {
            auto name = "peer-" + std::to_string(i);
            if (hash_of(name) > hash_of(std::string_view{"self"})) {
                return name;
            }
        }
    }
};

TEST_F(fleet_update_source_selector, watches_while_no_peer_is_heard) {
    EXPECT_TRUE(update_source_.should_watch(feed_, start));
}

TEST_F(fleet_update_source_selector, a_newcomer_hears_its_peers_before_it_watches) {
    // Guards against a whole fleet that watches at once when power is back.
    update_source_.on_initial_state(start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
    EXPECT_FALSE(update_source_.should_watch(feed_, start + clock::duration{800}));
    EXPECT_TRUE(update_source_.should_watch(feed_, start + clock::duration{900}));
}

TEST_F(fleet_update_source_selector, leaves_the_watch_to_the_highest_rank_that_it_hears) {
    const auto other = watcher();
    add_peer(other);
    digests_.on_digest(other, digest(5, 100), start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
    EXPECT_EQ(update_source_.confirmed_at(feed_, 5), start);
}

TEST_F(fleet_update_source_selector, takes_over_when_the_watcher_falls_silent) {
    // The watcher is killed right before a change. A change must be in force after 3 s.
    const auto other = watcher();
    add_peer(other);
    digests_.on_digest(other, digest(5, 0), start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start + clock::duration{1'200}));
    EXPECT_TRUE(update_source_.should_watch(feed_, start + clock::duration{1'300}));
}

TEST_F(fleet_update_source_selector, takes_over_when_the_watchers_word_grows_old) {
    // The watcher is cut off from the store, silently, and goes on sending digests.
    const auto other = watcher();
    add_peer(other);
    digests_.on_digest(other, digest(5, 0), start);
    clock::time_point now = start;
    while (!update_source_.should_watch(feed_, now)) {
        now += clock::duration{300};
        digests_.on_digest(other, digest(5, (now - start).count()), now);
        ASSERT_LT(now - start, clock::duration{3'000});
    }
    EXPECT_GT(now - start, clock::duration{2'500});
}

TEST_F(fleet_update_source_selector, a_watcher_that_lost_the_store_is_passed_over) {
    const auto other = watcher();
    add_peer(other);
    auto content = digest(5, 0);
    content.has_lost_store = true;
    digests_.on_digest(other, content, start);
    EXPECT_TRUE(update_source_.should_watch(feed_, start));
    EXPECT_TRUE(update_source_.had_recent_store_outage(feed_, clock::duration{2'000}, start));
    EXPECT_FALSE(update_source_.had_recent_store_outage(feed_, clock::duration{2'000},
                                                        start + clock::duration{2'001}));
}

TEST_F(fleet_update_source_selector,
       an_instance_that_the_store_refuses_leaves_the_watch_to_any_peer) {
    const std::string other = "peer";
    add_peer(other);
    digests_.on_digest(other, digest(5, 0), start);
    feed_.tick(start);
    store_.watches.back().done(result_code::store_unavailable, start);
    EXPECT_FALSE(update_source_.should_watch(feed_, start));
}

TEST_F(fleet_update_source_selector, fetches_from_a_peer_that_knows_more) {
    const auto other = watcher();
    add_peer(other);
    digests_.on_digest(other, digest(9, 0), start);
    const auto pull = update_source_.next_pull(5, false, start);
    ASSERT_TRUE(pull);
    EXPECT_EQ(pull->address, other + ":2");
    EXPECT_FALSE(update_source_.next_pull(9, false, start));
}

TEST_F(fleet_update_source_selector, a_watcher_waits_for_its_own_watch_and_then_fetches) {
    // Its watch is deaf: the answer was lost, and the connection stays open in silence.
    add_peer("peer");
    digests_.on_digest("peer", digest(9, 0), start);
    EXPECT_FALSE(update_source_.next_pull(5, true, start));
    EXPECT_TRUE(update_source_.next_pull(5, true, start + clock::duration{500}));
}

TEST_F(fleet_update_source_selector, reads_itself_when_peers_know_more_and_none_can_be_asked) {
    // Right after the start an instance knew two of eight peers, heard digests of all, and left the
    // watch to one whose address it hadn't learned. It stayed without a configuration all day.
    const auto stranger = watcher();
    clock::time_point now = start;
    for (int i = 0; i < 5; ++i, now += clock::duration{300}) {
        digests_.on_digest(stranger, digest(9, 0), now);
        EXPECT_FALSE(update_source_.next_pull(5, false, now));
    }
    EXPECT_TRUE(update_source_.should_watch(feed_, now));
}

TEST_F(fleet_update_source_selector, word_about_a_later_state_does_not_confirm_an_earlier_one) {
    add_peer("peer");
    const auto later = start + clock::duration{900};
    digests_.on_digest("peer", digest(9, 0), later);
    EXPECT_EQ(update_source_.confirmed_at(feed_, 5), start);
    EXPECT_EQ(update_source_.confirmed_at(feed_, 9), later);
}

TEST_F(fleet_update_source_selector, knows_that_it_is_cut_off_from_all) {
    add_peer("peer");
    digests_.on_digest("peer", digest(5, 0), start);
    EXPECT_FALSE(update_source_.is_isolated(feed_, start + clock::duration{1'900}));
    EXPECT_TRUE(update_source_.is_isolated(feed_, start + clock::duration{2'600}));
}

TEST_F(fleet_update_source_selector, an_instance_alone_is_not_cut_off) {
    EXPECT_FALSE(update_source_.is_isolated(feed_, start + clock::duration{60'000}));
}

TEST_F(fleet_update_source_selector, in_an_outage_the_highest_in_rank_goes_on_asking_for_all) {
    // Guards against hundreds of instances that ask a store that is down, twice a second each.
    const auto lose_store = [this](clock::time_point now) {
        feed_.reread(now);
        store_.ranges.back().done(result_code::store_unavailable, now);
    };
    const auto later = start + clock::duration{4'000};
    lose_store(later);
    auto content = digest(5, 4'000);
    content.has_lost_store = true;
    const auto other = watcher();
    digests_.on_digest(other, content, later);
    EXPECT_FALSE(update_source_.should_watch(feed_, later + clock::duration{100}));
    // The other one may be wrong, or gone: it tries again, and so does whoever hears nobody.
    digests_.on_digest(other, content, later + clock::duration{3'000});
    EXPECT_TRUE(update_source_.should_watch(feed_, later + clock::duration{3'000}));
    lose_store(later + clock::duration{3'000});
    EXPECT_FALSE(update_source_.should_watch(feed_, later + clock::duration{3'100}));
    EXPECT_TRUE(update_source_.should_watch(feed_, later + clock::duration{4'400}));
}

TEST_F(fleet_update_source_selector,
       expects_as_many_watchers_as_the_fleet_is_larger_than_what_it_hears) {
    EXPECT_EQ(update_source_.expected_watchers(start), 1U);
    for (int i = 0; i < 194; ++i) {
        add_peer("peer-" + std::to_string(i));
    }
    for (int i = 0; i < 32; ++i) {
        digests_.on_digest("peer-" + std::to_string(i), digest(5, 0), start);
    }
    EXPECT_EQ(update_source_.expected_watchers(start), 5U);
    // In a small fleet all are heard, and one watches.
    for (int i = 0; i < 194; ++i) {
        digests_.on_digest("peer-" + std::to_string(i), digest(5, 0), start);
    }
    EXPECT_EQ(update_source_.expected_watchers(start), 1U);
}

TEST_F(fleet_update_source_selector, in_a_large_fleet_a_few_watch) {
    // 610 instances; each hears 32 others within the freshness of a digest. If all watched, each
    // change would cost 610 calls, and if none did, nobody would learn of it.
    constexpr int number = 610;
    constexpr int received = 32;
    std::minstd_rand random{1};
    std::uniform_int_distribution<int> pick{0, number - 1};
    int watchers = 0;
    for (int self = 0; self < number; ++self) {
        const auto name = "peer-" + std::to_string(self);
        peer_digests digests{known_, name, "north", 1};
        const update_source_selector own{known_, digests, name};
        for (int i = 0; i < received; ++i) {
            digests.on_digest("peer-" + std::to_string(pick(random)), digest(5, 0), start);
        }
        watchers += own.should_watch(feed_, start) ? 1 : 0;
    }
    EXPECT_GE(watchers, 4);
    EXPECT_LE(watchers, 40);
}

TEST(peer_digests, loads_of_peers_add_up_and_stand_for_those_not_heard) {
    discovery::directory known;
    for (int i = 0; i < 5; ++i) {
        const auto name = "p" + std::to_string(i);
        known.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""}, i,
            false, start);
    }
    peer_digests digests{known, "p0", "", 1};
    wire::digest content;
    wire::load_report report;
    report.token = 11;
    report.open_requests = 3;
    content.loads.push_back(report);
    digests.on_digest("p1", content, start);
    digests.on_digest("p2", content, start);
    // Two of four peers are heard.
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start), 12);
    EXPECT_DOUBLE_EQ(digests.open_remote(11, start + clock::duration{1'300}), 0);
}

TEST(peer_digests, what_callers_of_peers_ask_for_adds_up_while_it_is_fresh) {
    discovery::directory known;
    for (const auto* name : {"p0", "p1", "p2"}) {
        known.apply(
            discovery::peer_entry{.name = name, .zone = "", .address = "", .pull_address = ""}, 1,
            false, start);
    }
    peer_digests digests{known, "p0", "", 1};
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    demands["board"].on_request(0, start);
    demands["plans"].on_request(0, start);
    wire::digest content;
    content.demands = digests.demands_of(demands, steering::flow_tracker{}, start);
    digests.on_digest("p1", content, start);
    digests.on_digest("p2", content, start);
    EXPECT_DOUBLE_EQ(digests.demand_remote("board", start), 4);
    EXPECT_DOUBLE_EQ(digests.demand_remote("plans", start), 2);
    EXPECT_DOUBLE_EQ(digests.demand_remote("alerts", start), 0);
    EXPECT_DOUBLE_EQ(digests.demand_remote("board", start + clock::duration{1'300}), 0);
}

TEST(peer_digests, all_peers_are_told_in_turn) {
    discovery::directory known;
    constexpr int number = 20;
    for (int i = 0; i < number; ++i) {
        known.apply(discovery::peer_entry{.name = "p" + std::to_string(i),
                                          .zone = "",
                                          .address = "a" + std::to_string(i),
                                          .pull_address = ""},
                    i, false, start);
    }
    peer_digests digests{known, "p0", "", 1};
    std::map<std::string, int> told;
    for (int round = 0; round < 3; ++round) {
        const auto receivers = digests.next_receivers();
        EXPECT_LE(receivers.size(), 8U);
        for (const auto* each : receivers) {
            ++told[each->name];
        }
    }
    EXPECT_EQ(told.size(), number - 1U);
    EXPECT_FALSE(told.contains("p0"));
}

void add_peers(discovery::directory& known, const std::string& zone, int number) {
    for (int i = 0; i < number; ++i) {
        known.apply(
            discovery::peer_entry{
                .name = zone + std::to_string(i), .zone = zone, .address = "", .pull_address = ""},
            i, false, start);
    }
}

// Forty peers in each of three zones.
discovery::directory three_zones() {
    discovery::directory known;
    for (const auto* zone : {"north", "south", "west"}) {
        add_peers(known, zone, 40);
    }
    return known;
}

// Tells that so many requests are open on the service "board".
wire::digest digest_of_open(const peer_digests& digests, int open) {
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    wire::digest result;
    result.demands = digests.demands_of(demands, steering::flow_tracker{}, start);
    result.demands.front().open = open;
    return result;
}

TEST(peer_digests, most_receivers_are_of_the_own_zone_and_all_are_told_in_turn) {
    // Guards against signs of a target that reach one in five of those who have its flows.
    const auto known = three_zones();
    peer_digests digests{known, "north0", "north", 1};
    std::set<std::string> near;
    for (int round = 0; round < 7; ++round) {
        const auto receivers = digests.next_receivers();
        EXPECT_EQ(receivers.size(), 8U);
        EXPECT_GE(std::ranges::count(receivers, "north", &discovery::peer_entry::zone), 3);
        EXPECT_GE(std::ranges::count_if(receivers,
                                        [](const auto* each) { return each->zone != "north"; }),
                  2);
        for (const auto* each : receivers) {
            if (each->zone == "north") {
                near.insert(each->name);
            }
        }
    }
    EXPECT_EQ(near.size(), 39U);
}

TEST(peer_digests, a_digest_stands_for_those_of_its_own_zone) {
    // Guards against two instances of a far zone that stand for forty and make a target look full.
    const auto known = three_zones();
    peer_digests digests{known, "north0", "north", 1};
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

TEST(peer_digests, all_open_requests_of_a_service_count_though_few_peers_of_a_zone_are_heard) {
    // Guards against a rush that is let in whole: targets are told of one by one only while they
    // are among the most loaded, and far zones by few instances, so sums over targets are too low.
    discovery::directory known;
    add_peers(known, "far", 10);
    peer_digests digests{known, "near", "home", 1};
    const auto content = digest_of_open(digests, 17);
    digests.on_digest("far1", content, start);
    digests.on_digest("far2", content, start);
    // Ten times 17, less four standard deviations: each of the two heard stands for five.
    EXPECT_NEAR(digests.open_remote_of_service("board", start), 170 - 4 * std::sqrt(2 * 17 * 5 * 4),
                0.1);
}

TEST(peer_digests, a_few_requests_of_one_far_peer_do_not_fill_a_service) {
    // Guards against callers of an idle service who are refused, as one far peer stands for thirty.
    discovery::directory known;
    add_peers(known, "far", 30);
    peer_digests digests{known, "near", "home", 1};
    const auto content = digest_of_open(digests, 4);
    digests.on_digest("far1", content, start);
    EXPECT_DOUBLE_EQ(digests.open_remote_of_service("board", start), 0);
}

TEST(peer_digests, tells_the_open_requests_of_a_service_over_all_its_targets) {
    discovery::directory known;
    steering::flow_tracker flows;
    for (int i = 0; i < 30; ++i) {
        discovery::target_entry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "board";
        known.apply(entry, i + 1, false, start);
        steering::segment opening;
        opening.flow.caller = {.address = 7, .port = static_cast<std::uint16_t>(i)};
        opening.is_opening = true;
        flows.note_opening(opening, discovery::token_of(entry.id), start);
    }
    const peer_digests digests{known, "near", "home", 1};
    steering::demand_by_service demands;
    demands["board"].on_request(0, start);
    const auto told = digests.demands_of(demands, flows, start);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().open, 30);
}

TEST(peer_digests, a_digest_keeps_within_what_an_instance_has_for_control) {
    // 5 KB a second: 8 receivers each 300 ms leave 187 bytes for a digest, whatever is loaded.
    const discovery::directory known;
    const peer_digests digests{known, "p0", "", 1};
    steering::flow_tracker flows;
    for (std::uint16_t port = 1; port < 500; ++port) {
        steering::segment opening;
        opening.flow.caller = {.address = 7, .port = port};
        opening.is_opening = true;
        flows.note_opening(opening, 0xFFFFFF00U + port % 50U, start);
    }
    wire::peer_message message;
    message.sender = "front-port-louis-10";
    message.incarnation = to_milliseconds(start);
    wire::digest content = fleet_digest_of(digests, flows);
    steering::demand_by_service demands;
    for (const auto* service : {"board", "plans", "alerts", "archive", "readings"}) {
        for (int i = 0; i < 20'000; ++i) {
            demands[service].on_request(0, start);
        }
    }
    content.demands = digests.demands_of(demands, steering::flow_tracker{}, start);
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
