// The summary of rejections that exceed the log's rate limit.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "steering/rejection_summary.h"

namespace bramleytrack {
namespace {

using steering::rejection_summary;

constexpr clock::time_point start = to_time_point(1'000'000);

class recording_log final : public event_log {
public:
    bool admits(log_kind /*kind*/, clock::time_point /*now*/) override { return true; }
    void write(const log_event& event) override { lines.push_back(event.line()); }

    std::vector<std::string> lines;
};

TEST(rejection_summary, openings_without_a_line_are_logged_by_cause_once_a_second) {
    // In a burst most refusals have no line of their own, and only the counts of that second show
    // why a caller was refused.
    rejection_summary summary;
    recording_log log;
    for (int i = 0; i < 700; ++i) {
        summary.add("board", "refuse", result_code::queue_full, i % 7 == 0);
    }
    summary.add("plans", "drop", result_code::no_eligible_target, false);
    summary.report(log, "north", start);
    ASSERT_EQ(log.lines.size(), 2U);
    EXPECT_EQ(log.lines[0],
              "event=turned_away service=board zone=north decision=refuse reason=queue_full "
              "openings_without_line=700 of_callers_over_share=100");
    summary.add("board", "refuse", result_code::queue_full, false);
    summary.report(log, "north", start + clock::duration{900});
    EXPECT_EQ(log.lines.size(), 2U);
    summary.report(log, "north", start + clock::duration{1'000});
    EXPECT_EQ(log.lines.size(), 3U);
    summary.report(log, "north", start + clock::duration{9'000});
    EXPECT_EQ(log.lines.size(), 3U);
}

TEST(rejection_summary, the_number_of_lines_per_second_is_bounded) {
    rejection_summary summary;
    recording_log log;
    for (int i = 0; i < 1'000; ++i) {
        summary.add("service-" + std::to_string(i), "refuse", result_code::queue_full, false);
    }
    summary.report(log, "north", start);
    EXPECT_EQ(log.lines.size(), rejection_summary::max_causes);
}

}  // namespace
}  // namespace bramleytrack
