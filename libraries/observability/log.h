// Log lines: one event a line, key=value pairs, on standard output.
//
// Writing never blocks: lines wait in a bounded buffer while whoever reads the output is slow, and
// lines beyond it are counted and left out.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/rate_budget.h"

namespace bramleytrack::observability {

// Whether each line is written at once, or with the next flush_log(). A system call a line costs a
// busy instance more than the line itself.
enum class log_flush { each_line, on_request };

// Sets the format for the whole process; `process` is the instance's name in every line.
void start_log(std::string_view process, log_flush flush = log_flush::each_line);

void log_line(std::string_view line);

// Writes what the output takes now.
void flush_log();

// Lines that were left out because the output wasn't read.
std::int64_t lost_log_lines();

// A log of decisions with a rate for each kind.
class budgeted_log final : public event_log {
public:
    budgeted_log();

    bool admits(log_kind kind, clock::time_point now) override;
    void write(const log_event& event) override;

private:
    struct budget {
        rate_budget lines;
        std::int64_t suppressed = 0;
        clock::time_point reported_at;
    };

    std::vector<budget> budgets_;  // in the order of log_kind
};

}  // namespace bramleytrack::observability
