// Logs: bounded, and never in the way of packets.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>

#include "observability/log.h"

namespace bramleytrack {
namespace {

using observability::budgeted_log;

constexpr clock::time_point start = to_time_point(1'000'000);

// Standard output is a pipe that nobody reads while this lives.
class unread_output {
public:
    unread_output() : kept_{dup(STDOUT_FILENO)}, logger_{spdlog::default_logger()} {
        std::fflush(stdout);
        if (pipe(ends_.data()) == 0) {
            dup2(ends_[1], STDOUT_FILENO);
        }
    }
    ~unread_output() {
        spdlog::set_default_logger(logger_);
        dup2(kept_, STDOUT_FILENO);
        for (const int each : {kept_, ends_[0], ends_[1]}) {
            close(each);
        }
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;

private:
    int kept_;
    std::array<int, 2> ends_{};
    std::shared_ptr<spdlog::logger> logger_;
};

TEST(log_output, does_not_block_when_nobody_reads_it) {
    // The collector hangs. A blocking write would stop the loop, and with it every caller's
    // packets.
    std::int64_t lost = 0;
    std::chrono::steady_clock::duration took{};
    {
        const unread_output output;
        observability::start_log("test");
        const auto before = std::chrono::steady_clock::now();
        constexpr int lines = 20'000;
        for (int i = 0; i < lines; ++i) {
            observability::log_line("event=opening caller=100.64.0.7:40001 decision=forward");
        }
        took = std::chrono::steady_clock::now() - before;
        lost = observability::lost_log_lines();
    }
    EXPECT_GT(lost, 0);
    EXPECT_LT(took, std::chrono::seconds{5});
}

TEST(log_budget, a_flood_of_one_kind_is_bounded_and_leaves_the_others_alone) {
    // A stranger sends 100,000 openings in a second; what the process believes must still be told.
    budgeted_log log;
    constexpr int flood = 100'000;
    int admitted = 0;
    for (int i = 0; i < flood; ++i) {
        admitted += log.admits(log_kind::opening, start + clock::duration{i / 100}) ? 1 : 0;
    }
    EXPECT_LE(admitted, 241);
    EXPECT_GE(admitted, 200);
    EXPECT_TRUE(log.admits(log_kind::state_change, start));
}

TEST(log_budget, fills_up_again) {
    budgeted_log log;
    while (log.admits(log_kind::answer, start)) {
    }
    EXPECT_FALSE(log.admits(log_kind::answer, start + clock::duration{10}));
    EXPECT_TRUE(log.admits(log_kind::answer, start + clock::duration{100}));
}

}  // namespace
}  // namespace bramleytrack
