// Refusals beyond the log's rate: what can still be told of each.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "steering/rejection_summary.h"

namespace bramleytrack {
namespace {

using steering::rejection_summary;

constexpr clock::time_point start = to_time_point(1'000'000);

class kept_lines final : public event_log {
public:
    bool admits(log_kind /*kind*/, clock::time_point /*now*/) override { return true; }
    void write(const log_event& event) override { lines.push_back(event.line()); }

    std::vector<std::string> lines;
};

TEST(rejection_summary, openings_without_a_line_are_told_by_cause_once_a_second) {
    // A rush: most refusals have no line. A caller asks why it was refused, and only the sums of
    // that second can say.
    rejection_summary sums;
    kept_lines log;
    for (int i = 0; i < 700; ++i) {
        sums.add("board", "refuse", result_code::queue_full, i % 7 == 0);
    }
    sums.add("plans", "drop", result_code::no_eligible_target, false);
    sums.report(log, "north", start);
    ASSERT_EQ(log.lines.size(), 2U);
    EXPECT_EQ(log.lines[0],
              "event=turned_away service=board zone=north decision=refuse reason=queue_full "
              "openings_without_line=700 of_callers_over_share=100");
    sums.add("board", "refuse", result_code::queue_full, false);
    sums.report(log, "north", start + clock::duration{900});
    EXPECT_EQ(log.lines.size(), 2U);
    sums.report(log, "north", start + clock::duration{1'000});
    EXPECT_EQ(log.lines.size(), 3U);
    sums.report(log, "north", start + clock::duration{9'000});
    EXPECT_EQ(log.lines.size(), 3U);
}

TEST(rejection_summary, a_second_has_a_bounded_number_of_lines) {
    rejection_summary sums;
    kept_lines log;
    for (int i = 0; i < 1'000; ++i) {
        sums.add("service-" + std::to_string(i), "refuse", result_code::queue_full, false);
    }
    sums.report(log, "north", start);
    EXPECT_EQ(log.lines.size(), rejection_summary::max_causes);
}

}  // namespace
}  // namespace bramleytrack
