#include "configuration/fault.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <utility>
#include <vector>

namespace bramleytrack::configuration {
namespace {

// A key at a larger edit distance is not taken for a misspelling.
constexpr std::size_t max_distance = 3;
constexpr std::size_t max_compared_length = 40;

// Levenshtein distance, computed row by row.
std::size_t edit_distance(std::string_view first, std::string_view second) {
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < first.size(); ++i) {
        auto diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < second.size(); ++j) {
            const auto substituted = diagonal + std::size_t{first[i] == second[j] ? 0U : 1U};
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

}  // namespace

std::string to_string(const fault& fault) {
    return "line " + std::to_string(fault.line) + " " + (fault.path.empty() ? "/" : fault.path) +
           ": " + fault.message;
}

std::string unknown_key_message(std::string_view key,
                                std::span<const std::string_view> allowed_keys) {
    const auto compared = key.substr(0, max_compared_length);
    const auto nearest = std::ranges::min_element(
        allowed_keys, {}, [&](std::string_view each) { return edit_distance(compared, each); });
    if (nearest != allowed_keys.end() && edit_distance(compared, *nearest) <= max_distance) {
        return "unknown key; did you mean \"" + std::string{*nearest} + "\"?";
    }
    std::string list;
    for (const auto each : allowed_keys) {
        list.append(list.empty() ? "" : ", ").append(each);
    }
    return "unknown key; allowed are " + list;
}

bool is_numeric_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, port);
    in_addr address{};
    return read.ec == std::errc{} && read.ptr == end && port > 0 &&
           inet_pton(AF_INET, std::string{text.substr(0, colon)}.c_str(), &address) == 1;
}

}  // namespace bramleytrack::configuration
