// Flows: random sequences of faults and changes on a few instances, with the promises as invariants
// after each step. Deterministic by default; RC_PARAMS="seed=N" build/bramleytrack_tests
// --gtest_filter='flows_properties*' runs another seed, and RC_PARAMS="reproduce=..." repeats the
// failure that the message of a failed run names.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "support/session.h"

namespace bramleytrack {
namespace {

using wire::packet_kind;

// Two zones with three instances each; service board with four targets and service plan with two.
// Even flows belong to board, odd ones to plan.
class random_session {
public:
    random_session() {
        for (const std::string zone : {"a", "b"}) {
            session_.run("zone " + zone);
        }
        session_.run("service board 10.0.0.1:443");
        session_.run("service plan 10.0.0.2:443");
        for (const std::string zone : {"a", "b"}) {
            for (const std::string name : {"board-1", "board-2", "plan-1"}) {
                add_target(name + zone, zone, name.substr(0, name.find('-')), "1");
            }
            for (const std::string number : {"1", "2", "3"}) {
                instances_.push_back(zone + number);
                session_.run("instance " + instances_.back() + " " + zone);
            }
        }
        session_.run("apply");
        session_.run("advance 15000");
        session_.take_transcript();
    }

    void step(int kind, int argument) {
        using handler = void (random_session::*)(int);
        static constexpr std::array<handler, 13> table{
            &random_session::open,    &random_session::open,    &random_session::open,
            &random_session::data,    &random_session::data,    &random_session::resend_open,
            &random_session::kill,    &random_session::recover, &random_session::pause,
            &random_session::change,  &random_session::apply,   &random_session::set_zone,
            &random_session::advance,
        };
        (this->*table.at(static_cast<std::size_t>(kind)))(argument);
        check();
    }

    // Restarts and resumes all instances; then each established flow that was neither refused nor
    // reset must work.
    void recover_all_and_check() {
        for (const auto& name : instances_) {
            if (dead_.contains(name)) {
                session_.run("restart " + name);
            }
            if (paused_.contains(name)) {
                session_.run("resume " + name);
            }
        }
        dead_.clear();
        paused_.clear();
        session_.run("apply");
        session_.run("advance 15000");
        check();
        session_.take_transcript();
        for (const int flow : established_) {
            if (!ended_.contains(flow)) {
                send("data", flow, flow);
            }
        }
        session_.run("advance 5000");
        check();
        std::set<std::string> arrived;
        for (const auto& line : session_.take_transcript()) {
            arrived.insert(line.substr(line.find("-> ") + 3));
        }
        for (const int flow : established_) {
            const auto expected = target_of_flow_.at(flow) + ": data flow=" + std::to_string(flow);
            const bool is_served = ended_.contains(flow) || arrived.contains(expected);
            RC_ASSERT(is_served);
        }
    }

private:
    void add_target(const std::string& name, const std::string& zone, const std::string& service,
                    const std::string& weight) {
        session_.run("target " + name + " " + zone + " " + service +
                     " slots=9 connections=999 weight=" + weight);
        zone_of_target_[name] = zone;
    }

    bool is_running(const std::string& name) const {
        return !dead_.contains(name) && !paused_.contains(name);
    }

    void send(const std::string& kind, int flow, int selector) {
        const auto& via = instances_[static_cast<std::size_t>(selector) % instances_.size()];
        if (is_running(via)) {
            session_.run(kind + " flow=" + std::to_string(flow) + " via=" + via +
                         " service=" + (flow % 2 == 0 ? "board" : "plan"));
        }
    }

    void open(int argument) {
        ++last_flow_;
        opened_at_[last_flow_] = session_.now();
        send("open", last_flow_, argument);
    }

    void data(int argument) {
        if (last_flow_ > 0) {
            const int flow = 1 + argument % last_flow_;
            if (established_.contains(flow) && !ended_.contains(flow)) {
                send("data", flow, argument / 7);
            }
        }
    }

    // Sends a copy of an opening packet, as a caller without a reply does. Copies after the flow's
    // zone was taken out are excluded: such a copy opens the flow again in another zone, see
    // docs/PROMISES.md.
    void resend_open(int argument) {
        constexpr clock::duration retransmission_time{5'000};
        if (last_flow_ > 0) {
            const int flow = std::max(1, last_flow_ - argument % 3);
            const bool is_before_zone_out = opened_at_[flow] <= zone_out_at_;
            if (!ended_.contains(flow) && !is_before_zone_out &&
                session_.now() - opened_at_[flow] < retransmission_time) {
                send("open", flow, argument);
            }
        }
    }

    void kill(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (is_running(name) && zone_has_other_running_instance(name)) {
            session_.run("kill " + name);
            dead_.insert(name);
        }
    }

    void recover(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (dead_.erase(name) > 0) {
            session_.run("restart " + name);
        } else if (paused_.erase(name) > 0) {
            session_.run("resume " + name);
        }
    }

    void pause(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (is_running(name) && zone_has_other_running_instance(name)) {
            session_.run("pause " + name);
            paused_.insert(name);
        }
    }

    bool zone_has_other_running_instance(const std::string& name) const {
        return std::ranges::any_of(instances_, [&](const std::string& other) {
            return other != name && other.front() == name.front() && is_running(other);
        });
    }

    void change(int argument) {
        const std::string zone = argument % 2 == 0 ? "a" : "b";
        const std::string name = (argument % 3 == 0 ? "board-1" : "board-2") + zone;
        if (argument % 5 == 0) {
            session_.run("set target " + name + " draining");
        } else if (argument % 5 == 1) {
            add_target("board-3" + zone, zone, "board", "1");
        } else {
            add_target(name, zone, "board", argument % 5 == 2 ? "0.3" : "3");
        }
    }

    void apply(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        session_.run(argument % 2 == 0 ? "apply" : "apply to=" + name);
    }

    void set_zone(int argument) {
        out_zone_ = argument % 3 == 0 ? "a" : "";
        session_.run("set zone a " + std::string{out_zone_.empty() ? "in" : "out"});
        if (!out_zone_.empty()) {
            was_zone_out_ = true;
            zone_out_at_ = session_.now();
        }
        session_.run("apply");
    }

    void advance(int argument) { session_.run("advance " + std::to_string(100 + argument % 4000)); }

    void check() {
        for (const auto& packet : session_.caller_packets()) {
            const auto flow = static_cast<int>(packet.flow);
            if (packet.kind == packet_kind::open_accepted) {
                established_.insert(flow);
            }
            if (packet.kind == packet_kind::refused) {
                ended_.insert(flow);
            }
            if (packet.kind == packet_kind::reset && ended_.insert(flow).second) {
                const auto entry = target_of_flow_.find(flow);
                const bool is_in_zone =
                    entry == target_of_flow_.end() || zone_of_target_[entry->second] == "a";
                RC_ASSERT(was_zone_out_);
                RC_ASSERT(is_in_zone);
            }
        }
        for (const auto& [name, zone] : zone_of_target_) {
            for (int flow = 1; flow <= last_flow_; ++flow) {
                if (!session_.target(name).has_flow(flow)) {
                    continue;
                }
                RC_ASSERT(name.starts_with(flow % 2 == 0 ? "board" : "plan"));
                const auto [entry, is_new] = target_of_flow_.try_emplace(flow, name);
                RC_ASSERT(entry->second == name);
            }
        }
    }

    testing::session session_;
    std::vector<std::string> instances_;
    std::map<std::string, std::string> zone_of_target_;  // of targets
    std::set<std::string> dead_;
    std::set<std::string> paused_;
    std::string out_zone_;
    bool was_zone_out_ = false;
    clock::time_point zone_out_at_;
    int last_flow_ = 0;
    std::map<int, clock::time_point> opened_at_;
    std::map<int, std::string> target_of_flow_;  // first target that held each flow
    std::set<int> established_;
    std::set<int> ended_;  // refused or reset
};

RC_GTEST_PROP(flows_properties, flows_survive_faults_and_stay_on_one_target, ()) {
    constexpr int kinds = 13;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 10'000)));
    random_session session;
    for (const auto& [kind, argument] : steps) {
        session.step(kind, argument);
    }
    session.recover_all_and_check();
}

// Weights and targets change so often that the target of a flow is not a candidate under any
// configuration in the history; then the home moves, and the new home must not conclude that the
// flow is gone. Found by seed 7 with max_success=200 max_size=150.
TEST(flows_properties, a_flow_is_found_though_its_target_is_no_longer_a_candidate) {
    const std::vector<std::pair<int, int>> steps{
        {12, 1685}, {10, 8555}, {0, 6171},  {3, 2934},  {12, 7930}, {1, 2734},  {4, 8875},
        {5, 8383},  {2, 2174},  {3, 8511},  {3, 2961},  {2, 8126},  {12, 4865}, {1, 747},
        {7, 3795},  {4, 1534},  {11, 5127}, {6, 6017},  {4, 8382},  {7, 6933},  {10, 4308},
        {5, 1490},  {1, 7965},  {11, 3852}, {9, 4526},  {3, 6323},  {10, 7216}, {4, 738},
        {11, 4828}, {5, 8503},  {11, 2172}, {2, 7084},  {1, 5182},  {7, 4333},  {11, 5055},
        {0, 8442},  {6, 9827},  {11, 8909}, {12, 6977}, {11, 6414}, {1, 4341},  {9, 9075},
        {2, 1967},  {12, 3124}, {9, 1161},  {1, 8607},  {10, 8351}, {7, 1569},  {4, 5941},
        {8, 3513},  {3, 9385},  {10, 7929}, {9, 390},   {1, 6037},  {9, 6867},  {9, 9494},
        {7, 81},    {10, 3409}, {0, 1803},  {1, 8921},  {4, 5867},  {5, 9940},  {2, 9737},
        {11, 8810}, {9, 6566},  {6, 997},   {6, 4600},  {11, 4172}, {6, 3642},  {1, 13},
        {3, 7508},  {8, 2823},  {6, 9216}};
    random_session session;
    for (const auto& [kind, argument] : steps) {
        session.step(kind, argument);
    }
    session.recover_all_and_check();
}

}  // namespace
}  // namespace bramleytrack
