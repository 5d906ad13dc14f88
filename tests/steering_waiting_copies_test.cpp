// Steering: copies of opening packets that waited in an instance's own socket.
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
        discovery::catalogue text;
        text.version = 1;
        discovery::route route;
        route.name = "feed";
        route.address = {.address = 1, .port = 80};
        route.splits = {{.service = "board", .weight = 1}};
        text.routes = {route};
        text.services = {{.name = "board"}};
        known_.apply(text, 1, false, start);
        for (int i = 0; i < targets; ++i) {
            discovery::target_entry entry;
            entry.id = "i-" + std::to_string(i);
            entry.service = "board";
            entry.zone = "north";
            entry.slots = slots;
            known_.apply(entry, i + 2, false, start);
        }
    }

    steering::decision open(std::uint16_t port, std::uint32_t copy, clock::time_point now) {
        steering::segment opening;
        opening.flow = {.caller = {.address = port, .port = port},
                        .route = {.address = 1, .port = 80}};
        opening.sequence = port;
        opening.is_opening = true;
        opening.copy = copy;
        return subject_.on_segment(opening, {.is_complete = true, .confirmed = now}, now);
    }

    static const discovery::target* target_of(const steering::decision& made) {
        const auto* forwarded = std::get_if<steering::forward>(&made);
        return forwarded == nullptr ? nullptr : forwarded->to;
    }

    discovery::directory known_;
    fleet::peer_digests digests_{known_, "self", "north", 1};
    steering::cold_gate cold_{"self"};
    observability::rate_limited_log log_;
    observability::steering_metrics metrics_;
    steering::steering subject_{
        {.zone = "north", .regions = {}}, known_, cold_, digests_, log_, metrics_};
};

TEST_F(waiting_copies, say_nothing_about_targets) {
    // All instances lost power. While one of them starts, callers' openings and their copies wait
    // in its socket; then it reads them all within a few milliseconds. Each copy looked like a
    // target that hadn't answered: most of the fleet was shunned, and of the callers that came next
    // two of three were refused though the targets were idle.
    constexpr std::uint16_t callers = 16;
    for (std::uint16_t port = 1; port <= callers; ++port) {
        const auto* first = target_of(open(port, 0, start));
        ASSERT_NE(first, nullptr);
        // The copy is the same opening, so it goes to the same target: two that took it would each
        // answer the caller.
        EXPECT_EQ(target_of(open(port, 1, start + clock::duration{4})), first);
        EXPECT_EQ(target_of(open(port, 2, start + clock::duration{6})), first);
    }
    for (std::uint16_t port = 100; port < 100 + callers; ++port) {
        EXPECT_NE(target_of(open(port, 0, start + clock::duration{8})), nullptr) << port;
    }
}

TEST_F(waiting_copies, of_callers_that_have_given_up_hold_no_room) {
    // The same start. Most of the openings in the socket are of callers that have given up since,
    // and nothing follows them. They counted as requests for one and a half seconds, and callers
    // that came meanwhile were refused by idle targets.
    constexpr std::uint16_t given_up = 2 * slots * targets;
    for (std::uint16_t port = 1; port <= given_up; ++port) {
        ASSERT_NE(target_of(open(port, 0, start)), nullptr);
    }
    EXPECT_EQ(target_of(open(given_up + 1, 0, start)), nullptr);
    const auto later = start + clock::duration{300};
    subject_.expire(later);
    EXPECT_NE(target_of(open(given_up + 2, 0, later)), nullptr);
}

TEST_F(waiting_copies, are_told_from_copies_that_callers_sent_for_want_of_an_answer) {
    const auto* first = target_of(open(1, 0, start));
    const auto* second = target_of(open(1, 1, start + clock::duration{200}));
    ASSERT_NE(second, nullptr);
    EXPECT_NE(second, first);
}

TEST_F(waiting_copies, when_most_targets_are_shunned_their_room_counts) {
    // The instance's own link loses packets: openings stay unanswered, and nearly all targets are
    // shunned though they live. One of them answers and is soon full. Counting only its room would
    // refuse the callers whom the doubt about so many signs lets in.
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
    subject_.on_segment(answer, {.is_complete = true, .confirmed = later}, later);
    subject_.expire(later);
    int ejected = 0;
    known_.for_each_target([&](const discovery::target& each) {
        ejected += later < subject_.flows().health(each.token).ejected_until ? 1 : 0;
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
