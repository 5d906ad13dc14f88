#include "fleet_store_model.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace bramleytrack::experiments {
namespace {

std::string key_of(std::size_t index) {
    constexpr std::size_t digits = 8;
    const auto number = std::to_string(index);
    return "targets/" + std::string(digits - number.size(), '0') + number;
}

}  // namespace

fleet_store_model::fleet_store_model(std::size_t entries, const fleet_store_limits& limits)
    : limits_{limits} {
    const auto groups = (entries + limits_.group_size - 1) / limits_.group_size;
    for (std::size_t i = 0; i < groups; ++i) {
        items_.push_back(
            {.key = key_of(i), .value = "target", .revision = static_cast<std::int64_t>(i) + 1});
    }
}

store::page fleet_store_model::read_page(std::string_view after_key) {
    ++calls_;
    const auto page_size = std::max<std::size_t>(1, limits_.entries_per_page / limits_.group_size);
    const auto first = std::ranges::upper_bound(items_, after_key, {}, &store::item::key);
    const auto rest = static_cast<std::size_t>(items_.end() - first);
    const auto last = first + static_cast<std::ptrdiff_t>(std::min(page_size, rest));
    return {.items = {first, last}, .has_more = rest > page_size, .revision = revision()};
}

std::int64_t fleet_store_model::bytes_of(const store::page& subject) const {
    return entries_of(subject.items.size()) * limits_.bytes_per_entry;
}

}  // namespace bramleytrack::experiments
