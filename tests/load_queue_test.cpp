// What callers get from a target's queue: shares, waits, refusals and come-back times under bursts,
// floods, few callers, long work among short, a slow target and saturation.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "baselines.h"
#include "load/admission.h"
#include "summary.h"
#include "support/session.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

std::map<std::string, double> play(std::string_view name,
                                   const std::vector<std::string>& without = {}) {
    constexpr int seeds = 2;
    const auto table = experiments::strategies_without(without);
    std::vector<experiments::request_result> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        results.push_back(experiments::play(*experiments::find_scenario(name), table,
                                            static_cast<std::uint64_t>(seed)));
    }
    std::map<std::string, double> figures;
    for (const auto& each : experiments::figures_of(experiments::merge(results))) {
        figures[each.name] = each.value;
    }
    return figures;
}

// One member sends ten times its share. Callers of the others find their requests refused although
// they send less than is theirs: a first-come queue is full of the first member's requests.
TEST(load_queue, a_flood_by_one_member_leaves_the_others_their_share) {
    auto fair = play("flood");
    auto plain = play("flood", {"fair_queue"});
    EXPECT_LT(plain["worst_share"], 0.9);
    EXPECT_GE(fair["worst_share"], 0.95);
    for (const auto* member : {"b", "c", "d"}) {
        EXPECT_GE(fair[std::string{"answered_"} + member], 0.95) << member;
    }
}

TEST(load_queue, members_that_all_send_too_much_get_equal_shares) {
    EXPECT_LT(play("flood_all_busy", {"fair_queue"})["worst_share"], 0.95);
    EXPECT_GE(play("flood_all_busy")["worst_share"], 0.95);
}

// Two callers keep two targets full. Callers of other members on the same targets must not notice
// more than that the targets are busy.
TEST(load_queue, few_callers_that_take_most_of_the_load_dont_displace_others) {
    auto fair = play("few_callers");
    for (const auto* member : {"b", "c", "d"}) {
        EXPECT_GE(fair[std::string{"answered_"} + member], 0.99) << member;
    }
}

// Callers send twice and five times what the targets can do. Without a check against the deadline
// slots run work that ends too late, and callers learn of it only then.
TEST(load_queue, at_saturation_slots_do_only_work_that_ends_in_time) {
    EXPECT_LT(play("tight_2x", {"deadline_check"})["useful"], 0.5);
    EXPECT_GE(play("tight_2x")["useful"], 0.8);
    for (const auto* name : {"saturation_2x", "saturation_5x"}) {
        auto figures = play(name);
        EXPECT_GE(figures["useful"], 0.95) << name;
        EXPECT_LT(figures["refusal_p99"], 50) << name;
        EXPECT_LT(figures["unknown"], 0.001) << name;
        EXPECT_LE(figures["most_in_use"], 2) << name;
    }
}

TEST(load_queue, short_work_waits_less_than_behind_all_long_work) {
    EXPECT_LT(play("long_among_short_2x")["short_wait_p99"],
              0.85 * play("long_among_short_2x", {"work_classes"})["short_wait_p99"]);
}

// Thousands are refused within a second. Told the same time, they all come back together, again and
// again; told the time at which there is room for them, nearly all are answered at their return.
TEST(load_queue, refused_callers_come_back_when_there_is_room) {
    auto spread = play("burst");
    auto together = play("burst", {"come_back"});
    EXPECT_GT(together["rounds_mean"], 3);
    EXPECT_LT(spread["rounds_mean"], 1.2);
    EXPECT_LT(spread["back_at_once"], together["back_at_once"] / 5);
    EXPECT_GT(spread["answered"], 0.999);
}

TEST(load_queue, a_slow_target_refuses_what_it_cant_end) {
    auto figures = play("slow_target");
    EXPECT_LT(figures["unknown"], 0.001);
    EXPECT_GT(figures["unknown"] + figures["refused"], 0) << "the target wasn't slow";
}

class one_target : public ::testing::Test {
protected:
    one_target() { target_.slots = 1; }

    load::work request(std::int64_t number, std::string_view member, clock::duration deadline) {
        return {.id = {.flow = static_cast<std::uint64_t>(number), .number = number},
                .member = member,
                .kind = 0,
                .deadline = now_ + deadline};
    }

    load::admission offer(const load::work& wanted) {
        auto decision = load::admit_request(target_, load_, wanted, now_);
        if (std::holds_alternative<load::run_now>(decision)) {
            ++load_.slots_in_use;
            load::note_dispatched(load_, wanted, now_);
        }
        return decision;
    }

    void learn(clock::duration service) {
        for (int i = 0; i < 20; ++i) {
            load_.times.note("m", 0, service, now_);
        }
    }

    configuration::target target_;
    load::target_load load_;
    clock::time_point now_ = start;
};

// A target became slow, every request is refused for its deadline, none runs, and so the estimate
// never falls although the target has long recovered.
TEST_F(one_target, is_tried_again_after_its_estimate_has_grown_too_high) {
    learn(clock::duration{5'000});
    now_ += clock::duration{500};
    const auto refused = offer(request(1, "m", clock::duration{1'000}));
    ASSERT_TRUE(std::holds_alternative<load::refusal>(refused));
    EXPECT_EQ(std::get<load::refusal>(refused).code, result_code::deadline_too_near);
    now_ += clock::duration{1'000};
    EXPECT_TRUE(
        std::holds_alternative<load::run_now>(offer(request(2, "m", clock::duration{1'000}))));
    now_ += clock::duration{20};
    --load_.slots_in_use;
    load::note_ended(load_, {.flow = 2, .number = 2}, load::ending::answered, now_);
}

// Waiting requests whose deadline passes used to stay in the queue and be dispatched in vain.
TEST_F(one_target, refuses_a_waiting_request_as_soon_as_it_cant_end) {
    learn(clock::duration{100});
    offer(request(1, "m", clock::duration{2'000}));
    ASSERT_TRUE(
        std::holds_alternative<load::wait_for_slot>(offer(request(2, "m", clock::duration{300}))));
    now_ += clock::duration{100};
    EXPECT_TRUE(load::take_infeasible(target_, load_, now_).empty());
    now_ += clock::duration{150};
    const auto refused = load::take_infeasible(target_, load_, now_);
    ASSERT_EQ(refused.size(), 1);
    EXPECT_EQ(refused.front().id.number, 2);
    EXPECT_TRUE(load_.queue.empty());
}

TEST_F(one_target, tells_refused_callers_different_times) {
    learn(clock::duration{100});
    offer(request(1, "m", clock::duration{1'000}));
    std::set<clock::duration> times;
    for (int i = 2; i < 50; ++i) {
        const auto decision = offer(request(i, "m", clock::duration{50}));
        ASSERT_TRUE(std::holds_alternative<load::refusal>(decision));
        const auto retry_after = std::get<load::refusal>(decision).retry_after;
        EXPECT_GT(retry_after.count(), 0);
        EXPECT_LE(retry_after, load::max_retry_after);
        times.insert(retry_after);
    }
    EXPECT_GT(times.size(), 40);
}

// Through the whole core: the target has been seen to take 300 ms, both its slots are busy, and a
// caller with 200 ms left is told at once, not at its deadline.
TEST(load_queue, the_core_refuses_at_once_what_cant_end) {
    testing::session session;
    for (const auto* line :
         {"zone north", "service board 10.0.0.1:443", "target board-1 north board slots=1",
          "instance a north", "apply", "advance 15000", "open flow=1 via=a",
          "request flow=1 request=1 via=a", "advance 300", "answer flow=1 request=1",
          "request flow=1 request=2 via=a"}) {
        session.run(line);
    }
    session.take_transcript();
    session.run("request flow=1 request=3 via=a deadline=200");
    const auto& last = session.caller_packets().back();
    EXPECT_EQ(last.request, 3);
    EXPECT_EQ(last.kind, wire::packet_kind::refused);
    EXPECT_EQ(last.code, static_cast<std::int32_t>(result_code::deadline_too_near));
    EXPECT_GT(last.come_back_ms, 0);
    EXPECT_EQ(session.target("board-1").runs().size(), 2);
}

}  // namespace
}  // namespace bramleytrack
