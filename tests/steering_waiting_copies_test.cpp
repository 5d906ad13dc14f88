// Retransmissions of opening packets that were delayed in the instance's own socket.
#include <gtest/gtest.h>

#include "fleet/peer_digests.h"
#include "observability/log.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

class waiting_copies : public ::testing::Test {
protected:
    static constexpr int targets = 8;
    static constexpr int slots = 4;

    waiting_copies() {
        discovery::catalogue catalogue;
        catalogue.version = 1;
        discovery::route route;
        route.name = "feed";
        route.address = {.address = 1, .port = 80};
        route.splits = {{.service = "board", .weight = 1}};
        catalogue.routes = {route};
        catalogue.services = {{.name = "board"}};
        directory_.apply(catalogue, 1, false, start);
        for (int i = 0; i < targets; ++i) {
            discovery::target_entry entry;
            entry.id = "i-" + std::to_string(i);
            entry.service = "board";
            entry.zone = "north";
            entry.slots = slots;
            directory_.apply(entry, i + 2, false, start);
        }
    }

    steering::decision open(std::uint16_t port, std::uint32_t copy, clock::time_point now) {
        steering::segment opening;
        opening.flow = {.caller = {.address = port, .port = port},
                        .route = {.address = 1, .port = 80}};
        opening.sequence = port;
        opening.is_opening = true;
        opening.copy = copy;
        return steering_.on_segment(opening, {.is_complete = true, .confirmed = now}, now);
    }

    static const discovery::target* target_of(const steering::decision& decision) {
        const auto* forwarded = std::get_if<steering::forward>(&decision);
        return forwarded == nullptr ? nullptr : forwarded->to;
    }

    discovery::directory directory_;
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    steering::cold_gate cold_gate_{"self"};
    observability::rate_limited_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{
        {.zone = "north", .regions = {}}, directory_, cold_gate_, digests_, log_, metrics_};
};

TEST_F(waiting_copies, are_no_evidence_about_targets) {
    // While an instance starts after a power failure, openings and their retransmissions wait in
    // its socket, and it then reads them within a few milliseconds. Guards against retransmissions
    // that are taken for unanswered openings: most of the fleet was ejected, and two of three
    // callers that came next were refused although the targets were idle.
    constexpr std::uint16_t callers = 16;
    for (std::uint16_t port = 1; port <= callers; ++port) {
        const auto* first = target_of(open(port, 0, start));
        ASSERT_NE(first, nullptr);
        // The retransmission is the same opening and goes to the same target; otherwise two targets
        // would accept it, and each would answer the caller.
        EXPECT_EQ(target_of(open(port, 1, start + clock::duration{4})), first);
        EXPECT_EQ(target_of(open(port, 2, start + clock::duration{6})), first);
    }
    for (std::uint16_t port = 100; port < 100 + callers; ++port) {
        EXPECT_NE(target_of(open(port, 0, start + clock::duration{8})), nullptr) << port;
    }
}

TEST_F(waiting_copies, of_callers_that_have_given_up_hold_no_capacity) {
    // In the same start, most of the openings in the socket are from callers that have given up
    // since and send nothing more. Guards against openings that count as requests for one and a
    // half seconds: callers that arrived meanwhile were refused although the targets were idle.
    constexpr std::uint16_t abandoned = 2 * slots * targets;
    for (std::uint16_t port = 1; port <= abandoned; ++port) {
        ASSERT_NE(target_of(open(port, 0, start)), nullptr);
    }
    EXPECT_EQ(target_of(open(abandoned + 1, 0, start)), nullptr);
    const auto later = start + clock::duration{300};
    steering_.expire(later);
    EXPECT_NE(target_of(open(abandoned + 2, 0, later)), nullptr);
}

TEST_F(waiting_copies, are_distinguished_from_copies_sent_because_no_answer_came) {
    const auto* first = target_of(open(1, 0, start));
    const auto* second = target_of(open(1, 1, start + clock::duration{200}));
    ASSERT_NE(second, nullptr);
    EXPECT_NE(second, first);
}

TEST_F(waiting_copies, when_most_targets_are_ejected_their_capacity_counts) {
    // The instance's own link loses packets: openings stay unanswered, and nearly all targets are
    // ejected although they are alive. One of them answers and is soon at capacity. Counting only
    // its capacity would refuse callers that placement sends to ejected targets, since ejection
    // isn't trusted when it affects most targets.
    const auto* answering = target_of(open(1, 0, start));
    ASSERT_NE(answering, nullptr);
    for (std::uint16_t port = 2; port <= 4 * targets; ++port) {
        open(port, 0, start);
        open(port, 1, start + clock::duration{200});
    }
    steering::segment answer;
    answer.flow = {.caller = {.address = 1, .port = 1}, .route = {.address = 1, .port = 80}};
    answer.token = answering->token;
    answer.acknowledged = 1;
    const auto later = start + clock::duration{1'650};
    steering_.on_segment(answer, {.is_complete = true, .confirmed = later}, later);
    steering_.expire(later);
    int ejected = 0;
    directory_.for_each_target([&](const discovery::target& each) {
        ejected += later < steering_.flows().health(each.token).ejected_until ? 1 : 0;
    });
    ASSERT_GT(2 * ejected, targets);
    ASSERT_LT(ejected, targets);
    constexpr std::uint16_t first = 100;
    constexpr std::uint16_t end = first + 4 * targets;
    for (std::uint16_t port = first; port < end; ++port) {
        EXPECT_NE(target_of(open(port, 0, later)), nullptr) << port;
    }
}

}  // namespace
}  // namespace bramleytrack
