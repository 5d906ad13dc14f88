// Logging to standard output: one event per line, as key=value pairs.
//
// Writing to a pipe never blocks: while the reader of the pipe is slow, lines are kept in a bounded
// buffer. Lines that don't fit into it are dropped and counted. A write to another kind of output,
// such as a file on a slow disk, can block.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/rate_budget.h"

namespace bramleytrack::observability {

// Whether each line is written at once, or with the next flush_log(). On a busy instance, one
// system call per line costs more than formatting the line.
enum class log_flush { each_line, on_request };

// Sets up the logger of the whole process; `process` is the instance's name, which every line
// carries.
void start_log(std::string_view process, log_flush flush = log_flush::each_line);

void log_line(std::string_view line);

// Writes as much of the buffer as standard output accepts without blocking.
void flush_log();

// Number of lines dropped because the buffer was full.
std::int64_t dropped_log_lines();

// An event log with a rate limit for each kind.
class rate_limited_log final : public event_log {
public:
    rate_limited_log();

    bool admits(log_kind kind, clock::time_point now) override;
    void write(const log_event& event) override;

private:
    struct kind_state {
        rate_budget tokens;
        std::int64_t suppressed_lines = 0;
        clock::time_point reported_at;
    };

    std::vector<kind_state> kind_states_;  // in the order of log_kind
};

}  // namespace bramleytrack::observability
