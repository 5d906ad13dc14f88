// Shared parts of all settings parsers: JSON with comments, where all faults are reported at once,
// each with its line.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string_view>
#include <vector>

#include "configuration/fault.h"

namespace bramleytrack::settings {

// Reads the keys of one kind of settings and returns their faults, without line numbers. The path
// of a fault is a JSON pointer, or the dotted name of a key of a nested object (admission.NAME).
using key_reader = std::function<std::vector<configuration::fault>(const nlohmann::json& root)>;

// Parses `text` and calls `read_keys` on the result. Returns all faults in the order of their
// lines; empty when the settings are valid.
std::vector<configuration::fault> read_settings_text(std::string_view text,
                                                     const key_reader& read_keys);

// Returns a fault for each key of `root` that isn't in `known_keys`.
std::vector<configuration::fault> unknown_keys(const nlohmann::json& root,
                                               std::span<const std::string_view> known_keys);

// Whether a fault's message may contain the value of its key. Messages are written to logs, so the
// value of a secret must not be part of them.
enum class value_kind { plain, secret };

// Returns the fault for a key whose value is missing or not allowed, with the value that was found.
configuration::fault invalid_value(const nlohmann::json& root, std::string_view name,
                                   std::string_view allowed, value_kind kind = value_kind::plain);

// True for a valid name of an instance or zone: 1 to 64 characters, none of which a log line would
// have to quote.
bool is_name(std::string_view text);

// Requires a minimum length: an attacker who has captured one datagram can find a shorter
// passphrase by brute force.
bool is_passphrase(std::string_view text);

}  // namespace bramleytrack::settings
