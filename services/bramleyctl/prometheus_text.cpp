#include "prometheus_text.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

namespace bramleytrack::ctl {
namespace {

constexpr std::string_view blanks = " \t\r";

void skip_blanks(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.find_first_not_of(blanks), rest.size()));
}

bool consume(std::string_view& rest, char expected) {
    skip_blanks(rest);
    if (!rest.starts_with(expected)) {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

// Consumes the text up to the first of `ends`, which is not consumed.
std::string_view consume_until(std::string_view& rest, std::string_view ends) {
    skip_blanks(rest);
    const auto result = rest.substr(0, std::min(rest.find_first_of(ends), rest.size()));
    rest.remove_prefix(result.size());
    return result;
}

// Consumes a label's value with its closing quote. Returns nothing when the quote is missing.
std::optional<std::string> consume_quoted(std::string_view& rest) {
    if (!consume(rest, '"')) {
        return std::nullopt;
    }
    std::string result;
    for (std::size_t i = 0; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return result;
        }
        const bool is_escape = rest[i] == '\\' && i + 1 < rest.size();
        i += is_escape ? 1 : 0;
        result += is_escape && rest[i] == 'n' ? '\n' : rest[i];
    }
    return std::nullopt;
}

// Consumes the labels after the opening brace, with the closing one.
bool consume_labels(std::string_view& rest, metric_sample& sample) {
    while (!consume(rest, '}')) {
        const std::string key{consume_until(rest, "= \t")};
        if (key.empty() || !consume(rest, '=')) {
            return false;
        }
        auto value = consume_quoted(rest);
        if (!value) {
            return false;
        }
        sample.labels[key] = *std::move(value);
        if (!consume(rest, ',') && !rest.starts_with('}')) {
            return false;
        }
    }
    return true;
}

std::optional<metric_sample> parse_line(std::string_view rest) {
    metric_sample sample;
    sample.name = consume_until(rest, "{ \t");
    if (sample.name.empty() || sample.name.front() == '#') {
        return std::nullopt;
    }
    if (consume(rest, '{') && !consume_labels(rest, sample)) {
        return std::nullopt;
    }
    // A time may follow the value; instances write none.
    const std::string value{consume_until(rest, blanks)};
    char* end = nullptr;
    sample.value = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != '\0') {
        return std::nullopt;
    }
    return sample;
}

}  // namespace

std::string_view metric_sample::label(std::string_view key) const {
    const auto found = labels.find(key);
    return found == labels.end() ? std::string_view{} : std::string_view{found->second};
}

std::vector<metric_sample> parse_prometheus_text(std::string_view text) {
    std::vector<metric_sample> result;
    while (!text.empty()) {
        const auto end = text.find('\n');
        // The last line of a complete text ends with a newline; without one it may be cut off
        // within its value, such as 1 of 120.
        if (end == std::string_view::npos) {
            break;
        }
        if (auto sample = parse_line(text.substr(0, end))) {
            result.push_back(*std::move(sample));
        }
        text.remove_prefix(end + 1);
    }
    return result;
}

}  // namespace bramleytrack::ctl
