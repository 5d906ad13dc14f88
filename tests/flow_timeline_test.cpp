// bramleyctl explain: determines the cause of a failed flow from recorded logs.
#include "flow_timeline.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "base/read_file.h"
#include "overview.h"

namespace bramleytrack {
namespace {

using ctl::build_timeline;
using ctl::log_record;
using ctl::parse_log_line;

std::vector<log_record> load_records(const std::string& name) {
    const auto text = read_file(std::string{BRAMLEYTRACK_SOURCE_DIRECTORY} + "/tests/golden/logs/" +
                                name + ".log");
    std::vector<log_record> records;
    std::istringstream lines{text.value_or("")};
    for (std::string line; std::getline(lines, line);) {
        if (auto record = parse_log_line(line)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

TEST(log_record, parses_a_line_after_a_collector_prefix) {
    const auto record = parse_log_line(
        "  12.3 front-1 time=2026-12-03T01:15:49.123 process=a level=info event=learned "
        "what=target reason=\"a \\\"b\\\" c\" age=-1");
    ASSERT_TRUE(record);
    EXPECT_EQ(record->instance, "a");
    EXPECT_EQ(record->event, "learned");
    EXPECT_EQ(record->text("reason"), "a \"b\" c");
    EXPECT_EQ(record->number("age"), -1);
    EXPECT_FALSE(record->number("what"));
}

TEST(log_record, rejects_other_text_and_truncated_lines) {
    EXPECT_FALSE(parse_log_line(""));
    EXPECT_FALSE(parse_log_line("bramleyd: can't read"));
    EXPECT_FALSE(parse_log_line("time=2026-12-03T01:15:49.123 process=a lev"));
    EXPECT_FALSE(parse_log_line("time=yesterday process=a event=x"));
    EXPECT_TRUE(parse_log_line("time=2026-12-03T01:15:49.123 process=a event=x key=\"cut o"));
}

TEST(flow_timeline, explains_a_refused_flow) {
    const auto timeline = build_timeline(load_records("refused"), "100.64.0.9:1137");
    EXPECT_EQ(timeline.outcome, "queue_full");
    EXPECT_NE(timeline.cause.find("too much load"), std::string::npos);
    EXPECT_FALSE(timeline.steps.empty());
}

TEST(flow_timeline, explains_a_reset_of_an_established_flow) {
    const auto timeline = build_timeline(load_records("cut_off"), "100.64.0.4:1025");
    EXPECT_EQ(timeline.outcome, "target_silent");
    EXPECT_NE(timeline.cause.find("had died or was cut off"), std::string::npos);
    // The target's entry was removed two seconds later, which appears in the context.
    const auto text = to_text(timeline);
    EXPECT_NE(text.find("target_removed"), std::string::npos) << text;
}

TEST(flow_timeline, explains_a_late_answer) {
    const auto timeline = build_timeline(load_records("late"), "100.64.0.12:1031");
    EXPECT_EQ(timeline.outcome, "late");
    EXPECT_NE(to_text(timeline).find("objective"), std::string::npos);
}

TEST(flow_timeline, reports_omitted_log_lines_as_gaps) {
    const auto timeline = build_timeline(load_records("refused"), "100.64.0.9:1137");
    ASSERT_FALSE(timeline.gaps.empty());
    EXPECT_NE(timeline.gaps.front().find("left out"), std::string::npos);
}

TEST(flow_timeline, reports_not_found_for_an_unknown_caller) {
    const auto timeline = build_timeline(load_records("refused"), "1.2.3.4:5");
    EXPECT_EQ(timeline.outcome, "not_found");
    EXPECT_TRUE(timeline.steps.empty());
}

TEST(flow_timeline, orders_steps_by_time_for_unordered_input) {
    auto records = load_records("cut_off");
    std::ranges::reverse(records);
    const auto timeline = build_timeline(records, "100.64.0.4:1025");
    EXPECT_TRUE(std::ranges::is_sorted(timeline.steps, {}, &ctl::timeline_step::timestamp_ms));
    EXPECT_EQ(timeline.outcome, "target_silent");
}

TEST(flow_timeline, converts_to_json) {
    const auto timeline = build_timeline(load_records("late"), "100.64.0.12:1031");
    const auto root = nlohmann::json::parse(to_json(timeline));
    EXPECT_EQ(root["outcome"], "late");
    EXPECT_EQ(root["steps"].size(), timeline.steps.size());
}

// Lines of one flow, as instances write them.
std::vector<log_record> records_of(const std::vector<std::string>& lines) {
    std::vector<log_record> records;
    int milliseconds = 100;
    for (const auto& each : lines) {
        const auto record =
            parse_log_line("time=2026-12-03T01:15:49." + std::to_string(milliseconds++) +
                           " process=front-1 level=info " + each);
        EXPECT_TRUE(record) << each;
        records.push_back(record.value_or(log_record{}));
    }
    return records;
}

const std::string flow_fields =
    " caller=1.2.3.4:5 route_address=198.18.0.1:8080 sequence=7 copy=0 route=pull version=4"
    " confirmed_ms_ago=5 candidates=9";
const std::string hold_line = "event=opening" + flow_fields +
                              " decision=hold reason=queue_full ground=none slots=60 open_here=20 "
                              "open_elsewhere=100 caller_over_share=no";
const std::string forward_line =
    "event=opening" + flow_fields + " decision=forward reason=ok target=t-1 target_zone=north";
const std::string refuse_line =
    "event=opening" + flow_fields + " decision=refuse reason=queue_full ground=none waited_ms=0 ";

std::string wait_ended_line(const std::string& outcome, const std::string& reason) {
    return "event=opening_wait_ended caller=1.2.3.4:5 route_address=198.18.0.1:8080 sequence=7 "
           "outcome=" +
           outcome + " waited_ms=80 reason=" + reason;
}

ctl::flow_timeline timeline_of(const std::vector<std::string>& lines) {
    return build_timeline(records_of(lines), "1.2.3.4:5");
}

// Guards against a hold that is reported as a dropped packet, and a wait whose length or reason is
// missing.
TEST(flow_timeline, explains_an_opening_that_waited) {
    const auto timeline =
        timeline_of({hold_line, wait_ended_line("placed", "ok"),
                     forward_line + " ground=entitlement waited_ms=80 overflowed_from=none"});
    EXPECT_EQ(timeline.outcome, "waited");
    EXPECT_EQ(timeline.cause,
              "The opening waited 80 ms, since the service had no free capacity (120 requests open "
              "on 60 slots), and the route had used up its entitlement to the service.");
    ASSERT_EQ(timeline.steps.size(), 3U);
    EXPECT_EQ(timeline.steps[0].text, "opening packet waits: queue_full (route pull, version 4)");
    EXPECT_EQ(timeline.steps[1].text, "wait of the opening ended after 80 ms: placed (ok)");
    EXPECT_NE(timeline.steps[2].text.find("admitted by entitlement, after a wait of 80 ms"),
              std::string::npos);
}

// Guards against a wait that is not found when the lines of its start and end were left out.
TEST(flow_timeline, finds_a_wait_in_the_line_of_the_placement) {
    const auto timeline = timeline_of({forward_line + " ground=free_capacity waited_ms=35"});
    EXPECT_EQ(timeline.outcome, "waited");
    EXPECT_NE(timeline.cause.find("waited 35 ms"), std::string::npos);
}

// Guards against a flow that a second target has accepted and whose history names only one of them.
TEST(flow_timeline, names_both_targets_of_a_flow_that_returned_the_wrong_token) {
    const auto timeline = timeline_of(
        {forward_line,
         "event=token_mismatch caller=1.2.3.4:5 route_address=198.18.0.1:8080 sequence=12 "
         "acknowledged=9 target=t-2 token=77 token_target=t-1"});
    ASSERT_EQ(timeline.steps.size(), 2U);
    EXPECT_EQ(timeline.steps[1].text,
              "packet with sequence 12 returned the token of t-1; the flow is open at t-2");
    EXPECT_EQ(timeline.outcome, "no_fault");
}

// Guards against a wait without an end that looks like a fault of a target, or like no fault.
TEST(flow_timeline, explains_a_wait_without_an_end) {
    const auto timeline = timeline_of({hold_line});
    EXPECT_EQ(timeline.outcome, "waiting");
    EXPECT_NE(timeline.cause.find("no line tells how the wait ended"), std::string::npos);
    // The caller's retransmission reached another instance, which placed it.
    const auto placed = timeline_of({hold_line, forward_line + " waited_ms=0"});
    EXPECT_EQ(placed.outcome, "waited");
    EXPECT_NE(placed.cause.find("began to wait at front-1"), std::string::npos);
}

// Guards against an expired wait that is explained as a refusal at once, whichever of its two lines
// comes first.
TEST(flow_timeline, explains_a_wait_that_expired) {
    const auto refused = refuse_line + "slots=60";
    auto after_wait = refused;
    after_wait.replace(after_wait.find("waited_ms=0"), 11, "waited_ms=80");
    for (const auto& lines :
         {std::vector{hold_line, wait_ended_line("expired", "queue_full")},
          std::vector{hold_line, wait_ended_line("expired", "queue_full"), after_wait},
          std::vector{hold_line, after_wait, wait_ended_line("expired", "queue_full")}}) {
        const auto timeline = timeline_of(lines);
        EXPECT_EQ(timeline.outcome, "expired");
        EXPECT_NE(timeline.cause.find("waited 80 ms and was refused when the wait that its "
                                      "objective allows was over"),
                  std::string::npos)
            << timeline.cause;
    }
}

// Guards against blaming the instance for a flow that the caller ended, and against an eviction
// without a reason.
TEST(flow_timeline, explains_waits_that_were_abandoned_or_evicted) {
    const auto abandoned = timeline_of({hold_line, wait_ended_line("abandoned", "ok")});
    EXPECT_EQ(abandoned.outcome, "abandoned");
    EXPECT_NE(abandoned.cause.find("The caller reset or closed the flow"), std::string::npos);
    const auto evicted = timeline_of({hold_line, wait_ended_line("refused", "queue_full")});
    EXPECT_EQ(evicted.outcome, "queue_full");
    EXPECT_NE(evicted.cause.find("the queue was full, and more urgent"), std::string::npos);
    const auto removed = timeline_of({hold_line, wait_ended_line("refused", "unknown_route")});
    EXPECT_EQ(removed.outcome, "unknown_route");
    EXPECT_NE(removed.cause.find("its route was removed"), std::string::npos);
}

// Guards against an answer from a service that operators did not expect, without a reason.
TEST(flow_timeline, explains_an_overflow) {
    const auto timeline =
        timeline_of({forward_line + " ground=free_capacity waited_ms=0 overflowed_from=board"});
    EXPECT_EQ(timeline.outcome, "overflowed");
    EXPECT_EQ(timeline.cause,
              "The opening went to another service of its split, since board, which the weights "
              "had chosen, had no capacity for it.");
    EXPECT_NE(timeline.steps[0].text.find("instead of board"), std::string::npos);
    EXPECT_EQ(timeline_of({forward_line + " ground=free_capacity waited_ms=0 overflowed_from=none"})
                  .outcome,
              "no_fault");
}

// Guards against "too much load" as the explanation of a refusal while slots were idle.
TEST(flow_timeline, explains_a_refusal_by_what_was_open) {
    const auto idle =
        timeline_of({refuse_line + "slots=60 open_here=10 open_elsewhere=42 caller_over_share=no"});
    EXPECT_EQ(idle.outcome, "queue_full");
    EXPECT_NE(idle.cause.find("8 idle slots of 60 were kept for more urgent routes"),
              std::string::npos)
        << idle.cause;
    const auto full = timeline_of({refuse_line + "slots=60 open_here=20 open_elsewhere=100"});
    EXPECT_NE(full.cause.find("no free capacity (120 requests open on 60 slots)"),
              std::string::npos)
        << full.cause;
    const auto heavy = timeline_of(
        {refuse_line + "slots=60 open_here=20 open_elsewhere=100 caller_over_share=yes"});
    EXPECT_NE(heavy.cause.find("its caller had more than its share"), std::string::npos);
    // A version without these fields.
    const auto old_version = timeline_of(
        {"event=opening" + flow_fields + " decision=refuse reason=queue_full slots=60"});
    EXPECT_EQ(old_version.outcome, "queue_full");
    EXPECT_NE(old_version.cause.find("too much load"), std::string::npos);
}

// Guards against a refusal that is hidden by a later flow from the same port, and a wait that is
// told of the wrong flow.
TEST(flow_timeline, keeps_a_refusal_and_ended_waits_apart_from_later_flows_of_the_port) {
    const auto refused_before =
        timeline_of({refuse_line + "slots=60", forward_line + " waited_ms=0"});
    EXPECT_EQ(refused_before.outcome, "queue_full");
    const auto waited_before =
        timeline_of({hold_line, wait_ended_line("placed", "ok"), forward_line + " waited_ms=80",
                     refuse_line + "slots=60"});
    EXPECT_EQ(waited_before.outcome, "queue_full");
    EXPECT_NE(waited_before.cause.find("refused without a wait"), std::string::npos);
}

// Guards against a late answer whose cause, a wait before the placement, is left out.
TEST(flow_timeline, tells_of_a_wait_before_a_late_answer) {
    const auto timeline = timeline_of(
        {hold_line, wait_ended_line("placed", "ok"), forward_line + " waited_ms=80",
         "event=late_answer caller=1.2.3.4:5 target=t-1 took_ms=500 objective_ms=400 usual_ms=30"});
    EXPECT_EQ(timeline.outcome, "late");
    EXPECT_NE(timeline.cause.find("after its objective"), std::string::npos);
    EXPECT_NE(timeline.cause.find("The opening waited 80 ms"), std::string::npos);
}

TEST(overview, parses_gauges_and_skips_histograms) {
    const auto gauges = ctl::parse_gauges(
        "# HELP bramleytrack_ready 1 while new flows are wanted here\nbramleytrack_ready 1\n"
        "bramleytrack_opening_seconds_bucket{le=\"0.1\"} 7\nbramleytrack_known_revision 45\n");
    EXPECT_EQ(gauges.size(), 2U);
    EXPECT_EQ(gauges.at("bramleytrack_known_revision"), 45);
}

}  // namespace
}  // namespace bramleytrack
