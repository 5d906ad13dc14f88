#include "observability/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <memory>
#include <string>
#include <utility>

namespace bramleytrack::observability {
namespace {

// Half a minute of a busy instance's lines.
constexpr std::size_t max_waiting_bytes = std::size_t{512} * 1024;

// Standard output may be a pipe that nobody reads: a write that would block stops the whole loop. A
// pipe that polls as writable takes PIPE_BUF bytes without blocking, so no more go in one write.
class output_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit output_sink(log_flush flush) : flush_when_{flush} {}

    std::int64_t lost() const { return lost_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (waiting_.size() + line.size() > max_waiting_bytes) {
            ++lost_;
            return;
        }
        waiting_.append(line.data(), line.size());
        if (flush_when_ == log_flush::each_line) {
            flush_();
        }
    }

    void flush_() override {
        std::size_t written = 0;
        while (written < waiting_.size()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
                break;
            }
            const auto size = std::min<std::size_t>(waiting_.size() - written, PIPE_BUF);
            const auto count = ::write(STDOUT_FILENO, waiting_.data() + written, size);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        waiting_.erase(0, written);
    }

private:
    log_flush flush_when_;
    std::string waiting_;
    std::int64_t lost_ = 0;
};

std::shared_ptr<output_sink>& current_sink() {
    static std::shared_ptr<output_sink> sink;
    return sink;
}

struct kind_budget {
    std::string_view name;
    double lines_per_second;
    double burst;
};

// In the order of log_kind. Openings come at some 10 a second for each instance on an ordinary day;
// a flood must neither hide what the process believes nor cost the time for packets.
constexpr std::array<kind_budget, log_kinds> kind_budgets{
    kind_budget{.name = "opening", .lines_per_second = 40, .burst = 200},
    kind_budget{.name = "delivery", .lines_per_second = 20, .burst = 100},
    kind_budget{.name = "answer", .lines_per_second = 20, .burst = 100},
    kind_budget{.name = "belief", .lines_per_second = 40, .burst = 400},
    kind_budget{.name = "lifecycle", .lines_per_second = 20, .burst = 100}};

constexpr clock::duration report_interval{1'000};

}  // namespace

void start_log(std::string_view process, log_flush flush) {
    current_sink() = std::make_shared<output_sink>(flush);
    auto logger = std::make_shared<spdlog::logger>(std::string{process}, current_sink());
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e process=%n level=%l %v");
    spdlog::set_default_logger(std::move(logger));
}

void log_line(std::string_view line) {
    spdlog::info("{}", line);
}

void flush_log() {
    if (current_sink()) {
        current_sink()->flush();
    }
}

std::int64_t lost_log_lines() {
    return current_sink() ? current_sink()->lost() : 0;
}

budgeted_log::budgeted_log() {
    for (const auto& each : kind_budgets) {
        budgets_.push_back({.lines = rate_budget{each.burst}, .suppressed = 0, .reported_at = {}});
    }
}

bool budgeted_log::admits(log_kind kind, clock::time_point now) {
    const auto index = static_cast<std::size_t>(kind);
    const auto& allowed = kind_budgets.at(index);
    auto& current = budgets_.at(index);
    if (current.lines.refill(allowed.lines_per_second, now) < 1) {
        ++current.suppressed;
        return false;
    }
    current.lines.take(1);
    if (current.suppressed > 0 && now - current.reported_at >= report_interval) {
        log_line(log_event{"lines_left_out"}
                     .with("kind", allowed.name)
                     .with("count", std::exchange(current.suppressed, 0))
                     .line());
        current.reported_at = now;
    }
    return true;
}

void budgeted_log::write(const log_event& event) {
    log_line(event.line());
}

}  // namespace bramleytrack::observability
