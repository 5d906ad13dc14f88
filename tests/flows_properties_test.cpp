// Flows: random sequences of faults and changes on a few instances, with the promises as invariants
// after each step. Deterministic by default; RC_PARAMS="seed=N" build/bramleytrack_tests
// --gtest_filter='flows_properties*' plays another seed, and RC_PARAMS="reproduce=..." the failure
// that the message of a failed run names.
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

// Two zones with three instances each; board with four targets, plan with two. Even flows are for
// board, odd ones for plan.
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
            &random_session::open,    &random_session::open,   &random_session::open,
            &random_session::data,    &random_session::data,   &random_session::copy,
            &random_session::kill,    &random_session::revive, &random_session::pause,
            &random_session::change,  &random_session::apply,  &random_session::zone,
            &random_session::advance,
        };
        (this->*table.at(static_cast<std::size_t>(kind)))(argument);
        check();
    }

    // Everything runs again; each flow that nobody was told to give up must work.
    void settle() {
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
            const auto expected = place_of_.at(flow) + ": data flow=" + std::to_string(flow);
            const bool is_served = ended_.contains(flow) || arrived.contains(expected);
            RC_ASSERT(is_served);
        }
    }

private:
    void add_target(const std::string& name, const std::string& zone, const std::string& service,
                    const std::string& weight) {
        session_.run("target " + name + " " + zone + " " + service +
                     " slots=9 connections=999 weight=" + weight);
        zone_of_[name] = zone;
    }

    bool is_up(const std::string& name) const {
        return !dead_.contains(name) && !paused_.contains(name);
    }

    void send(const std::string& kind, int flow, int salt) {
        const auto& via = instances_[static_cast<std::size_t>(salt) % instances_.size()];
        if (is_up(via)) {
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

    // The caller hasn't heard yet and sends its opening packet again. Left out is a copy that comes
    // after the flow's zone was taken out: it opens the flow anew in another zone, see
    // docs/PROMISES.md.
    void copy(int argument) {
        constexpr clock::duration patience{5'000};
        if (last_flow_ > 0) {
            const int flow = std::max(1, last_flow_ - argument % 3);
            const bool is_before_exit = opened_at_[flow] <= zone_left_at_;
            if (!ended_.contains(flow) && !is_before_exit &&
                session_.now() - opened_at_[flow] < patience) {
                send("open", flow, argument);
            }
        }
    }

    void kill(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (is_up(name) && others_up(name)) {
            session_.run("kill " + name);
            dead_.insert(name);
        }
    }

    void revive(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (dead_.erase(name) > 0) {
            session_.run("restart " + name);
        } else if (paused_.erase(name) > 0) {
            session_.run("resume " + name);
        }
    }

    void pause(int argument) {
        const auto& name = instances_[static_cast<std::size_t>(argument) % instances_.size()];
        if (is_up(name) && others_up(name)) {
            session_.run("pause " + name);
            paused_.insert(name);
        }
    }

    bool others_up(const std::string& name) const {
        return std::ranges::any_of(instances_, [&](const std::string& other) {
            return other != name && other.front() == name.front() && is_up(other);
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

    void zone(int argument) {
        out_ = argument % 3 == 0 ? "a" : "";
        session_.run("set zone a " + std::string{out_.empty() ? "in" : "out"});
        if (!out_.empty()) {
            was_out_ = true;
            zone_left_at_ = session_.now();
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
                const auto place = place_of_.find(flow);
                const bool is_in_zone = place == place_of_.end() || zone_of_[place->second] == "a";
                RC_ASSERT(was_out_);
                RC_ASSERT(is_in_zone);
            }
        }
        for (const auto& [name, zone] : zone_of_) {
            for (int flow = 1; flow <= last_flow_; ++flow) {
                if (!session_.target(name).has_flow(flow)) {
                    continue;
                }
                RC_ASSERT(name.starts_with(flow % 2 == 0 ? "board" : "plan"));
                const auto [place, is_new] = place_of_.try_emplace(flow, name);
                RC_ASSERT(place->second == name);
            }
        }
    }

    testing::session session_;
    std::vector<std::string> instances_;
    std::map<std::string, std::string> zone_of_;  // of targets
    std::set<std::string> dead_;
    std::set<std::string> paused_;
    std::string out_;
    bool was_out_ = false;
    clock::time_point zone_left_at_;
    int last_flow_ = 0;
    std::map<int, clock::time_point> opened_at_;
    std::map<int, std::string> place_of_;  // where each flow was first seen
    std::set<int> established_;
    std::set<int> ended_;  // refused or reset
};

RC_GTEST_PROP(flows_properties, flows_stay_whole_and_at_one_target_through_faults, ()) {
    constexpr int kinds = 13;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 10'000)));
    random_session session;
    for (const auto& [kind, argument] : steps) {
        session.step(kind, argument);
    }
    session.settle();
}

// Boards freeze and their crews must open them anew. Weights and targets change often, so that the
// target of a flow is no candidate under any configuration that is remembered; then the home moves,
// and the new one finds the flow nowhere. Found by seed 7 with max_success=200 max_size=150.
TEST(flows_properties, a_flow_is_found_though_its_target_is_no_candidate_any_more) {
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
    session.settle();
}

}  // namespace
}  // namespace bramleytrack
