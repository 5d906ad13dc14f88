// The queue of a target as callers see it: shares, waits, refusals and Retry-After times under
// bursts, floods, few callers, long requests among short ones, a slow target and saturation.
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

std::map<std::string, double> run_scenario(std::string_view name,
                                           const std::vector<std::string>& without = {}) {
    constexpr int seeds = 2;
    const auto table = experiments::strategies_without(without);
    std::vector<experiments::request_result> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        results.push_back(experiments::simulate_requests(*experiments::find_scenario(name), table,
                                                         static_cast<std::uint64_t>(seed)));
    }
    std::map<std::string, double> figures;
    for (const auto& each : experiments::figures_of(experiments::merge(results))) {
        figures[each.name] = each.value;
    }
    return figures;
}

// One member sends ten times its share. A first-come queue then fills up with its requests, and
// those of other members are refused although these send less than their shares.
TEST(load_queue, flood_by_one_member_leaves_others_their_share) {
    auto fair = run_scenario("flood");
    auto first_come = run_scenario("flood", {"fair_queue"});
    EXPECT_LT(first_come["worst_share"], 0.9);
    EXPECT_GE(fair["worst_share"], 0.95);
    for (const auto* member : {"b", "c", "d"}) {
        EXPECT_GE(fair[std::string{"answered_"} + member], 0.95) << member;
    }
}

TEST(load_queue, members_above_their_shares_get_equal_shares) {
    EXPECT_LT(run_scenario("flood_all_busy", {"fair_queue"})["worst_share"], 0.95);
    EXPECT_GE(run_scenario("flood_all_busy")["worst_share"], 0.95);
}

// Two callers keep two targets full. Other members on the same targets must still get nearly all of
// their requests answered.
TEST(load_queue, few_callers_that_take_most_of_the_load_dont_displace_others) {
    auto fair = run_scenario("few_callers");
    for (const auto* member : {"b", "c", "d"}) {
        EXPECT_GE(fair[std::string{"answered_"} + member], 0.99) << member;
    }
}

// Callers send two and five times what the targets can serve. Without the deadline check slots run
// requests that end too late, and callers learn of it only at their deadlines.
TEST(load_queue, slots_run_only_requests_that_end_in_time_at_saturation) {
    EXPECT_LT(run_scenario("tight_2x", {"deadline_check"})["useful"], 0.5);
    EXPECT_GE(run_scenario("tight_2x")["useful"], 0.8);
    for (const auto* name : {"saturation_2x", "saturation_5x"}) {
        auto figures = run_scenario(name);
        EXPECT_GE(figures["useful"], 0.95) << name;
        EXPECT_LT(figures["refusal_p99"], 50) << name;
        EXPECT_LT(figures["unknown"], 0.001) << name;
        EXPECT_LE(figures["most_in_use"], 2) << name;
    }
}

TEST(load_queue, short_requests_wait_less_with_work_classes) {
    EXPECT_LT(run_scenario("long_among_short_2x")["short_wait_p99"],
              0.85 * run_scenario("long_among_short_2x", {"work_classes"})["short_wait_p99"]);
}

// Thousands of requests are refused within a second. With a fixed Retry-After time all callers
// retry together, round after round; with times at which the target has capacity for them, nearly
// all are answered at the first retry.
TEST(load_queue, refused_callers_retry_when_there_is_capacity) {
    auto scheduled = run_scenario("burst");
    auto fixed = run_scenario("burst", {"come_back"});
    EXPECT_GT(fixed["rounds_mean"], 3);
    EXPECT_LT(scheduled["rounds_mean"], 1.2);
    EXPECT_LT(scheduled["back_at_once"], fixed["back_at_once"] / 5);
    EXPECT_GT(scheduled["answered"], 0.999);
}

TEST(load_queue, requests_that_a_slow_target_cannot_end_in_time_are_refused) {
    auto figures = run_scenario("slow_target");
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

    load::admission submit(const load::work& work) {
        auto decision = load::admit_request(target_, load_, work, now_);
        if (std::holds_alternative<load::run_now>(decision)) {
            ++load_.slots_in_use;
            load::record_dispatch(load_, work, now_);
        }
        return decision;
    }

    void record_service_times(clock::duration service_time) {
        for (int i = 0; i < 20; ++i) {
            load_.times.record("m", 0, service_time, now_);
        }
    }

    configuration::target target_;
    load::target_load load_;
    clock::time_point now_ = start;
};

// Guards against an estimate that never falls: after a slow phase every request is refused for its
// deadline, so none runs and nothing is measured, although the target has long recovered.
TEST_F(one_target, is_probed_while_its_estimate_exceeds_all_deadlines) {
    record_service_times(clock::duration{5'000});
    now_ += clock::duration{500};
    const auto refused = submit(request(1, "m", clock::duration{1'000}));
    ASSERT_TRUE(std::holds_alternative<load::refusal>(refused));
    EXPECT_EQ(std::get<load::refusal>(refused).code, result_code::deadline_too_near);
    now_ += clock::duration{1'000};
    EXPECT_TRUE(
        std::holds_alternative<load::run_now>(submit(request(2, "m", clock::duration{1'000}))));
    now_ += clock::duration{20};
    --load_.slots_in_use;
    load::record_end(load_, {.flow = 2, .number = 2}, load::run_outcome::answered, now_);
}

// Guards against queued requests that stay in the queue past their deadline and are dispatched too
// late.
TEST_F(one_target, refuses_a_queued_request_once_it_cannot_meet_its_deadline) {
    record_service_times(clock::duration{100});
    submit(request(1, "m", clock::duration{2'000}));
    ASSERT_TRUE(
        std::holds_alternative<load::wait_for_slot>(submit(request(2, "m", clock::duration{300}))));
    now_ += clock::duration{100};
    EXPECT_TRUE(load::take_infeasible(target_, load_, now_).empty());
    now_ += clock::duration{150};
    const auto refused = load::take_infeasible(target_, load_, now_);
    ASSERT_EQ(refused.size(), 1);
    EXPECT_EQ(refused.front().id.number, 2);
    EXPECT_TRUE(load_.queue.empty());
}

TEST_F(one_target, assigns_distinct_retry_after_times) {
    record_service_times(clock::duration{100});
    submit(request(1, "m", clock::duration{1'000}));
    std::set<clock::duration> times;
    for (int i = 2; i < 50; ++i) {
        const auto decision = submit(request(i, "m", clock::duration{50}));
        ASSERT_TRUE(std::holds_alternative<load::refusal>(decision));
        const auto retry_after = std::get<load::refusal>(decision).retry_after;
        EXPECT_GT(retry_after.count(), 0);
        EXPECT_LE(retry_after, load::max_retry_after);
        times.insert(retry_after);
    }
    EXPECT_GT(times.size(), 40);
}

// Through a whole instance: the measured service time is 300 ms, the only slot is busy, and a
// request with a deadline of 200 ms is refused at once, not at its deadline.
TEST(load_queue, instance_refuses_at_once_what_cannot_meet_its_deadline) {
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
