#include "configuration/json_source_map.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

namespace bramleytrack::configuration {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_depth = 8;
constexpr std::size_t max_message_length = 200;

// Input iterator that also publishes the parser's read position.
class tracking_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    tracking_iterator(const char* position, const char** read_position)
        : position_{position}, read_position_{read_position} {}

    reference operator*() const { return *position_; }
    tracking_iterator& operator++() {
        *read_position_ = ++position_;
        return *this;
    }
    tracking_iterator operator++(int) {
        auto before = *this;
        ++*this;
        return before;
    }
    bool operator==(const tracking_iterator& other) const { return position_ == other.position_; }

private:
    const char* position_;
    const char** read_position_;
};

// Escapes a key as a JSON pointer token (RFC 6901).
std::string escape_key(std::string_view key) {
    std::string result;
    for (const char each : key) {
        if (each == '~' || each == '/') {
            result.append(each == '~' ? "~0" : "~1");
        } else {
            result.push_back(each);
        }
    }
    return result;
}

// Extracts REASON from "[json.exception...] parse error at line 1, column 2: REASON".
std::string reason_of(std::string_view message) {
    const auto column = message.find("column ");
    const auto colon = message.find(": ", column == std::string_view::npos ? 0 : column);
    const auto reason = colon == std::string_view::npos ? message : message.substr(colon + 2);
    return std::string{reason.substr(0, max_message_length)};
}

}  // namespace

class source_map_builder final : public nlohmann::json_sax<json> {
public:
    source_map_builder(json_source_map& source_map, std::string_view text)
        : source_map_{source_map}, read_position_{text.data()}, counted_end_{text.data()} {}

    const char** read_position() { return &read_position_; }

    bool null() override { return begin_value(); }
    bool boolean(bool /*value*/) override { return begin_value(); }
    bool number_integer(number_integer_t /*value*/) override { return begin_value(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return begin_value(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
        return begin_value();
    }
    bool string(string_t& /*value*/) override { return begin_value(); }
    bool binary(binary_t& /*value*/) override { return begin_value(); }
    bool start_object(std::size_t /*elements*/) override { return push(true); }
    bool start_array(std::size_t /*elements*/) override { return push(false); }
    bool end_object() override { return pop(); }
    bool end_array() override { return pop(); }

    bool key(string_t& value) override {
        auto& top = levels_.back();
        path_.resize(top.path_length);
        path_ += "/" + escape_key(value);
        const int line = current_line();
        if (!top.keys.insert(value).second) {
            source_map_.faults_.push_back({line, path_,
                                           "the key is given twice; first on line " +
                                               std::to_string(source_map_.lines_[path_])});
        }
        source_map_.lines_.emplace(path_, line);
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& error) override {
        source_map_.faults_.push_back({current_line(), path_, reason_of(error.what())});
        return false;
    }

private:
    struct level {
        bool is_object = false;
        std::size_t path_length = 0;
        std::size_t next_index = 0;  // of an array
        std::set<std::string> keys = {};
    };

    // The parser has consumed the last character of the value, or one more after a number.
    int current_line() {
        const auto* end = std::max(counted_end_, read_position_ - 1);
        line_ += static_cast<int>(std::count(counted_end_, end, '\n'));
        counted_end_ = end;
        return line_;
    }

    bool begin_value() {
        if (!levels_.empty() && !levels_.back().is_object) {
            auto& top = levels_.back();
            path_.resize(top.path_length);
            path_ += "/" + std::to_string(top.next_index++);
        }
        source_map_.lines_.emplace(path_, current_line());
        return true;
    }

    bool push(bool is_object) {
        begin_value();
        if (levels_.size() == max_depth) {
            source_map_.faults_.push_back({current_line(), path_, "nested too deeply"});
            return false;
        }
        levels_.push_back({.is_object = is_object, .path_length = path_.size()});
        return true;
    }

    bool pop() {
        path_.resize(levels_.back().path_length);
        levels_.pop_back();
        return true;
    }

    json_source_map& source_map_;
    std::vector<level> levels_;
    std::string path_;
    const char* read_position_;
    const char* counted_end_;  // newlines before this position are counted in line_
    int line_ = 1;
};

json_source_map::json_source_map(std::string_view text) {
    source_map_builder reader{*this, text};
    const tracking_iterator begin{text.data(), reader.read_position()};
    const tracking_iterator end{text.data() + text.size(), reader.read_position()};
    is_parsable_ = json::sax_parse(begin, end, &reader, json::input_format_t::json, true, true);
}

int json_source_map::line_of(std::string_view path) const {
    while (true) {
        const auto found = lines_.find(std::string{path});
        if (found != lines_.end()) {
            return found->second;
        }
        if (path.empty()) {
            return 0;
        }
        const auto slash = path.rfind('/');
        path = path.substr(0, slash == std::string_view::npos ? 0 : slash);
    }
}

}  // namespace bramleytrack::configuration
