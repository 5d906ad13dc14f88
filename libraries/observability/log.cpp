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

// Holds about 30 s of a busy instance's log lines.
constexpr std::size_t max_buffered_bytes = std::size_t{512} * 1024;

// Standard output may be a pipe that is not being read, and a blocking write would stop the whole
// event loop. A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so each write
// is limited to that size.
class output_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit output_sink(log_flush flush) : flush_mode_{flush} {}

    std::int64_t dropped_lines() const { return dropped_lines_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (buffer_.size() + line.size() > max_buffered_bytes) {
            ++dropped_lines_;
            return;
        }
        buffer_.append(line.data(), line.size());
        if (flush_mode_ == log_flush::each_line) {
            flush_();
        }
    }

    void flush_() override {
        std::size_t written = 0;
        while (written < buffer_.size()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
                break;
            }
            const auto size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
            const auto count = ::write(STDOUT_FILENO, buffer_.data() + written, size);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        buffer_.erase(0, written);
    }

private:
    log_flush flush_mode_;
    std::string buffer_;
    std::int64_t dropped_lines_ = 0;
};

std::shared_ptr<output_sink>& current_sink() {
    static std::shared_ptr<output_sink> sink;
    return sink;
}

struct kind_rate_limit {
    // The name in log lines. It is part of the log format and may differ from the enumerator:
    // `belief` is log_kind::state_change.
    std::string_view name;
    double lines_per_second;
    double burst;
};

// In the order of log_kind. An instance usually logs about 10 openings per second. The limits keep
// a flood of one kind from crowding out the state changes and from taking CPU time from the
// packets.
constexpr std::array<kind_rate_limit, log_kinds> kind_rate_limits{
    kind_rate_limit{.name = "opening", .lines_per_second = 40, .burst = 200},
    kind_rate_limit{.name = "delivery", .lines_per_second = 20, .burst = 100},
    kind_rate_limit{.name = "answer", .lines_per_second = 20, .burst = 100},
    kind_rate_limit{.name = "belief", .lines_per_second = 40, .burst = 400},
    kind_rate_limit{.name = "lifecycle", .lines_per_second = 20, .burst = 100}};

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

std::int64_t dropped_log_lines() {
    return current_sink() ? current_sink()->dropped_lines() : 0;
}

rate_limited_log::rate_limited_log() {
    for (const auto& each : kind_rate_limits) {
        kind_states_.push_back(
            {.tokens = rate_budget{each.burst}, .suppressed_lines = 0, .reported_at = {}});
    }
}

bool rate_limited_log::admits(log_kind kind, clock::time_point now) {
    const auto index = static_cast<std::size_t>(kind);
    const auto& rate_limit = kind_rate_limits.at(index);
    auto& state = kind_states_.at(index);
    if (state.tokens.refill(rate_limit.lines_per_second, now) < 1) {
        ++state.suppressed_lines;
        return false;
    }
    // The admitted line consumes its token here. The report below is not counted against the limit.
    state.tokens.consume(1);
    if (state.suppressed_lines > 0 && now - state.reported_at >= report_interval) {
        log_line(log_event{"lines_left_out"}
                     .with("kind", rate_limit.name)
                     .with("count", std::exchange(state.suppressed_lines, 0))
                     .line());
        state.reported_at = now;
    }
    return true;
}

void rate_limited_log::write(const log_event& event) {
    log_line(event.line());
}

}  // namespace bramleytrack::observability
