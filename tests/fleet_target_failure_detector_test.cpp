// Fleet: a target that leaves packets unanswered is found dead by several instances together, and a
// target that lives isn't.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "fleet/target_failure_detector.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

using discovery::routing_token;

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr clock::duration probe_limit{60};

// Instances with what they know and found, and the messages between them, which take no time.
class fleet_target_failure_detector : public ::testing::Test {
protected:
    static inline const routing_token token_of_target = discovery::token_of("i-1");

    struct instance final : fleet::failure_detector_actions {
        instance(fleet_target_failure_detector& owner, const std::string& own_name,
                 const std::string& own_zone)
            : fleet{owner},
              name{own_name},
              zone{own_zone},
              inquiries{owner.known_, own_name, own_zone, *this} {}

        void probe(const discovery::target& target) override {
            ++all_probes;
            const bool is_control = target.token != token_of_target;
            probes += is_control ? 0 : 1;
            const bool is_answered = is_control && fleet.are_controls_reached_;
            if (is_answered || fleet.can_reach_(*this)) {
                fleet.later_.emplace_back(
                    [this, token = target.token] { inquiries.on_probe(token, true, fleet.now_); });
            } else {
                probing.push_back(target.token);
            }
        }
        void ask(const discovery::peer_entry& peer, routing_token token) override {
            ++questions;
            fleet.later_.emplace_back([this, to = peer.name, token] {
                if (!fleet.gone_.contains(to)) {
                    fleet.named(to).inquiries.on_probe_request(name, token, fleet.now_);
                }
            });
        }
        void answer(const discovery::peer_entry& peer, routing_token token,
                    bool is_reachable) override {
            fleet.later_.emplace_back([this, to = peer.name, token, is_reachable] {
                fleet.named(to).inquiries.on_answer(name, token, is_reachable, fleet.now_);
            });
        }
        void on_dead(const discovery::target& /*target*/, clock::time_point /*probed_at*/,
                     std::span<const std::string> /*confirmed_by*/,
                     clock::time_point /*now*/) override {
            has_ended_flows = true;
        }
        void on_reported_dead(const discovery::target& /*target*/,
                              clock::time_point /*until*/) override {
            is_shunning = true;
        }
        void on_reached(const discovery::target& /*target*/) override { is_shunning = false; }

        fleet_target_failure_detector& fleet;
        std::string name;
        std::string zone;
        fleet::target_failure_detector inquiries;
        std::vector<routing_token> probing;  // without an answer
        int probes = 0;                      // of the first target
        int all_probes = 0;
        int questions = 0;
        bool has_flows = false;
        bool has_ended_flows = false;
        bool is_shunning = false;
    };

    fleet_target_failure_detector() {
        known_.apply(testing::board_catalogue(), 1, false, start - clock::duration{1});
        for (const auto* id : {"i-1", "i-2", "i-3"}) {
            known_.apply(testing::board_target(id, "north", 2), 1, false,
                         start - clock::duration{1});
        }
    }

    void add_instances(int number, const std::string& zone) {
        for (int i = 0; i < number; ++i) {
            const auto name = zone + "-" + std::to_string(i);
            known_.apply(
                discovery::peer_entry{
                    .name = name, .zone = zone, .address = name, .pull_address = name},
                2, false, start);
            instances_.push_back(std::make_unique<instance>(*this, name, zone));
        }
    }

    instance& named(const std::string& name) {
        for (auto& each : instances_) {
            if (each->name == name) {
                return *each;
            }
        }
        throw std::invalid_argument{name};
    }

    void deliver() {
        while (!later_.empty()) {
            const auto next = std::move(later_.front());
            later_.pop_front();
            next();
        }
    }

    // Messages arrive, and probes without an answer reach their limit.
    void settle() {
        deliver();
        for (int round = 0; round < 2; ++round) {
            now_ += probe_limit;
            for (auto& each : instances_) {
                for (const auto token : std::exchange(each->probing, {})) {
                    each->inquiries.on_probe(token, false, now_);
                }
            }
            deliver();
        }
    }

    void advance(clock::duration by) {
        now_ += by;
        for (auto& each : instances_) {
            each->inquiries.expire(now_);
        }
    }

    // Each instance tells the six that come after it.
    void exchange_digests() {
        constexpr std::size_t receivers = 6;
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            for (const auto& told : instances_[from]->inquiries.take_verdicts(now_)) {
                for (std::size_t i = 1; i <= receivers; ++i) {
                    auto& to = *instances_[(from + i * i) % instances_.size()];
                    to.inquiries.on_reported_dead(instances_[from]->name, told, to.has_flows, now_);
                }
            }
        }
        settle();
    }

    int count(bool instance::*what) const {
        return static_cast<int>(
            std::ranges::count_if(instances_, [what](const auto& each) { return (*each).*what; }));
    }
    int all_probes() const {
        int sum = 0;
        for (const auto& each : instances_) {
            sum += each->probes;
        }
        return sum;
    }

    discovery::directory known_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::deque<std::function<void()>> later_;
    std::set<std::string> gone_;  // they answer nobody
    std::function<bool(const instance&)> can_reach_ = [](const instance&) { return false; };
    bool are_controls_reached_ = true;  // i-2 and i-3
    clock::time_point now_ = start;
};

TEST_F(fleet_target_failure_detector, ends_flows_of_a_dead_target_of_which_each_instance_has_one) {
    // Guards against callers of a dead target that wait for their deadlines one by one.
    add_instances(40, "north");
    for (int i = 0; i < 6; ++i) {
        instances_[static_cast<std::size_t>(i) * 6]->has_flows = true;
    }
    instances_[0]->inquiries.suspect(token_of_target, now_);
    settle();
    EXPECT_TRUE(instances_[0]->has_ended_flows);
    EXPECT_LE(now_ - start, clock::duration{150});
    for (int beat = 0; beat < 3; ++beat) {
        exchange_digests();
    }
    EXPECT_EQ(count(&instance::has_ended_flows), 6);
    EXPECT_GE(count(&instance::is_shunning), 39);
    // Those with flows, and the three that the first one asked.
    EXPECT_LE(all_probes(), 9);
}

TEST_F(fleet_target_failure_detector, ends_no_flow_when_a_peer_reaches_the_target) {
    // Guards against an instance with a link of its own that is cut, which finds every target dead.
    add_instances(9, "north");
    can_reach_ = [](const instance& from) { return from.name != "north-0"; };
    instances_[0]->has_flows = true;
    instances_[0]->inquiries.suspect(token_of_target, now_);
    settle();
    EXPECT_EQ(count(&instance::has_ended_flows), 0);
    EXPECT_TRUE(instances_[0]->inquiries.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, ends_no_flow_on_the_word_of_peers_alone) {
    // Guards against half a zone that is cut off from a target and talks the other half into ending
    // flows that live.
    add_instances(8, "north");
    can_reach_ = [](const instance& from) { return from.name >= "north-4"; };
    instances_[6]->has_flows = true;
    instances_[6]->inquiries.on_reported_dead("north-0", {.token = token_of_target}, true, now_);
    EXPECT_TRUE(instances_[6]->is_shunning);
    settle();
    EXPECT_FALSE(instances_[6]->has_ended_flows);
    EXPECT_FALSE(instances_[6]->is_shunning);
    // Nor does it pass the word on, or take it from the next peer that tells it.
    EXPECT_TRUE(instances_[6]->inquiries.take_verdicts(now_).empty());
    instances_[6]->inquiries.on_reported_dead("north-1", {.token = token_of_target}, true, now_);
    EXPECT_FALSE(instances_[6]->is_shunning);
}

TEST_F(fleet_target_failure_detector, believes_only_peers_of_its_own_zone) {
    // Guards against two zones that a cut has parted and that find each other's targets dead.
    add_instances(3, "north");
    add_instances(3, "south");
    named("north-0").inquiries.on_reported_dead("south-0", {.token = token_of_target}, true, now_);
    settle();
    EXPECT_EQ(count(&instance::is_shunning), 0);
    EXPECT_EQ(all_probes(), 0);
}

TEST_F(fleet_target_failure_detector, asks_peers_of_its_own_zone_first) {
    add_instances(5, "south");
    add_instances(5, "north");
    can_reach_ = [](const instance& from) { return from.zone == "south"; };
    named("north-2").inquiries.suspect(token_of_target, now_);
    settle();
    EXPECT_TRUE(named("north-2").has_ended_flows);
}

TEST_F(fleet_target_failure_detector, asks_others_when_those_that_were_asked_are_gone) {
    // Guards against a zone that has lost power together with its targets: its instances are listed
    // for seconds more, and answer nobody.
    add_instances(12, "north");
    for (int i = 1; i < 9; ++i) {
        gone_.insert("north-" + std::to_string(i));
    }
    int repeats = 0;
    while (!instances_[0]->has_ended_flows && repeats < 20) {
        ++repeats;
        instances_[0]->inquiries.suspect(token_of_target, now_);
        settle();
        advance(clock::duration{400});
        advance(clock::duration{600});
    }
    EXPECT_TRUE(instances_[0]->has_ended_flows);
}

TEST_F(fleet_target_failure_detector,
       decides_nothing_about_a_service_whose_targets_take_no_connections) {
    // Guards against a network that lets only packets of flows through to targets, where each that
    // is slow for a moment would count as dead.
    add_instances(6, "north");
    are_controls_reached_ = false;
    for (int i = 0; i < 10; ++i) {
        instances_[0]->inquiries.suspect(token_of_target, now_);
        settle();
        advance(clock::duration{1'100});
    }
    EXPECT_EQ(count(&instance::has_ended_flows), 0);
    EXPECT_TRUE(instances_[0]->inquiries.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, decides_nothing_without_peers) {
    // Guards against the only instance that is left, whose own link may be what is cut.
    add_instances(1, "north");
    instances_[0]->inquiries.suspect(token_of_target, now_);
    settle();
    EXPECT_FALSE(instances_[0]->has_ended_flows);
}

TEST_F(fleet_target_failure_detector, probes_a_target_once_for_all_that_ask) {
    // Guards against a slow target that each of its callers' repetitions burdens with a connection.
    add_instances(4, "north");
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < 20; ++i) {
        instances_[0]->inquiries.suspect(token_of_target, now_);
        settle();
    }
    EXPECT_EQ(instances_[0]->probes, 1);
    for (int i = 1; i < 4; ++i) {
        instances_[0]->inquiries.on_probe_request("north-" + std::to_string(i), token_of_target,
                                                  now_);
    }
    EXPECT_EQ(all_probes(), 1);
}

TEST_F(fleet_target_failure_detector, probes_few_targets_a_second_when_all_answer_late) {
    // Guards against a rush in which each instance connects to each slow target again and again.
    constexpr int targets = 300;
    add_instances(1, "north");
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < targets; ++i) {
        discovery::target_entry entry;
        entry.id = "slow-" + std::to_string(i);
        entry.service = "board";
        known_.apply(entry, 10 + i, false, start);
    }
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < targets; ++i) {
            const auto token = discovery::token_of("slow-" + std::to_string(i));
            instances_[0]->inquiries.suspect(token, now_);
        }
        deliver();
        advance(clock::duration{1'001});
    }
    EXPECT_LE(instances_[0]->all_probes, 64 + 10 * 10);
    EXPECT_GE(instances_[0]->all_probes, 64);
}

TEST_F(fleet_target_failure_detector, a_verdict_ends_with_its_lifetime_wherever_it_was_passed_on) {
    // Guards against word of a death that goes round among peers after the target is back.
    add_instances(6, "north");
    instances_[0]->inquiries.suspect(token_of_target, now_);
    settle();
    const auto found_at = now_;
    can_reach_ = [](const instance&) { return true; };
    while (now_ < found_at + clock::duration{3'300}) {
        exchange_digests();
        advance(clock::duration{100});
    }
    for (int beat = 0; beat < 10; ++beat) {
        for (auto& each : instances_) {
            EXPECT_TRUE(each->inquiries.take_verdicts(now_).empty());
        }
        advance(clock::duration{300});
    }
}

TEST_F(fleet_target_failure_detector,
       a_dead_target_that_is_still_listed_is_probed_before_callers_try_it) {
    // Guards against callers of all instances that try it again as soon as the verdict is old.
    add_instances(4, "north");
    instances_[0]->inquiries.suspect(token_of_target, now_);
    settle();
    for (int i = 0; i < 100; ++i) {
        exchange_digests();
        advance(clock::duration{100});
    }
    EXPECT_GE(instances_[0]->probes, 5);
    EXPECT_TRUE(instances_[2]->is_shunning);
    // It is back.
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < 40; ++i) {
        advance(clock::duration{100});
        settle();
    }
    EXPECT_FALSE(instances_[0]->is_shunning);
}

TEST_F(fleet_target_failure_detector, a_verdict_that_comes_back_by_another_way_is_the_same) {
    // Guards against word that goes round for longer, since each teller makes it a little newer.
    add_instances(3, "north");
    auto& subject = named("north-0").inquiries;
    advance(clock::duration{1'000});
    subject.on_reported_dead("north-1", {.token = token_of_target, .age = clock::duration{200}},
                             false, now_);
    EXPECT_EQ(subject.take_verdicts(now_).size(), 1U);
    advance(clock::duration{300});
    subject.on_reported_dead("north-2", {.token = token_of_target, .age = clock::duration{490}},
                             false, now_);
    EXPECT_FALSE(subject.has_news());
    // A new probe has failed since.
    advance(clock::duration{2'200});
    subject.on_reported_dead("north-2", {.token = token_of_target, .age = clock::duration{10}},
                             false, now_);
    EXPECT_TRUE(subject.has_news());
}

TEST_F(fleet_target_failure_detector, a_target_that_writes_to_the_store_is_alive) {
    add_instances(4, "north");
    instances_[1]->inquiries.on_reported_dead("north-0", {.token = token_of_target}, false, now_);
    EXPECT_TRUE(instances_[1]->is_shunning);
    instances_[1]->inquiries.on_entry(token_of_target);
    EXPECT_FALSE(instances_[1]->is_shunning);
    EXPECT_TRUE(instances_[1]->inquiries.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, tells_of_many_dead_targets_in_turn) {
    // Guards against a lost zone whose first sixteen targets are told over and over.
    constexpr int targets = 60;
    add_instances(2, "north");
    for (int i = 0; i < targets; ++i) {
        discovery::target_entry entry;
        entry.id = "dead-" + std::to_string(i);
        known_.apply(entry, 10 + i, false, start - clock::duration{1});
        instances_[0]->inquiries.on_reported_dead(
            "north-1", {.token = discovery::token_of(entry.id)}, false, now_);
    }
    std::set<routing_token> told;
    for (int digest = 0; digest < 4; ++digest) {
        EXPECT_TRUE(instances_[0]->inquiries.has_news());
        const auto verdicts = instances_[0]->inquiries.take_verdicts(now_);
        EXPECT_LE(verdicts.size(), 16U);
        for (const auto& each : verdicts) {
            told.insert(each.token);
        }
    }
    EXPECT_EQ(told.size(), targets);
    EXPECT_FALSE(instances_[0]->inquiries.has_news());
}

}  // namespace
}  // namespace bramleytrack
