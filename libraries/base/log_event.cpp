#include "base/log_event.h"

namespace bramleytrack {

log_event& log_event::with(std::string_view key, std::string_view value) {
    line_.append(" ").append(key).append("=");
    const bool needs_quotes =
        value.empty() || value.find_first_of(" \"=\n") != std::string_view::npos;
    if (!needs_quotes) {
        line_.append(value);
        return *this;
    }
    line_.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line_.push_back('\\');
        }
        line_.push_back(character == '\n' ? ' ' : character);
    }
    line_.push_back('"');
    return *this;
}

log_event& log_event::with(std::string_view key, std::int64_t value) {
    return with(key, std::to_string(value));
}

}  // namespace bramleytrack
