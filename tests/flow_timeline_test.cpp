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

TEST(overview, parses_gauges_and_skips_histograms) {
    const auto gauges = ctl::parse_gauges(
        "# HELP bramleytrack_ready 1 while new flows are wanted here\nbramleytrack_ready 1\n"
        "bramleytrack_opening_seconds_bucket{le=\"0.1\"} 7\nbramleytrack_known_revision 45\n");
    EXPECT_EQ(gauges.size(), 2U);
    EXPECT_EQ(gauges.at("bramleytrack_known_revision"), 45);
}

}  // namespace
}  // namespace bramleytrack
