#include "fleet_store_model.h"

#include <algorithm>
#include <charconv>

namespace bramleytrack::experiments {
namespace {

constexpr std::string_view registration_prefix = "instances/";

std::string key_of(std::size_t index) {
    constexpr std::size_t digits = 8;
    const auto number = std::to_string(index);
    return "targets/" + std::string(digits - number.size(), '0') + number;
}

std::size_t number_in(std::string_view text) {
    std::size_t number = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}  // namespace

std::string shard_prefix(std::size_t shard) {
    return std::string{registration_prefix} + std::to_string(shard) + "/";
}

fleet_store_model::fleet_store_model(std::size_t entries, const fleet_store_limits& limits)
    : limits_{limits} {
    const auto groups = (entries + limits_.group_size - 1) / limits_.group_size;
    for (std::size_t i = 0; i < groups; ++i) {
        items_.push_back(
            {.key = key_of(i), .value = "target", .revision = static_cast<std::int64_t>(i) + 1});
    }
}

void fleet_store_model::add_registration(const discovery::peer_entry& added) {
    const auto shard = discovery::peer_shard(added.name);
    registrations_[shard].push_back({.key = shard_prefix(shard) + added.name,
                                     .value = std::to_string(peers_.size()),
                                     .revision = 1});
    peers_.push_back(added);
}

store::page fleet_store_model::read_page(std::string_view prefix, std::string_view after_key) {
    ++calls_;
    if (!prefix.empty()) {
        return {.items = registrations_[number_in(prefix.substr(registration_prefix.size()))],
                .has_more = false,
                .revision = revision()};
    }
    const auto page_size = std::max<std::size_t>(1, limits_.entries_per_page / limits_.group_size);
    const auto first = std::ranges::upper_bound(items_, after_key, {}, &store::item::key);
    const auto rest = static_cast<std::size_t>(items_.end() - first);
    const auto last = first + static_cast<std::ptrdiff_t>(std::min(page_size, rest));
    return {.items = {first, last}, .has_more = rest > page_size, .revision = revision()};
}

std::int64_t fleet_store_model::entries_of(const store::page& subject) const {
    const bool is_listing =
        !subject.items.empty() && subject.items.front().key.starts_with(registration_prefix);
    return is_listing ? static_cast<std::int64_t>(subject.items.size())
                      : entries_of(subject.items.size());
}

std::int64_t fleet_store_model::bytes_of(const store::page& subject) const {
    const bool is_listing =
        !subject.items.empty() && subject.items.front().key.starts_with(registration_prefix);
    return entries_of(subject) *
           (is_listing ? limits_.bytes_per_registration : limits_.bytes_per_entry);
}

discovery::record fleet_store_model::read(std::string_view key, std::string_view value) const {
    if (!key.starts_with(registration_prefix)) {
        return discovery::unrelated{};
    }
    return peers_[number_in(value)];
}

discovery::record fleet_store_model::read_removal(std::string_view /*key*/) const {
    return discovery::unrelated{};
}

}  // namespace bramleytrack::experiments
