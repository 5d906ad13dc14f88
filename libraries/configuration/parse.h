// Parses and validates the operators' configuration text; reports every error in it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/fault.h"

namespace bramleytrack::configuration {

// Key of the configuration text in the platform's store.
constexpr std::string_view store_key = "bramleytrack/configuration";

using parse_result = std::variant<configuration, std::vector<fault>>;

// A text with any error is rejected as a whole. `version` is the version of the store's key.
parse_result parse_configuration(std::string_view text, std::int64_t version);

}  // namespace bramleytrack::configuration
