// Change log of a configuration text: its most recent changes as comment lines at the end of the
// text, newest last.
//
// When the reply to a compare-and-swap is lost and another operator has written since, the version
// alone doesn't show whether the first write took effect; its entry in the log does. The log also
// lists the changes that a local file lacks when it is older than the text in the store.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bramleytrack::configuration {

struct change_log_entry {
    std::string id;           // unique for each attempt of an operator; without spaces
    std::string description;  // the operator's command, one line

    bool operator==(const change_log_entry&) const = default;
};

constexpr std::size_t max_change_log_entries = 16;

std::vector<change_log_entry> change_log_of(std::string_view text);
std::string without_change_log(std::string_view text);

// Replaces the change log of `text` by that of `previous` with `newest` appended.
std::string with_change_log(std::string_view text, std::string_view previous,
                            const change_log_entry& newest);

// Entries of `after` that follow the newest entry of `before`. All entries of `after` if they
// lack that entry, since more than max_change_log_entries changes may lie between them.
std::vector<change_log_entry> changes_between(std::string_view before, std::string_view after);

enum class write_outcome {
    not_written,               // the text is still the one that was to be replaced
    took_effect,               // and is in the store now
    took_effect_and_replaced,  // others have written after it
    // The log has no entry of this write: another write replaced the expected version first, or
    // at least max_change_log_entries writes have followed this one.
    conflict,
};

// Outcome of a write with the entry `id` that was to replace version `expected`, if the store
// now holds `text` under `version`.
write_outcome outcome_of_write(std::string_view text, std::int64_t version, std::int64_t expected,
                               std::string_view id);

}  // namespace bramleytrack::configuration
