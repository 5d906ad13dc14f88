// Tests that logging is bounded and never blocks the event loop.
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

using observability::rate_limited_log;

constexpr clock::time_point start = to_time_point(1'000'000);

// Redirects standard output to a pipe that is never read, for the lifetime of the object.
class unread_output {
public:
    unread_output() : saved_stdout_{dup(STDOUT_FILENO)}, saved_logger_{spdlog::default_logger()} {
        std::fflush(stdout);
        if (pipe(pipe_.data()) == 0) {
            dup2(pipe_[1], STDOUT_FILENO);
        }
    }
    ~unread_output() {
        spdlog::set_default_logger(saved_logger_);
        dup2(saved_stdout_, STDOUT_FILENO);
        for (const int each : {saved_stdout_, pipe_[0], pipe_[1]}) {
            close(each);
        }
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;

private:
    int saved_stdout_;
    std::array<int, 2> pipe_{};
    std::shared_ptr<spdlog::logger> saved_logger_;
};

TEST(log_output, does_not_block_when_output_is_not_read) {
    // The log collector hangs and the pipe fills up. A blocking write would stop the event loop and
    // with it the forwarding of all packets.
    std::int64_t dropped_lines = 0;
    std::chrono::steady_clock::duration elapsed{};
    {
        const unread_output output;
        observability::start_log("test");
        const auto before = std::chrono::steady_clock::now();
        constexpr int lines = 20'000;
        for (int i = 0; i < lines; ++i) {
            observability::log_line("event=opening caller=100.64.0.7:40001 decision=forward");
        }
        elapsed = std::chrono::steady_clock::now() - before;
        dropped_lines = observability::dropped_log_lines();
    }
    EXPECT_GT(dropped_lines, 0);
    EXPECT_LT(elapsed, std::chrono::seconds{5});
}

TEST(log_budget, limits_a_flood_of_one_kind_without_affecting_others) {
    // An attacker sends 100,000 opening packets in a second; state changes must still be logged.
    rate_limited_log log;
    constexpr int flood = 100'000;
    int admitted = 0;
    for (int i = 0; i < flood; ++i) {
        admitted += log.admits(log_kind::opening, start + clock::duration{i / 100}) ? 1 : 0;
    }
    EXPECT_LE(admitted, 241);
    EXPECT_GE(admitted, 200);
    EXPECT_TRUE(log.admits(log_kind::state_change, start));
}

TEST(log_budget, refills_over_time) {
    rate_limited_log log;
    while (log.admits(log_kind::answer, start)) {
    }
    EXPECT_FALSE(log.admits(log_kind::answer, start + clock::duration{10}));
    EXPECT_TRUE(log.admits(log_kind::answer, start + clock::duration{100}));
}

}  // namespace
}  // namespace bramleytrack
