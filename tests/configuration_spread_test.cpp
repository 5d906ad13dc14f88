// Configuration: the text's way from the store and from peer to peer.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "base/hash.h"
#include "configuration/patch.h"
#include "distribution/configuration_sync.h"
#include "instance/context.h"
#include "instance/instance.h"
#include "support/fleet_text.h"
#include "support/session.h"
#include "wire/codec.h"

namespace bramleytrack {
namespace {

const auto start = to_time_point(1'000'000);

std::string text_with(int targets) {
    return testing::fleet_text({.zones = 1, .services = 1, .targets = targets});
}

// One slice with its context; what it sends is taken from the context's actions.
struct node {
    explicit node(const std::string& name, std::span<const membership::listed_instance> listed)
        : shared{identity{.name = name,
                          .zone = "zone-0",
                          .peer_address = name,
                          .incarnation = 1,
                          .started = start}},
          slice{{.configuration = shared.configuration,
                 .is_configuration_confirmed = shared.is_configuration_confirmed,
                 .previous = shared.previous,
                 .out = shared.out}} {
        shared.peers.set_listed(listed, start);
    }

    wire::peer_message heartbeat() const {
        wire::heartbeat beat;
        beat.configuration_version = shared.configuration.version;
        beat.configuration_digest = static_cast<std::int64_t>(shared.configuration.digest);
        beat.configuration_confirmed = shared.is_configuration_confirmed;
        wire::peer_message message;
        message.sender = shared.self.name;
        message.__set_beat(beat);
        return message;
    }

    void receive(const wire::peer_message& message, clock::time_point now) {
        if (message.__isset.beat) {
            slice.on_heartbeat(message, now);
        }
        if (message.__isset.configuration_request) {
            slice.on_wanted(message.sender, message.configuration_request);
        }
        if (message.__isset.configuration) {
            slice.on_part(message.sender, message.configuration, now);
        }
    }

    std::vector<send_to_peer> take_sent() {
        std::vector<send_to_peer> sent;
        for (auto& each : shared.out.take_actions()) {
            if (auto* found = std::get_if<send_to_peer>(&each)) {
                sent.push_back(std::move(*found));
            }
        }
        return sent;
    }

    context shared;
    distribution::configuration_sync slice;
};

std::vector<membership::listed_instance> listed(int count) {
    std::vector<membership::listed_instance> result;
    for (int i = 0; i < count; ++i) {
        const std::string name(1, static_cast<char>('a' + i));
        result.push_back({.name = name, .zone = "zone-0", .address = name, .is_leaving = false});
    }
    return result;
}

// Lets two nodes talk until both are silent; returns the messages and bytes that went over.
struct traffic {
    int messages = 0;
    std::size_t bytes = 0;
};

traffic settle(node& first, node& second, clock::time_point now) {
    traffic result;
    wire::encoder encoder;
    const auto key = wire::derive_fleet_key("test");
    for (bool is_busy = true; is_busy;) {
        is_busy = false;
        for (auto* each : {&first, &second}) {
            for (const auto& sent : each->take_sent()) {
                is_busy = true;
                ++result.messages;
                result.bytes += encoder.encode(sent.content, key).size();
                (each == &first ? second : first).receive(sent.content, now);
            }
        }
    }
    return result;
}

void start_fleet_of_nine(testing::session& session) {
    for (const auto* line : {"zone north", "zone south", "service board 10.0.0.1:443"}) {
        session.run(line);
    }
    for (int i = 0; i < 14; ++i) {
        session.run("target board-" + std::to_string(i) + (i % 2 == 0 ? " north" : " south") +
                    " board slots=2 connections=10");
    }
    for (int i = 0; i < 9; ++i) {
        session.run("instance i" + std::to_string(i) + (i % 2 == 0 ? " north" : " south"));
    }
    session.run("apply");
    session.run("advance 5000");
    session.take_transcript();
}

TEST(configuration_spread, a_change_costs_each_peer_one_transfer) {
    // An operator changes the text while one instance alone reaches the store; control traffic
    // jumps. Each peer that had the new text sent it whole to each that hadn't, and was asked for
    // it too, so that one change crossed the fleet dozens of times.
    testing::session session;
    start_fleet_of_nine(session);
    session.run("set zone south out");
    session.run("apply to=i0");
    session.run("advance 2000");
    std::map<std::string, int> received;
    for (const auto& line : session.take_transcript()) {
        if (line.find(": configuration: ") != std::string::npos) {
            const auto arrow = line.find("-> ");
            ++received[line.substr(arrow + 3, 2)];
        }
    }
    EXPECT_EQ(received.size(), 8);
    for (const auto& [name, count] : received) {
        EXPECT_EQ(count, 1) << name;
        EXPECT_EQ(session.core(name).state().configuration.version, 2) << name;
    }
}

TEST(configuration_spread, one_peer_is_asked_at_a_time) {
    // A change reaches eight peers at once and all of their heartbeats arrive before the first
    // answer does. Asking each of them brings the same text eight times.
    const auto names = listed(9);
    node subject{"a", names};
    std::map<std::string, int> asked;
    const auto hear_all = [&](clock::time_point now) {
        for (std::size_t i = 1; i < names.size(); ++i) {
            node peer{names[i].name, names};
            peer.slice.on_store(text_with(2), 1);
            subject.receive(peer.heartbeat(), now);
        }
        for (const auto& sent : subject.take_sent()) {
            ++asked[sent.name];
        }
    };
    hear_all(start);
    EXPECT_EQ(asked, (std::map<std::string, int>{{"b", 1}}));
    // Its answer is lost: it is asked again, and another one when it stays silent.
    hear_all(start + clock::duration{500});
    EXPECT_EQ(asked, (std::map<std::string, int>{{"b", 2}}));
}

TEST(configuration_spread, a_late_transfer_does_not_replace_a_newer_text) {
    // Found by the property test below. A peer is asked for version 1; before its answer arrives,
    // the store shows version 2; the answer put version 1 in force again. It shows as a change that
    // reverts for as long as the next heartbeat takes.
    const auto names = listed(2);
    node subject{"a", names};
    node peer{"b", names};
    peer.slice.on_store(text_with(2), 1);
    subject.receive(peer.heartbeat(), start);
    subject.slice.on_store(text_with(3), 2);
    settle(subject, peer, start);
    EXPECT_EQ(subject.shared.configuration.version, 2);
}

TEST(configuration_spread, zone_out_is_in_force_within_seconds_without_the_store) {
    // A zone is taken out while all but one instance are cut off from the store, and some of these
    // reach the one only through others. The zone would go on getting packets from them.
    testing::session session;
    start_fleet_of_nine(session);
    for (int i = 4; i < 9; ++i) {
        session.run("cut i0 i" + std::to_string(i));
    }
    session.run("set zone south out");
    session.run("apply to=i0");
    session.run("advance 3000");
    for (int i = 0; i < 9; ++i) {
        EXPECT_FALSE(
            session.core("i" + std::to_string(i)).state().configuration.is_zone_in("south"));
    }
}

TEST(configuration_spread, an_instance_without_the_store_starts_from_its_peers) {
    // The platform is down and an instance is replaced. It has no text, and would serve nothing
    // until the platform is back.
    testing::session session;
    start_fleet_of_nine(session);
    session.run("set zone south out");
    session.run("apply to=i0,i1,i2");
    session.run("kill i8");
    session.run("restart i8");
    session.run("advance 2000");
    EXPECT_EQ(session.core("i8").state().configuration.version, 2);
}

TEST(configuration_spread, a_large_change_travels_as_a_small_patch) {
    // At the planned size a change sent whole exceeds the control budget: some 750 KB, 3,400 times
    // a day, are 30 KB a second for each daemon.
    const auto before = testing::fleet_text({.zones = 6, .services = 1'400, .targets = 4'700});
    auto after = before;
    after.replace(after.rfind("\"cold_connections\": 200"), 23, "\"cold_connections\": 300");
    const auto names = listed(2);
    node first{"a", names};
    node second{"b", names};
    first.slice.on_store(before, 1);
    second.receive(first.heartbeat(), start);
    const auto whole = settle(first, second, start);
    ASSERT_EQ(second.shared.configuration.version, 1);
    first.slice.on_store(after, 2);
    second.receive(first.heartbeat(), start);
    const auto change = settle(first, second, start);
    ASSERT_EQ(second.shared.configuration.text, after);
    EXPECT_LT(change.bytes, 500);
    EXPECT_LT(whole.bytes, 64 * 1024);
    RecordProperty("text_bytes", static_cast<int>(before.size()));
    RecordProperty("whole_bytes", static_cast<int>(whole.bytes));
    RecordProperty("whole_messages", whole.messages);
    RecordProperty("change_bytes", static_cast<int>(change.bytes));
}

TEST(configuration_spread, a_restored_store_never_reverts_the_fleet) {
    // The store comes back from an older copy and shows an older version, in which a zone that is
    // out is still in. Taking it would send packets there again.
    node subject{"a", listed(1)};
    ASSERT_TRUE(subject.slice.on_store(text_with(3), 7));
    EXPECT_FALSE(subject.slice.on_store(text_with(2), 5));
    EXPECT_EQ(subject.shared.configuration.version, 7);
    EXPECT_EQ(subject.shared.configuration.targets.size(), 3);
}

// A target that an earlier text named stays known as removed, for its flows.
std::ptrdiff_t targets_named_by_text(const node& subject) {
    const auto& targets = subject.shared.configuration.targets;
    return std::ranges::count_if(targets, [](const auto& each) {
        return each.state != configuration::target_state::removed;
    });
}

TEST(configuration_spread, two_texts_under_one_version_end_at_that_of_the_store) {
    // After a restore the store gives a version a second time. Half of the fleet serves one text,
    // half another, under the same number, and no one is behind anyone.
    const auto names = listed(3);
    node confirmed{"a", names};
    node follower{"b", names};
    confirmed.slice.on_store(text_with(2), 4);
    node earlier{"c", names};
    earlier.slice.on_store(text_with(3), 4);
    follower.receive(earlier.heartbeat(), start);
    settle(follower, earlier, start);
    ASSERT_EQ(targets_named_by_text(follower), 3);

    follower.receive(confirmed.heartbeat(), start);
    settle(follower, confirmed, start);
    EXPECT_EQ(targets_named_by_text(follower), 2);
    EXPECT_TRUE(follower.slice.take_store_wanted());
    // One that has read its text from the store itself doesn't follow a peer; its store decides.
    earlier.receive(confirmed.heartbeat(), start);
    EXPECT_TRUE(earlier.take_sent().empty());
    ASSERT_TRUE(earlier.slice.take_store_wanted());
    EXPECT_TRUE(earlier.slice.on_store(text_with(2), 4));
    EXPECT_EQ(targets_named_by_text(earlier), 2);
}

TEST(configuration_spread, a_text_that_fails_the_checks_is_asked_for_once) {
    // A peer of a later release accepts a text that this one refuses. Each of its heartbeats would
    // lead to another full transfer, twice a second, for as long as the text stands.
    const auto names = listed(2);
    node subject{"a", names};
    subject.slice.on_store(text_with(2), 1);
    const std::string text = R"({"zones": [], "services": [], "targets": [], "unheard_of": 1})";
    configuration::step_history history;
    const auto bytes = history.transfer_from(0, text);
    wire::heartbeat beat;
    beat.configuration_version = 2;
    beat.configuration_digest = static_cast<std::int64_t>(hash_of(text));
    wire::peer_message heartbeat;
    heartbeat.sender = "b";
    heartbeat.__set_beat(beat);
    subject.receive(heartbeat, start);
    ASSERT_EQ(subject.take_sent().size(), 1);
    wire::configuration_part part;
    part.version = 2;
    part.digest = beat.configuration_digest;
    part.transfer = 9;
    part.size = static_cast<std::int32_t>(bytes.size());
    part.content = bytes;
    subject.slice.on_part("b", part, start);
    for (int i = 1; i < 10; ++i) {
        subject.receive(heartbeat, start + clock::duration{500 * i});
        EXPECT_TRUE(subject.take_sent().empty());
    }
    EXPECT_EQ(subject.shared.configuration.version, 1);
}

// Random losses, duplicates and reordering between three peers while the store gives versions to
// any of them: no version falls, each text in force is exactly what the store gave under its
// version, and all are at the newest once messages arrive again.
RC_GTEST_PROP(configuration_spread, converges_and_never_reverts,
              (const std::vector<std::uint8_t>& picks)) {
    const auto names = listed(3);
    std::vector<std::unique_ptr<node>> nodes;
    nodes.reserve(names.size());
    for (const auto& each : names) {
        nodes.push_back(std::make_unique<node>(each.name, names));
    }
    std::map<std::int64_t, std::string> given;
    std::vector<send_to_peer> in_flight;
    std::vector<std::int64_t> seen(nodes.size(), 0);
    auto now = start;
    const auto deliver = [&](const send_to_peer& sent) {
        nodes[static_cast<std::size_t>(sent.name.front() - 'a')]->receive(sent.content, now);
    };
    const auto collect = [&] {
        for (auto& each : nodes) {
            for (auto& sent : each->take_sent()) {
                sent.content.sender = each->shared.self.name;
                in_flight.push_back(std::move(sent));
            }
        }
    };
    const auto beat = [&](std::size_t from, std::size_t to) {
        if (from != to) {
            in_flight.push_back({nodes[to]->shared.self.name, "", nodes[from]->heartbeat()});
        }
    };
    const auto check = [&] {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto& current = nodes[i]->shared.configuration;
            RC_ASSERT(current.version >= seen[i]);
            seen[i] = current.version;
            const auto found = given.find(current.version);
            RC_ASSERT(current.text == (found == given.end() ? std::string{} : found->second));
        }
    };
    for (const auto pick : picks) {
        now += clock::duration{pick};
        const auto subject = static_cast<std::size_t>(pick / 8 % 3);
        switch (pick % 8) {
            case 0: {
                const auto version = static_cast<std::int64_t>(given.size()) + 1;
                given[version] = text_with(2 + pick % 40);
                nodes[subject]->slice.on_store(given[version], version);
                break;
            }
            case 1:
                if (!given.empty()) {  // a late answer of the store: an older version
                    nodes[subject]->slice.on_store(given.begin()->second, given.begin()->first);
                }
                break;
            case 2:
            case 3:
                beat(subject, pick / 24 % 3);
                break;
            case 4:
                if (!in_flight.empty()) {  // lost
                    in_flight.erase(in_flight.begin());
                }
                break;
            case 5:
                if (!in_flight.empty()) {  // delivered twice
                    deliver(in_flight.back());
                }
                break;
            default:
                if (!in_flight.empty()) {  // out of order
                    const auto index = pick % in_flight.size();
                    const auto sent = in_flight[index];
                    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
                    deliver(sent);
                }
        }
        collect();
        check();
    }
    for (int round = 0; round < 12; ++round) {
        now += membership::heartbeat_interval;
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            beat(from, (from + 1) % 3);
            beat(from, (from + 2) % 3);
        }
        while (!in_flight.empty()) {
            const auto sent = in_flight.front();
            in_flight.erase(in_flight.begin());
            deliver(sent);
            collect();
            check();
        }
    }
    for (const auto& each : nodes) {
        RC_ASSERT(each->shared.configuration.version == static_cast<std::int64_t>(given.size()));
    }
}

}  // namespace
}  // namespace bramleytrack
