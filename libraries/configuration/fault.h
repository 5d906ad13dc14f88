// An error in a configuration or settings text, with what the operator needs to correct it.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace bramleytrack::configuration {

struct fault {
    int line = 0;         // starts at 1; 0 for the text as a whole
    std::string path;     // JSON pointer (RFC 6901); dotted for a nested setting
    std::string message;  // the value found and what is allowed
};

std::string to_string(const fault& fault);

// "unknown key; did you mean ...?" with the nearest of `allowed_keys` by edit distance, or the
// whole list if none is similar.
std::string unknown_key_message(std::string_view key,
                                std::span<const std::string_view> allowed_keys);

// True for a numeric IPv4 address and a port from 1 to 65535, such as 10.0.0.1:443. Host names are
// not resolved: DNS answers could differ between instances.
bool is_numeric_address(std::string_view text);

}  // namespace bramleytrack::configuration
