// Fleet: a target that leaves packets unanswered is declared dead after several instances failed to
// reach it, and a live target isn't.
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

// Instances with their failure detectors, and the messages between them, which take no time.
class fleet_target_failure_detector : public ::testing::Test {
protected:
    static inline const routing_token token_of_target = discovery::token_of("i-1");

    struct instance final : fleet::failure_detector_actions {
        instance(fleet_target_failure_detector& owner, const std::string& own_name,
                 const std::string& own_zone)
            : fleet{owner},
              name{own_name},
              zone{own_zone},
              detector{owner.directory_, own_name, own_zone, *this} {}

        void probe(const discovery::target& target) override {
            ++all_probes;
            const bool is_control = target.token != token_of_target;
            probes += is_control ? 0 : 1;
            const bool is_reachable_control = is_control && fleet.are_control_targets_reachable_;
            if (is_reachable_control || fleet.can_reach_(*this)) {
                fleet.pending_messages_.emplace_back([this, token = target.token] {
                    detector.on_probe_result(token, true, fleet.now_);
                });
            } else {
                unanswered_probes.push_back(target.token);
            }
        }
        void request_indirect_probe(const discovery::peer_entry& peer,
                                    routing_token token) override {
            ++indirect_probe_requests;
            fleet.pending_messages_.emplace_back([this, to = peer.name, token] {
                if (!fleet.unresponsive_.contains(to)) {
                    fleet.instance_named(to).detector.on_indirect_probe_request(name, token,
                                                                                fleet.now_);
                }
            });
        }
        void send_indirect_probe_result(const discovery::peer_entry& peer, routing_token token,
                                        bool is_reachable) override {
            fleet.pending_messages_.emplace_back([this, to = peer.name, token, is_reachable] {
                fleet.instance_named(to).detector.on_indirect_probe_result(
                    name, token, is_reachable, fleet.now_);
            });
        }
        void on_dead(const discovery::target& /*target*/, clock::time_point /*probed_at*/,
                     std::span<const std::string> /*confirmed_by*/,
                     clock::time_point /*now*/) override {
            has_ended_flows = true;
        }
        void on_reported_dead(const discovery::target& /*target*/,
                              clock::time_point /*until*/) override {
            avoids_target = true;
        }
        void on_found_alive(const discovery::target& /*target*/) override { avoids_target = false; }

        fleet_target_failure_detector& fleet;
        std::string name;
        std::string zone;
        fleet::target_failure_detector detector;
        std::vector<routing_token> unanswered_probes;
        int probes = 0;  // of the target under test
        int all_probes = 0;
        int indirect_probe_requests = 0;
        bool has_flows = false;
        bool has_ended_flows = false;
        bool avoids_target = false;
    };

    fleet_target_failure_detector() {
        directory_.apply(testing::board_catalogue(), 1, false, start - clock::duration{1});
        for (const auto* id : {"i-1", "i-2", "i-3"}) {
            directory_.apply(testing::board_target(id, "north", 2), 1, false,
                             start - clock::duration{1});
        }
    }

    void add_instances(int number, const std::string& zone) {
        for (int i = 0; i < number; ++i) {
            const auto name = zone + "-" + std::to_string(i);
            directory_.apply(
                discovery::peer_entry{
                    .name = name, .zone = zone, .address = name, .pull_address = name},
                2, false, start);
            instances_.push_back(std::make_unique<instance>(*this, name, zone));
        }
    }

    instance& instance_named(const std::string& name) {
        for (auto& each : instances_) {
            if (each->name == name) {
                return *each;
            }
        }
        throw std::invalid_argument{name};
    }

    void deliver() {
        while (!pending_messages_.empty()) {
            const auto next = std::move(pending_messages_.front());
            pending_messages_.pop_front();
            next();
        }
    }

    // Delivers all messages, and lets unanswered probes time out.
    void settle() {
        deliver();
        for (int round = 0; round < 2; ++round) {
            now_ += probe_limit;
            for (auto& each : instances_) {
                for (const auto token : std::exchange(each->unanswered_probes, {})) {
                    each->detector.on_probe_result(token, false, now_);
                }
            }
            deliver();
        }
    }

    void advance(clock::duration by) {
        now_ += by;
        for (auto& each : instances_) {
            each->detector.expire(now_);
        }
    }

    // Each instance sends its verdicts to six others.
    void exchange_digests() {
        constexpr std::size_t receivers = 6;
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            for (const auto& report : instances_[from]->detector.take_verdicts(now_)) {
                for (std::size_t i = 1; i <= receivers; ++i) {
                    auto& to = *instances_[(from + i * i) % instances_.size()];
                    to.detector.on_reported_dead(instances_[from]->name, report, to.has_flows,
                                                 now_);
                }
            }
        }
        settle();
    }

    int count(bool instance::*flag) const {
        return static_cast<int>(
            std::ranges::count_if(instances_, [flag](const auto& each) { return (*each).*flag; }));
    }
    int all_probes() const {
        int sum = 0;
        for (const auto& each : instances_) {
            sum += each->probes;
        }
        return sum;
    }

    discovery::directory directory_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::deque<std::function<void()>> pending_messages_;
    std::set<std::string> unresponsive_;  // instances that handle no message
    std::function<bool(const instance&)> can_reach_ = [](const instance&) { return false; };
    bool are_control_targets_reachable_ = true;  // i-2 and i-3
    clock::time_point now_ = start;
};

TEST_F(fleet_target_failure_detector,
       ends_flows_of_a_dead_target_when_no_instance_has_more_than_one) {
    // Without shared verdicts, callers of a dead target wait for their deadlines one by one.
    add_instances(40, "north");
    for (int i = 0; i < 6; ++i) {
        instances_[static_cast<std::size_t>(i) * 6]->has_flows = true;
    }
    instances_[0]->detector.suspect(token_of_target, now_);
    settle();
    EXPECT_TRUE(instances_[0]->has_ended_flows);
    EXPECT_LE(now_ - start, clock::duration{150});
    for (int round = 0; round < 3; ++round) {
        exchange_digests();
    }
    EXPECT_EQ(count(&instance::has_ended_flows), 6);
    EXPECT_GE(count(&instance::avoids_target), 39);
    // The six instances with flows, and the three peers that the first one requested to probe.
    EXPECT_LE(all_probes(), 9);
}

TEST_F(fleet_target_failure_detector, ends_no_flow_when_a_peer_reaches_the_target) {
    // An instance whose own link is cut reaches no target, and must not declare them all dead.
    add_instances(9, "north");
    can_reach_ = [](const instance& from) { return from.name != "north-0"; };
    instances_[0]->has_flows = true;
    instances_[0]->detector.suspect(token_of_target, now_);
    settle();
    EXPECT_EQ(count(&instance::has_ended_flows), 0);
    EXPECT_TRUE(instances_[0]->detector.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, ends_no_flow_because_of_reports_of_peers_alone) {
    // Half a zone is cut off from a target; its reports must not make the other half end live
    // flows.
    add_instances(8, "north");
    can_reach_ = [](const instance& from) { return from.name >= "north-4"; };
    instances_[6]->has_flows = true;
    instances_[6]->detector.on_reported_dead("north-0", {.token = token_of_target}, true, now_);
    EXPECT_TRUE(instances_[6]->avoids_target);
    settle();
    EXPECT_FALSE(instances_[6]->has_ended_flows);
    EXPECT_FALSE(instances_[6]->avoids_target);
    // It doesn't forward the report either, or accept the same one from another peer.
    EXPECT_TRUE(instances_[6]->detector.take_verdicts(now_).empty());
    instances_[6]->detector.on_reported_dead("north-1", {.token = token_of_target}, true, now_);
    EXPECT_FALSE(instances_[6]->avoids_target);
}

TEST_F(fleet_target_failure_detector, accepts_reports_of_the_same_zone_only) {
    // Guards against a partition between two zones, in which each finds the other's targets dead.
    add_instances(3, "north");
    add_instances(3, "south");
    instance_named("north-0").detector.on_reported_dead("south-0", {.token = token_of_target}, true,
                                                        now_);
    settle();
    EXPECT_EQ(count(&instance::avoids_target), 0);
    EXPECT_EQ(all_probes(), 0);
}

TEST_F(fleet_target_failure_detector, requests_indirect_probes_in_the_same_zone_first) {
    add_instances(5, "south");
    add_instances(5, "north");
    can_reach_ = [](const instance& from) { return from.zone == "south"; };
    instance_named("north-2").detector.suspect(token_of_target, now_);
    settle();
    EXPECT_TRUE(instance_named("north-2").has_ended_flows);
}

TEST_F(fleet_target_failure_detector,
       requests_indirect_probes_from_other_peers_when_the_first_are_gone) {
    // When a zone loses power together with its targets, its instances stay listed for seconds and
    // send no results.
    add_instances(12, "north");
    for (int i = 1; i < 9; ++i) {
        unresponsive_.insert("north-" + std::to_string(i));
    }
    int retransmissions = 0;
    while (!instances_[0]->has_ended_flows && retransmissions < 20) {
        ++retransmissions;
        instances_[0]->detector.suspect(token_of_target, now_);
        settle();
        advance(clock::duration{400});
        advance(clock::duration{600});
    }
    EXPECT_TRUE(instances_[0]->has_ended_flows);
}

TEST_F(fleet_target_failure_detector,
       reaches_no_verdict_about_a_service_whose_targets_accept_no_connections) {
    // In a network that lets only packets of flows through to targets, each target that is slow for
    // a moment would count as dead.
    add_instances(6, "north");
    are_control_targets_reachable_ = false;
    for (int i = 0; i < 10; ++i) {
        instances_[0]->detector.suspect(token_of_target, now_);
        settle();
        advance(clock::duration{1'100});
    }
    EXPECT_EQ(count(&instance::has_ended_flows), 0);
    EXPECT_TRUE(instances_[0]->detector.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, reaches_no_verdict_without_peers) {
    // The link of the only remaining instance may be cut while the target is alive.
    add_instances(1, "north");
    instances_[0]->detector.suspect(token_of_target, now_);
    settle();
    EXPECT_FALSE(instances_[0]->has_ended_flows);
}

TEST_F(fleet_target_failure_detector,
       reuses_a_probe_result_for_retransmissions_and_requests_of_peers) {
    // Guards against a slow target that gets a connection for each retransmission of its callers.
    add_instances(4, "north");
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < 20; ++i) {
        instances_[0]->detector.suspect(token_of_target, now_);
        settle();
    }
    EXPECT_EQ(instances_[0]->probes, 1);
    for (int i = 1; i < 4; ++i) {
        instances_[0]->detector.on_indirect_probe_request("north-" + std::to_string(i),
                                                          token_of_target, now_);
    }
    EXPECT_EQ(all_probes(), 1);
}

TEST_F(fleet_target_failure_detector, limits_the_probe_rate_when_all_targets_answer_late) {
    // Guards against overload in which each instance connects to each slow target repeatedly.
    constexpr int targets = 300;
    add_instances(1, "north");
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < targets; ++i) {
        discovery::target_entry entry;
        entry.id = "slow-" + std::to_string(i);
        entry.service = "board";
        directory_.apply(entry, 10 + i, false, start);
    }
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < targets; ++i) {
            const auto token = discovery::token_of("slow-" + std::to_string(i));
            instances_[0]->detector.suspect(token, now_);
        }
        deliver();
        advance(clock::duration{1'001});
    }
    EXPECT_LE(instances_[0]->all_probes, 64 + 10 * 10);
    EXPECT_GE(instances_[0]->all_probes, 64);
}

TEST_F(fleet_target_failure_detector,
       a_verdict_expires_after_its_lifetime_however_it_was_forwarded) {
    // Guards against a verdict that circulates among peers after the target has recovered.
    add_instances(6, "north");
    instances_[0]->detector.suspect(token_of_target, now_);
    settle();
    const auto declared_at = now_;
    can_reach_ = [](const instance&) { return true; };
    while (now_ < declared_at + clock::duration{3'300}) {
        exchange_digests();
        advance(clock::duration{100});
    }
    for (int round = 0; round < 10; ++round) {
        for (auto& each : instances_) {
            EXPECT_TRUE(each->detector.take_verdicts(now_).empty());
        }
        advance(clock::duration{300});
    }
}

TEST_F(fleet_target_failure_detector,
       probes_a_dead_target_that_is_still_listed_before_its_verdict_expires) {
    // Otherwise callers of all instances try the target again as soon as the verdict has expired.
    add_instances(4, "north");
    instances_[0]->detector.suspect(token_of_target, now_);
    settle();
    for (int i = 0; i < 100; ++i) {
        exchange_digests();
        advance(clock::duration{100});
    }
    EXPECT_GE(instances_[0]->probes, 5);
    EXPECT_TRUE(instances_[2]->avoids_target);
    // The target recovers.
    can_reach_ = [](const instance&) { return true; };
    for (int i = 0; i < 40; ++i) {
        advance(clock::duration{100});
        settle();
    }
    EXPECT_FALSE(instances_[0]->avoids_target);
}

TEST_F(fleet_target_failure_detector, a_verdict_forwarded_along_another_path_is_the_same_one) {
    // Otherwise a verdict circulates for longer, since each forwarder makes it a little younger.
    add_instances(3, "north");
    auto& subject = instance_named("north-0").detector;
    advance(clock::duration{1'000});
    subject.on_reported_dead("north-1", {.token = token_of_target, .age = clock::duration{200}},
                             false, now_);
    EXPECT_EQ(subject.take_verdicts(now_).size(), 1U);
    advance(clock::duration{300});
    subject.on_reported_dead("north-2", {.token = token_of_target, .age = clock::duration{490}},
                             false, now_);
    EXPECT_FALSE(subject.has_unsent_verdicts());
    // A newer probe has failed since.
    advance(clock::duration{2'200});
    subject.on_reported_dead("north-2", {.token = token_of_target, .age = clock::duration{10}},
                             false, now_);
    EXPECT_TRUE(subject.has_unsent_verdicts());
}

TEST_F(fleet_target_failure_detector, a_store_update_of_a_target_refutes_its_verdict) {
    add_instances(4, "north");
    instances_[1]->detector.on_reported_dead("north-0", {.token = token_of_target}, false, now_);
    EXPECT_TRUE(instances_[1]->avoids_target);
    instances_[1]->detector.on_store_update(token_of_target);
    EXPECT_FALSE(instances_[1]->avoids_target);
    EXPECT_TRUE(instances_[1]->detector.take_verdicts(now_).empty());
}

TEST_F(fleet_target_failure_detector, sends_the_verdicts_on_many_targets_in_turn) {
    // Guards against digests that all carry the same sixteen targets after a zone has failed.
    constexpr int targets = 60;
    add_instances(2, "north");
    for (int i = 0; i < targets; ++i) {
        discovery::target_entry entry;
        entry.id = "dead-" + std::to_string(i);
        directory_.apply(entry, 10 + i, false, start - clock::duration{1});
        instances_[0]->detector.on_reported_dead(
            "north-1", {.token = discovery::token_of(entry.id)}, false, now_);
    }
    std::set<routing_token> sent;
    for (int digest = 0; digest < 4; ++digest) {
        EXPECT_TRUE(instances_[0]->detector.has_unsent_verdicts());
        const auto verdicts = instances_[0]->detector.take_verdicts(now_);
        EXPECT_LE(verdicts.size(), 16U);
        for (const auto& each : verdicts) {
            sent.insert(each.token);
        }
    }
    EXPECT_EQ(sent.size(), targets);
    EXPECT_FALSE(instances_[0]->detector.has_unsent_verdicts());
}

}  // namespace
}  // namespace bramleytrack
