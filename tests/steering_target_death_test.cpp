// Steering: which packets make a target suspect, and what becomes of the flows of one that was
// found dead.
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
    testing::no_log log_;
    observability::steering_metrics metrics_;
    steering::steering subject_{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};

    void SetUp() override {
        directory_.apply(testing::board_text(), 1, false, start);
        for (const auto* id : {"i-1", "i-2"}) {
            directory_.apply(testing::board_target(id, "north", 50), 2, false, start);
        }
    }

    static segment packet(std::uint16_t port) {
        segment result;
        result.flow = {.caller = {.address = 7, .port = port}, .route = testing::board_route};
        result.sequence = 100;
        return result;
    }

    steering::decision deliver(const segment& content, clock::time_point now) {
        return subject_.on_segment(content, {.is_complete = true, .confirmed = now}, now);
    }

    // A flow of the target that asks for nothing.
    void open_flow(std::uint16_t port, std::string_view id, clock::time_point now) {
        auto content = packet(port);
        content.token = discovery::token_of(id);
        content.acknowledged = 500;
        deliver(content, now);
    }

    segment request(std::uint16_t port, std::string_view id) const {
        auto content = packet(port);
        content.token = discovery::token_of(id);
        content.acknowledged = 500;
        content.length = 40;
        return content;
    }

    const discovery::target& target(std::string_view id) const {
        return *directory_.find_target(discovery::token_of(id));
    }

    std::string target_of_new_flow(std::uint16_t port, clock::time_point now) {
        auto content = packet(port);
        content.is_opening = true;
        const auto outcome = deliver(content, now);
        const auto* forwarded = std::get_if<steering::forward>(&outcome);
        return forwarded == nullptr ? "" : forwarded->to->entry.id;
    }
};

TEST_F(steering_target_death, a_repeated_packet_makes_its_target_suspect) {
    open_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{10});
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{10}).empty());
    const auto repeated = start + clock::duration{210};
    deliver(request(1, "i-1"), repeated);
    EXPECT_EQ(subject_.take_suspects(repeated).size(), 1U);
    EXPECT_TRUE(subject_.take_suspects(repeated).empty());
}

TEST_F(steering_target_death, packets_that_waited_in_the_own_socket_make_no_target_suspect) {
    open_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{400});
    deliver(request(1, "i-1"), start + clock::duration{401});
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{401}).empty());
}

TEST_F(steering_target_death, a_target_that_answered_another_flow_meanwhile_is_not_suspect) {
    open_flow(1, "i-1", start);
    deliver(request(1, "i-1"), start + clock::duration{10});
    open_flow(2, "i-1", start + clock::duration{100});
    deliver(request(1, "i-1"), start + clock::duration{210});
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{210}).empty());
}

TEST_F(steering_target_death, a_copy_of_an_opening_makes_its_target_suspect) {
    auto opening = packet(1);
    opening.is_opening = true;
    deliver(opening, start);
    opening.copy = 1;
    deliver(opening, start + clock::duration{200});
    EXPECT_EQ(subject_.take_suspects(start + clock::duration{200}).size(), 1U);
}

TEST_F(steering_target_death,
       an_opening_that_its_caller_does_not_go_on_with_makes_its_target_suspect) {
    // Guards against targets whose processes have ended and that refuse each caller, unseen here.
    const auto refused_by = target_of_new_flow(1, start);
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{49}).empty());
    const auto suspects = subject_.take_suspects(start + clock::duration{50});
    ASSERT_EQ(suspects.size(), 1U);
    EXPECT_EQ(suspects.front(), discovery::token_of(refused_by));
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{100}).empty());
}

TEST_F(steering_target_death, an_opening_that_its_caller_goes_on_with_makes_no_target_suspect) {
    const auto taken_by = target_of_new_flow(1, start);
    open_flow(1, taken_by, start + clock::duration{4});
    EXPECT_TRUE(subject_.take_suspects(start + clock::duration{100}).empty());
}

TEST_F(steering_target_death, all_flows_of_a_dead_target_end_also_those_that_ask_for_nothing) {
    // Guards against requests that may not be repeated and are sent into a flow that leads nowhere.
    open_flow(1, "i-1", start);
    open_flow(2, "i-1", start);
    open_flow(3, "i-2", start);
    subject_.on_target_dead(target("i-1"), start + clock::duration{200},
                            start + clock::duration{300});
    EXPECT_EQ(subject_.take_resets().size(), 2U);
}

TEST_F(steering_target_death, a_target_that_showed_life_since_the_probe_keeps_its_flows) {
    open_flow(1, "i-1", start);
    open_flow(2, "i-1", start + clock::duration{250});
    subject_.on_target_dead(target("i-1"), start + clock::duration{200},
                            start + clock::duration{300});
    EXPECT_TRUE(subject_.take_resets().empty());
}

TEST_F(steering_target_death, a_flow_that_was_not_seen_before_ends_with_its_first_repetition) {
    // Guards against flows that reach this instance after the routers have dealt them anew.
    subject_.on_target_dead(target("i-1"), start, start + clock::duration{100});
    const auto first = deliver(request(1, "i-1"), start + clock::duration{500});
    EXPECT_TRUE(std::holds_alternative<steering::forward>(first));
    const auto second = deliver(request(1, "i-1"), start + clock::duration{700});
    EXPECT_TRUE(std::holds_alternative<steering::refuse>(second));
}

TEST_F(steering_target_death, what_peers_say_keeps_new_flows_away_until_the_target_shows_life) {
    subject_.on_target_reported_dead(target("i-1"), start + clock::duration{3'000});
    for (std::uint16_t port = 10; port < 30; ++port) {
        EXPECT_EQ(target_of_new_flow(port, start + clock::duration{10}), "i-2");
    }
    // Its flows go on.
    open_flow(1, "i-1", start + clock::duration{20});
    EXPECT_TRUE(subject_.take_resets().empty());
    int on_it = 0;
    for (std::uint16_t port = 30; port < 60; ++port) {
        on_it += target_of_new_flow(port, start + clock::duration{30}) == "i-1" ? 1 : 0;
    }
    EXPECT_GT(on_it, 0);
}

}  // namespace
}  // namespace bramleytrack
