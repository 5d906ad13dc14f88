#include "flows/location_table.h"

namespace bramleytrack::flows {

std::uint32_t location_table::seconds(clock::time_point time) {
    constexpr std::int64_t milliseconds = 1000;
    return static_cast<std::uint32_t>(to_milliseconds(time) / milliseconds);
}

void location_table::put(routing::flow_key key, std::string_view target, clock::time_point now) {
    const auto next = static_cast<std::uint32_t>(target_names_.size());
    const auto [found, is_new] = target_index_by_name_.try_emplace(std::string{target}, next);
    if (is_new) {
        target_names_.emplace_back(target);
    }
    entries_[key] = {.target = found->second, .last_used = seconds(now)};
}

std::string_view location_table::find(routing::flow_key key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? std::string_view{} : target_names_[found->second.target];
}

void location_table::touch(routing::flow_key key, clock::time_point now) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        found->second.last_used = seconds(now);
    }
}

void location_table::erase_on(std::string_view target) {
    const auto found = target_index_by_name_.find(std::string{target});
    if (found == target_index_by_name_.end()) {
        return;
    }
    std::erase_if(entries_, [index = found->second](const auto& each) {
        return each.second.target == index;
    });
}

void location_table::erase_idle(clock::time_point limit) {
    std::erase_if(entries_, [oldest = seconds(limit)](const auto& each) {
        return each.second.last_used < oldest;
    });
}

}  // namespace bramleytrack::flows
