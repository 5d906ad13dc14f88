// Bramleyctl: from a recorded log to the cause of a failed flow.
#include "flow_story.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "base/read_file.h"
#include "overview.h"

namespace bramleytrack {
namespace {

using ctl::log_record;
using ctl::parse_log_line;
using ctl::tell_story;

std::vector<log_record> recorded(const std::string& name) {
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

TEST(log_record, reads_a_line_with_whatever_stands_before_it) {
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

TEST(log_record, passes_over_what_is_no_line_or_is_cut_off) {
    EXPECT_FALSE(parse_log_line(""));
    EXPECT_FALSE(parse_log_line("bramleyd: can't read"));
    EXPECT_FALSE(parse_log_line("time=2026-12-03T01:15:49.123 process=a lev"));
    EXPECT_FALSE(parse_log_line("time=yesterday process=a event=x"));
    EXPECT_TRUE(parse_log_line("time=2026-12-03T01:15:49.123 process=a event=x key=\"cut o"));
}

TEST(flow_story, tells_why_a_flow_was_refused) {
    const auto story = tell_story(recorded("refused"), "100.64.0.9:1137");
    EXPECT_EQ(story.outcome, "queue_full");
    EXPECT_NE(story.cause.find("too much load"), std::string::npos);
    EXPECT_FALSE(story.steps.empty());
}

TEST(flow_story, tells_why_an_open_flow_was_cut_off) {
    const auto story = tell_story(recorded("cut_off"), "100.64.0.4:1025");
    EXPECT_EQ(story.outcome, "target_silent");
    EXPECT_NE(story.cause.find("had died or was cut off"), std::string::npos);
    // The entry of the target went two seconds later: that is in the lines around the flow.
    const auto text = to_text(story);
    EXPECT_NE(text.find("target_removed"), std::string::npos) << text;
}

TEST(flow_story, tells_why_an_answer_was_late) {
    const auto story = tell_story(recorded("late"), "100.64.0.12:1031");
    EXPECT_EQ(story.outcome, "late");
    EXPECT_NE(to_text(story).find("objective"), std::string::npos);
}

TEST(flow_story, says_that_lines_are_missing) {
    const auto story = tell_story(recorded("refused"), "100.64.0.9:1137");
    ASSERT_FALSE(story.gaps.empty());
    EXPECT_NE(story.gaps.front().find("left out"), std::string::npos);
}

TEST(flow_story, a_caller_that_no_line_names_is_not_found) {
    const auto story = tell_story(recorded("refused"), "1.2.3.4:5");
    EXPECT_EQ(story.outcome, "not_found");
    EXPECT_TRUE(story.steps.empty());
}

TEST(flow_story, is_told_in_order_though_the_lines_are_mixed) {
    auto records = recorded("cut_off");
    std::ranges::reverse(records);
    const auto story = tell_story(records, "100.64.0.4:1025");
    EXPECT_TRUE(std::ranges::is_sorted(story.steps, {}, &ctl::story_step::at));
    EXPECT_EQ(story.outcome, "target_silent");
}

TEST(flow_story, is_also_json) {
    const auto story = tell_story(recorded("late"), "100.64.0.12:1031");
    const auto root = nlohmann::json::parse(to_json(story));
    EXPECT_EQ(root["outcome"], "late");
    EXPECT_EQ(root["steps"].size(), story.steps.size());
}

TEST(overview, reads_gauges_and_leaves_histograms_out) {
    const auto gauges = ctl::parse_gauges(
        "# HELP bramleytrack_ready 1 while new flows are wanted here\nbramleytrack_ready 1\n"
        "bramleytrack_opening_seconds_bucket{le=\"0.1\"} 7\nbramleytrack_known_revision 45\n");
    EXPECT_EQ(gauges.size(), 2U);
    EXPECT_EQ(gauges.at("bramleytrack_known_revision"), 45);
}

}  // namespace
}  // namespace bramleytrack
