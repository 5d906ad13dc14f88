// Flows: a zone that operators have taken out gets no more traffic, and flows in the other zones
// continue.
#include <gtest/gtest.h>

#include "support/flow_fleet.h"

namespace bramleytrack {
namespace {

using testing::flow_fleet;
using wire::packet_kind;

constexpr int flows = 60;

// Number of packets to targets of the zone since the transcript was cleared. Reports are not in the
// transcript; the test of reports counts them at the target.
int packets_to_zone(const flow_fleet& fleet, const std::string& zone) {
    int count = 0;
    for (const auto& line : fleet.transcript()) {
        count += line.find(" -> board-" + zone) != std::string::npos ? 1 : 0;
    }
    return count;
}

int count_zone_out_resets(flow_fleet& fleet) {
    int count = 0;
    for (const auto& packet : fleet.underlying_session().caller_packets()) {
        const bool is_zone_out_reset = packet.kind == packet_kind::reset &&
                                       packet.code == static_cast<int>(result_code::zone_out);
        count += is_zone_out_reset ? 1 : 0;
    }
    return count;
}

int flows_in_zone(flow_fleet& fleet, const std::string& zone) {
    int count = 0;
    for (const auto& name : fleet.targets()) {
        const bool is_in_zone = name.find("board-" + zone) == 0;
        count += is_in_zone ? static_cast<int>(fleet.underlying_session().target(name).flows()) : 0;
    }
    return count;
}

TEST(flows_zone_out, its_targets_get_no_packets_and_its_callers_get_resets_within_3_seconds) {
    // Operators take a zone out because its power is about to fail. Callers with flows in the zone
    // keep sending, and every packet that is still sent there is lost with the zone.
    flow_fleet fleet{2, 3, 4};
    fleet.open(1, flows);
    const int flows_in_a = flows_in_zone(fleet, "a");
    ASSERT_GT(flows_in_a, 0);
    fleet.run("set zone a out");
    fleet.run("apply");
    fleet.clear_transcript();
    fleet.run("advance 1000");
    fleet.send("data", 1, flows);
    fleet.run("advance 2000");
    EXPECT_GE(count_zone_out_resets(fleet), flows_in_a);
    fleet.send("data", 1, flows);
    fleet.send("request", 1, flows);
    fleet.run("advance 5000");
    EXPECT_EQ(packets_to_zone(fleet, "a"), 0);
}

TEST(flows_zone_out, reports_are_no_longer_requested) {
    // Guards against an owner that continues to request reports from targets of a zone that is out,
    // which is traffic to that zone.
    flow_fleet fleet{2, 2, 2};
    fleet.run("set zone a out");
    fleet.run("apply");
    const auto received_before = fleet.underlying_session().target("board-a-1").received();
    fleet.run("advance 5000");
    EXPECT_EQ(fleet.underlying_session().target("board-a-1").received(), received_before);
}

TEST(flows_zone_out, flows_of_other_zones_survive_though_their_homes_move) {
    // Homes that hold the locations of flows in other zones were in the zone that was taken out;
    // these flows must be found again. The same applies when the zone returns.
    flow_fleet fleet{2, 3, 4};
    fleet.open(1, flows);
    std::vector<int> remaining_flows;
    for (int flow = 1; flow <= flows; ++flow) {
        if (fleet.targets_holding(flow).front().starts_with("board-b")) {
            remaining_flows.push_back(flow);
        }
    }
    const auto send_and_advance = [&] {
        for (const int flow : remaining_flows) {
            fleet.send("data", flow, flow);
        }
        fleet.run("advance 3000");
    };
    for (const std::string state : {"out", "in"}) {
        fleet.run("set zone a " + state);
        fleet.run("apply");
        send_and_advance();
        fleet.clear_transcript();
        send_and_advance();
        EXPECT_EQ(fleet.take_delivered_count("data"), static_cast<int>(remaining_flows.size()))
            << state;
        for (const int flow : remaining_flows) {
            EXPECT_EQ(fleet.count_broken(flow, flow), 0) << state << " " << flow;
        }
    }
}

TEST(flows_zone_out, waiting_requests_are_refused_and_never_run) {
    // A request is queued for a target whose zone is taken out. It has not run, so the caller gets
    // a refusal, and the request must not be sent when a slot becomes free.
    flow_fleet fleet{2, 2, 1};
    fleet.run("target board-a-1 a board slots=1 connections=1000");
    fleet.run("target board-b-1 b board slots=1 connections=1000");
    fleet.run("apply");
    fleet.run("advance 12000");
    fleet.open(1, flows);
    fleet.run("advance 2000");
    fleet.send("request", 1, 8);
    fleet.run("set zone a out");
    fleet.run("apply");
    fleet.clear_transcript();
    fleet.run("advance 1000");
    for (int flow = 1; flow <= 8; ++flow) {
        fleet.run("answer flow=" + std::to_string(flow) + " request=1");
    }
    fleet.run("advance 3000");
    EXPECT_EQ(packets_to_zone(fleet, "a"), 0);
    EXPECT_GT(fleet.count_sent_to_callers(packet_kind::refused), 0);
}

TEST(flows_zone_out, an_instance_with_an_old_configuration_forwards_no_packet_there) {
    // The configuration reaches one instance, and the rest receive it from that one. Packets that
    // enter at an instance with the old configuration are stopped by the next hop.
    flow_fleet fleet{2, 3, 4};
    fleet.open(1, flows);
    fleet.run("set zone a out");
    fleet.run("apply to=b-1");
    fleet.run("advance 1000");
    fleet.clear_transcript();
    fleet.send("data", 1, flows);
    fleet.run("advance 3000");
    EXPECT_EQ(packets_to_zone(fleet, "a"), 0);
}

}  // namespace
}  // namespace bramleytrack
