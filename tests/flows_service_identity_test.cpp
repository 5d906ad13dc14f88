// Flows: no packet for one service reaches a target of another.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "support/session.h"

namespace bramleytrack {
namespace {

constexpr int flows = 20;

// Services board and plan with two targets each; flows 1 to 20 are open on board.
class two_services : public ::testing::Test {
protected:
    two_services() {
        for (const auto* line :
             {"zone a", "service board 10.0.0.1:443", "service plan 10.0.0.2:443",
              "target board-1 a board slots=9 connections=99",
              "target board-2 a board slots=9 connections=99",
              "target plan-1 a plan slots=9 connections=99",
              "target plan-2 a plan slots=9 connections=99", "instance a-1 a", "instance a-2 a",
              "instance a-3 a", "apply", "advance 15000"}) {
            session_.run(line);
        }
        send("open", "board");
    }

    void send(const std::string& kind, const std::string& service) {
        for (int flow = 1; flow <= flows; ++flow) {
            session_.run(kind + " flow=" + std::to_string(flow) + " service=" + service +
                         " via=a-" + std::to_string(1 + flow % 3));
        }
    }

    // Number of packets to targets whose name begins with `start`, since the last call.
    int packets_to(const std::string& start) {
        const auto lines = session_.take_transcript();
        return static_cast<int>(std::ranges::count_if(lines, [&](const std::string& line) {
            return line.find("-> " + start) != std::string::npos;
        }));
    }

    int count_sent_to_callers(wire::packet_kind kind, result_code code) const {
        return static_cast<int>(
            std::ranges::count_if(session_.caller_packets(), [&](const wire::packet& each) {
                return each.kind == kind && each.code == static_cast<int>(code);
            }));
    }

    testing::session session_;
};

TEST_F(two_services, an_address_that_moves_to_another_service_takes_no_flow_along) {
    // The address of board is reassigned to plan. Packets of open flows of board still arrive for
    // it, and some instances have the new configuration earlier than others; none may reach a
    // target of plan.
    session_.run("service board 10.0.0.9:443");
    session_.run("service plan 10.0.0.1:443");
    for (const auto* command : {"apply to=a-2", "apply"}) {
        session_.run(command);
        session_.take_transcript();
        send("data", "plan");
        EXPECT_EQ(packets_to("plan"), 0) << command;
        session_.run("advance 2000");
        EXPECT_EQ(packets_to("plan"), 0) << command;
    }
    // An opening packet belongs to the service that has the address now, even with a flow number
    // used before.
    session_.run("advance 12000");
    session_.take_transcript();
    send("open", "plan");
    session_.run("advance 1000");
    const auto lines = session_.take_transcript();
    for (const auto& line : lines) {
        EXPECT_EQ(line.find("-> board-1: open"), std::string::npos) << line;
        EXPECT_EQ(line.find("-> board-2: open"), std::string::npos) << line;
    }
    EXPECT_EQ(session_.target("plan-1").flows() + session_.target("plan-2").flows(),
              static_cast<std::size_t>(flows));
}

TEST_F(two_services, a_target_that_moves_to_another_service_ends_its_flows) {
    // A target moves from board to plan. Packets of its flows would reach a target of plan, so the
    // flows are reset; without the reset their callers would wait without an answer.
    const auto flows_on_target = session_.target("board-1").flows();
    session_.run("target board-1 a plan slots=9 connections=99");
    session_.run("apply");
    session_.take_transcript();
    send("data", "board");
    session_.run("advance 3000");
    send("data", "board");
    session_.run("advance 3000");
    EXPECT_EQ(packets_to("board-1"), 0);
    EXPECT_GE(count_sent_to_callers(wire::packet_kind::reset, result_code::wrong_service),
              static_cast<int>(flows_on_target));
    EXPECT_GT(flows_on_target, 0U);
}

TEST_F(two_services, a_target_that_reuses_an_address_gets_no_flow_of_the_previous_one) {
    // A target is removed, and its address goes to a new target of plan before its flows have
    // ended.
    const auto flows_on_target = session_.target("board-1").flows();
    session_.run("remove board-1");
    session_.run("target plan-3 a plan slots=9 connections=99 address=board-1");
    session_.run("apply");
    session_.take_transcript();
    send("data", "board");
    session_.run("advance 4000");
    EXPECT_EQ(packets_to("board-1: data"), 0);
    EXPECT_GT(flows_on_target, 0U);
}

}  // namespace
}  // namespace bramleytrack
