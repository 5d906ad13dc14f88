// Steering: which packets make a target suspect, and how the flows of a target that was found dead
// are ended.
#include <gtest/gtest.h>

#include "fleet/peer_digests.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

using steering::segment;

constexpr clock::time_point start = to_time_point(1'000'000);

class steering_target_death : public ::testing::Test {
protected:
    discovery::directory directory_;
    steering::cold_gate cold_gate_{"self"};
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering core_{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};

    void SetUp() override {
        directory_.apply(testing::board_catalogue(), 1, false, start);
        for (const auto* id : {"i-1", "i-2"}) {
            directory_.apply(testing::board_target(id, "north", 50), 2, false, start);
        }
    }

    static segment packet_from(std::uint16_t port) {
        segment result;
        result.flow = {.caller = {.address = 7, .port = port}, .route = testing::board_route};
        result.sequence = 100;
        return result;
    }

    steering::decision deliver(const segment& packet, clock::time_point now) {
        return core_.on_segment(packet, {.is_complete = true, .confirmed = now}, now);
    }

    // Opens an idle flow to the target.
    void open_idle_flow(std::uint16_t port, std::string_view id, clock::time_point now) {
        auto packet = packet_from(port);
        packet.token = discovery::token_of(id);
        packet.acknowledged = 500;
        deliver(packet, now);
    }

    segment request(std::uint16_t port, std::string_view id) const {
        auto packet = packet_from(port);
        packet.token = discovery::token_of(id);
        packet.acknowledged = 500;
        packet.length = 40;
        return packet;
    }

    const discovery::target& target(std::string_view id) const {
        return *directory_.find_target(discovery::token_of(id));
    }

    std::string target_of_new_flow(std::uint16_t port, clock::time_point now) {
        auto packet = packet_from(port);
        packet.is_opening = true;
        const auto outcome = deliver(packet, now);
        const auto* forwarded = std::get_if<steering::forward>(&outcome);
        return forwarded == nullptr ? "" : forwarded->to->entry.id;
    }
};

TEST_F(steering_target_death, a_retransmitted_request_makes_its_target_suspect) {
    open_idle_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{10});
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{10}).empty());
    const auto retransmitted_at = start + clock::duration{210};
    deliver(request(1, "i-1"), retransmitted_at);
    EXPECT_EQ(core_.take_suspects(retransmitted_at).size(), 1U);
    EXPECT_TRUE(core_.take_suspects(retransmitted_at).empty());
}

TEST_F(steering_target_death, packets_queued_in_the_own_socket_make_no_target_suspect) {
    open_idle_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{400});
    deliver(request(1, "i-1"), start + clock::duration{401});
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{401}).empty());
}

TEST_F(steering_target_death, a_target_that_has_since_responded_to_another_flow_is_not_suspect) {
    open_idle_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{10});
    open_idle_flow(2, "i-1", start + clock::duration{100});
    deliver(request(1, "i-1"), start + clock::duration{210});
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{210}).empty());
}

TEST_F(steering_target_death, a_retransmitted_opening_makes_its_target_suspect) {
    auto opening = packet_from(1);
    opening.is_opening = true;
    deliver(opening, start);
    opening.copy = 1;
    deliver(opening, start + clock::duration{200});
    EXPECT_EQ(core_.take_suspects(start + clock::duration{200}).size(), 1U);
}

TEST_F(steering_target_death, an_opening_that_no_packet_follows_makes_its_target_suspect) {
    // Guards against targets whose processes have ended: their machines refuse each caller
    // directly, which this instance does not see.
    const auto chosen_id = target_of_new_flow(1, start);
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{49}).empty());
    const auto suspects = core_.take_suspects(start + clock::duration{50});
    ASSERT_EQ(suspects.size(), 1U);
    EXPECT_EQ(suspects.front(), discovery::token_of(chosen_id));
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{100}).empty());
}

TEST_F(steering_target_death, an_opening_that_a_packet_follows_makes_no_target_suspect) {
    const auto chosen_id = target_of_new_flow(1, start);
    open_idle_flow(1, chosen_id, start + clock::duration{4});
    EXPECT_TRUE(core_.take_suspects(start + clock::duration{100}).empty());
}

TEST_F(steering_target_death, all_flows_of_a_dead_target_are_reset_including_idle_ones) {
    // Guards against loss of requests that may not be retried and are sent on a flow to a dead
    // target.
    open_idle_flow(1, "i-1", start);
    open_idle_flow(2, "i-1", start);
    open_idle_flow(3, "i-2", start);
    core_.on_target_dead(target("i-1"), start + clock::duration{200}, start + clock::duration{300});
    EXPECT_EQ(core_.take_resets().size(), 2U);
}

TEST_F(steering_target_death, a_target_that_has_responded_since_the_probe_keeps_its_flows) {
    open_idle_flow(1, "i-1", start);
    open_idle_flow(2, "i-1", start + clock::duration{250});
    core_.on_target_dead(target("i-1"), start + clock::duration{200}, start + clock::duration{300});
    EXPECT_TRUE(core_.take_resets().empty());
}

TEST_F(steering_target_death,
       a_flow_of_a_dead_target_not_seen_before_is_reset_on_its_first_retransmission) {
    // Guards against hanging flows that the routers have moved to this instance.
    core_.on_target_dead(target("i-1"), start, start + clock::duration{100});
    const auto original = deliver(request(1, "i-1"), start + clock::duration{500});
    EXPECT_TRUE(std::holds_alternative<steering::forward>(original));
    const auto retransmission = deliver(request(1, "i-1"), start + clock::duration{700});
    EXPECT_TRUE(std::holds_alternative<steering::refuse>(retransmission));
}

TEST_F(steering_target_death, a_target_reported_dead_by_peers_gets_no_new_flows_until_it_responds) {
    core_.on_target_reported_dead(target("i-1"), start + clock::duration{3'000});
    for (std::uint16_t port = 10; port < 30; ++port) {
        EXPECT_EQ(target_of_new_flow(port, start + clock::duration{10}), "i-2");
    }
    // Its established flows continue.
    open_idle_flow(1, "i-1", start + clock::duration{20});
    EXPECT_TRUE(core_.take_resets().empty());
    int placed_on_target = 0;
    for (std::uint16_t port = 30; port < 60; ++port) {
        placed_on_target += target_of_new_flow(port, start + clock::duration{30}) == "i-1" ? 1 : 0;
    }
    EXPECT_GT(placed_on_target, 0);
}

}  // namespace
}  // namespace bramleytrack
