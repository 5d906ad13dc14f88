// Turns the operators' text into a configuration, or names every fault in it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/fault.h"

namespace bramleytrack::configuration {

// Where the text stands in the platform's store.
constexpr std::string_view store_key = "bramleytrack/configuration";

using parse_result = std::variant<configuration, std::vector<fault>>;

// A text is accepted whole or not at all. `version` is that of the store's key.
parse_result parse_configuration(std::string_view text, std::int64_t version);

}  // namespace bramleytrack::configuration
