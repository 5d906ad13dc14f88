#include "log_record.h"

#include <charconv>
#include <chrono>
#include <cstdio>

namespace bramleytrack::ctl {
namespace {

// Consumes the next key=value pair. Returns false when there is none or it is truncated.
bool parse_pair(std::string_view& rest, std::string& key, std::string& value) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos ||
        rest.substr(0, equals).find(' ') != std::string_view::npos) {
        return false;
    }
    key = rest.substr(0, equals);
    rest.remove_prefix(equals + 1);
    value.clear();
    if (!rest.starts_with('"')) {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return true;
    }
    for (std::size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return true;
        }
        i += rest[i] == '\\' && i + 1 < rest.size() ? 1 : 0;
        value += rest[i];
    }
    return false;
}

// Parses a time such as 2026-12-03T01:15:49.123 as UTC.
std::optional<std::int64_t> parse_time(const std::string& text) {
    int year = 0;
    int month = 0;
    int day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    constexpr int field_count = 7;
    // NOLINTNEXTLINE(cert-err34-c): a field that is not a number lowers the count of converted
    // fields
    if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%d", &year, &month, &day, &hour, &minute,
                    &second, &millisecond) != field_count) {
        return std::nullopt;
    }
    using namespace std::chrono;
    const sys_days date{std::chrono::year{year} / std::chrono::month{static_cast<unsigned>(month)} /
                        std::chrono::day{static_cast<unsigned>(day)}};
    const auto time = date.time_since_epoch() + hours{hour} + minutes{minute} + seconds{second} +
                      milliseconds{millisecond};
    return duration_cast<milliseconds>(time).count();
}

}  // namespace

std::string_view log_record::text(std::string_view key) const {
    const auto found = fields.find(key);
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

std::optional<std::int64_t> log_record::number(std::string_view key) const {
    const auto value = text(key);
    std::int64_t result = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), result);
    return parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size()
               ? std::optional{result}
               : std::nullopt;
}

std::optional<log_record> parse_log_line(std::string_view line) {
    const auto start = line.find("time=");
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = line.substr(start);
    log_record result;
    std::string key;
    std::string value;
    while (parse_pair(rest, key, value)) {
        result.fields[key] = value;
    }
    const auto timestamp_ms = parse_time(std::string{result.text("time")});
    result.instance = result.text("process");
    result.event = result.text("event");
    if (!timestamp_ms || result.instance.empty() || result.event.empty()) {
        return std::nullopt;
    }
    result.timestamp_ms = *timestamp_ms;
    return result;
}

}  // namespace bramleytrack::ctl
