// Scans a JSON text with comments for what the document tree doesn't keep: the line of each value,
// duplicate keys in an object, and the position of a syntax error.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/fault.h"

namespace bramleytrack::configuration {

class json_source_map {
public:
    // Stops at the first syntax error, or when the nesting exceeds that of any valid text: the tree
    // parser would allocate memory for each level.
    explicit json_source_map(std::string_view text);

    // True if the text can be parsed into a tree.
    bool is_parsable() const { return is_parsable_; }
    const std::vector<fault>& faults() const { return faults_; }

    // Line of the key (or array element) at this path, otherwise of its nearest recorded ancestor;
    // 0 if there is none.
    int line_of(std::string_view path) const;

private:
    friend class source_map_builder;

    bool is_parsable_ = false;
    std::vector<fault> faults_;
    std::unordered_map<std::string, int> lines_;  // by JSON pointer
};

}  // namespace bramleytrack::configuration
