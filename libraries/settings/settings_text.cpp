#include "settings/settings_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/json_source_map.h"

namespace bramleytrack::settings {
namespace {

using configuration::fault;
using nlohmann::json;

constexpr std::size_t max_settings_size = 65'536;
constexpr std::size_t max_name_length = 64;
constexpr std::size_t min_passphrase_length = 12;
constexpr std::size_t max_displayed_length = 80;

std::string describe_value(const json& root, std::string_view name, value_kind kind) {
    const auto found = root.find(name);
    if (found == root.end()) {
        return "nothing";
    }
    if (kind == value_kind::secret) {
        return "another";
    }
    // By default dump() throws on text that isn't UTF-8, which would terminate the program while it
    // reports the fault.
    auto text = found->dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_displayed_length) {
        text = text.substr(0, max_displayed_length) + "...";
    }
    return text;
}

// Lines are recorded by JSON pointer.
std::string pointer_of(const std::string& path) {
    if (path.empty() || path.starts_with('/')) {
        return path;
    }
    auto pointer = "/" + path;
    std::ranges::replace(pointer, '.', '/');
    return pointer;
}

}  // namespace

std::vector<fault> read_settings_text(std::string_view text, const key_reader& read_keys) {
    if (text.size() > max_settings_size) {
        return {{.line = 0, .path = "", .message = "settings are at most 65536 bytes"}};
    }
    const configuration::json_source_map source_map{text};
    auto faults = source_map.faults();
    if (!source_map.is_parsable()) {
        return faults;
    }
    const auto root = json::parse(text, nullptr, false, true);
    if (!root.is_object()) {
        return {{.line = 1, .path = "", .message = "expected a JSON object"}};
    }
    for (auto& each : read_keys(root)) {
        each.line = source_map.line_of(pointer_of(each.path));
        faults.push_back(std::move(each));
    }
    std::ranges::stable_sort(faults, {}, &fault::line);
    return faults;
}

std::vector<fault> unknown_keys(const json& root, std::span<const std::string_view> known_keys) {
    std::vector<fault> faults;
    for (const auto& [name, value] : root.items()) {
        if (std::ranges::find(known_keys, name) == known_keys.end()) {
            faults.push_back({.line = 0,
                              .path = "/" + name,
                              .message = configuration::unknown_key_message(name, known_keys)});
        }
    }
    return faults;
}

fault invalid_value(const json& root, std::string_view name, std::string_view allowed,
                    value_kind kind) {
    return {.line = 0,
            .path = "/" + std::string{name},
            .message =
                "expected " + std::string{allowed} + ", found " + describe_value(root, name, kind)};
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           text.find_first_of(" \"\\/\n\t") == std::string_view::npos;
}

bool is_passphrase(std::string_view text) {
    return text.size() >= min_passphrase_length;
}

}  // namespace bramleytrack::settings
