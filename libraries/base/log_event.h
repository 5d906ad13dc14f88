// One structured log event, formatted as a line of key=value pairs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleytrack {

class log_event {
public:
    explicit log_event(std::string_view name) : line_{"event=" + std::string{name}} {}

    // Appends a pair and returns the event, for chaining.
    log_event& with(std::string_view key, std::string_view value);
    log_event& with(std::string_view key, std::int64_t value);

    const std::string& line() const { return line_; }

private:
    std::string line_;
};

}  // namespace bramleytrack
