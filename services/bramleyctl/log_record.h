// Parser for the key=value lines of an instance's log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bramleytrack::ctl {

struct log_record {
    std::int64_t timestamp_ms = 0;  // milliseconds since the Unix epoch, on the instance's clock
    std::string instance;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    std::string_view text(std::string_view key) const;
    // Returns nothing when the field is missing or not an integer.
    std::optional<std::int64_t> number(std::string_view key) const;
};

// Skips any prefix that a log collector added. Returns nothing when `line` is not an instance's log
// line, or is truncated before its event.
std::optional<log_record> parse_log_line(std::string_view line);

}  // namespace bramleytrack::ctl
