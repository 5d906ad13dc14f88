// One line of an instance's log, read back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bramleytrack::ctl {

struct log_record {
    std::int64_t at = 0;  // milliseconds since the Unix epoch, on the instance's clock
    std::string instance;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    std::string_view text(std::string_view key) const;
    // Nothing when the field is missing or no number.
    std::optional<std::int64_t> number(std::string_view key) const;
};

// Whatever a collector put before the line is passed over. Nothing when it is no line of an
// instance, or is cut off before its event.
std::optional<log_record> parse_log_line(std::string_view line);

}  // namespace bramleytrack::ctl
