// What all settings have in common: JSON with comments, checked whole, each fault with its line.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string_view>
#include <vector>

#include "configuration/fault.h"

namespace bramleytrack::settings {

// Reads the keys of one kind of settings and returns their faults, without lines.
using keys_reader = std::function<std::vector<configuration::fault>(const nlohmann::json& root)>;

// All faults of the text, in the order of its lines; empty when `read_keys` has read valid
// settings.
std::vector<configuration::fault> read_settings_text(std::string_view text,
                                                     const keys_reader& read_keys);

// A fault for each key of `root` that isn't among `known`.
std::vector<configuration::fault> unknown_keys(const nlohmann::json& root,
                                               std::span<const std::string_view> known);

// Whether a key's value may be shown to whoever reads its fault: messages end up in logs.
enum class value_kind { plain, secret };

// The fault of a key whose value is missing or isn't what is allowed, with what was found.
configuration::fault expected(const nlohmann::json& root, std::string_view name,
                              std::string_view allowed, value_kind kind = value_kind::plain);

// A name of an instance or zone: not empty, at most 64 characters, none that a log line would
// quote.
bool is_name(std::string_view text);

// Shorter ones can be tried out by a stranger who has seen one datagram.
bool is_passphrase(std::string_view text);

}  // namespace bramleytrack::settings
