#include "configuration/change_log.h"

#include <algorithm>

namespace bramleytrack::configuration {
namespace {

constexpr std::string_view entry_prefix = "// bramleyctl change ";

// Calls `visit` for each line of the text, without the newline.
template <typename Visitor>
void for_each_line(std::string_view text, Visitor visit) {
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        visit(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

}  // namespace

std::vector<change_log_entry> change_log_of(std::string_view text) {
    std::vector<change_log_entry> entries;
    for_each_line(text, [&](std::string_view line) {
        if (!line.starts_with(entry_prefix)) {
            return;
        }
        line.remove_prefix(entry_prefix.size());
        const auto space = std::min(line.find(' '), line.size());
        const auto description = line.substr(std::min(space + 1, line.size()));
        entries.push_back({std::string{line.substr(0, space)}, std::string{description}});
    });
    return entries;
}

std::string without_change_log(std::string_view text) {
    std::string result;
    for_each_line(text, [&](std::string_view line) {
        if (!line.starts_with(entry_prefix)) {
            result.append(line).append("\n");
        }
    });
    return result;
}

std::string with_change_log(std::string_view text, std::string_view previous,
                            const change_log_entry& newest) {
    auto entries = change_log_of(previous);
    entries.push_back(newest);
    const auto surplus = entries.size() - std::min(entries.size(), max_change_log_entries);
    auto result = without_change_log(text);
    for (const auto& each : std::span{entries}.subspan(surplus)) {
        auto description = each.description;
        std::ranges::replace(description, '\n', ' ');
        result.append(entry_prefix).append(each.id).append(" ").append(description).append("\n");
    }
    return result;
}

std::vector<change_log_entry> changes_between(std::string_view before, std::string_view after) {
    const auto previous = change_log_of(before);
    auto entries = change_log_of(after);
    if (previous.empty()) {
        return entries;
    }
    const auto common = std::ranges::find(entries, previous.back().id, &change_log_entry::id);
    if (common != entries.end()) {
        entries.erase(entries.begin(), common + 1);
    }
    return entries;
}

write_outcome outcome_of_write(std::string_view text, std::int64_t version, std::int64_t expected,
                               std::string_view id) {
    if (version <= expected) {
        return write_outcome::not_written;
    }
    const auto entries = change_log_of(text);
    const auto own = std::ranges::find(entries, id, &change_log_entry::id);
    if (own == entries.end()) {
        return write_outcome::conflict;
    }
    return own + 1 == entries.end() ? write_outcome::took_effect
                                    : write_outcome::took_effect_and_replaced;
}

}  // namespace bramleytrack::configuration
