#pragma once

#include <optional>
#include <string>

namespace bramleytrack {

// The contents of the file; std::nullopt when it can't be opened.
std::optional<std::string> read_file(const std::string& path);

}  // namespace bramleytrack
