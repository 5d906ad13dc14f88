// Patches between two texts: zstd frames compressed with the old text as prefix. A patch against
// the empty text is the compressed text itself, so changes and full transfers use the same format.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleytrack::configuration {

// The store limits values to one megabyte; a longer text could not be read back.
constexpr std::size_t max_text_size = 1'000'000;

// Deterministic. Both texts must be at most max_text_size bytes long.
std::string make_patch(std::string_view base, std::string_view text);

// The text, or nothing if the patch is corrupted or the result would exceed max_text_size. A patch
// for another base may not be detected here: the caller must compare the digest of the result.
std::optional<std::string> apply_patch(std::string_view base, std::string_view patch);

}  // namespace bramleytrack::configuration
