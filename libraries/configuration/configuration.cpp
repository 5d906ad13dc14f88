#include "configuration/configuration.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace bramleytrack::configuration {

std::string_view to_string(zone_state state) {
    return state == zone_state::in ? "in" : "out";
}

std::string_view to_string(target_state state) {
    return state == target_state::active ? "active" : "draining";
}

std::string_view to_string(instance_state state) {
    return state == instance_state::active ? "active" : "retired";
}

const service* configuration::find_service(std::string_view name) const {
    return services_by_name_.find(services, name, &service::name);
}

const service* configuration::find_service_by_address(std::string_view address) const {
    return services_by_address_.find(services, address, &service::address);
}

const target* configuration::find_target(std::string_view name) const {
    return targets_by_name_.find(targets, name, &target::name);
}

const target* configuration::find_target_by_address(std::string_view address) const {
    return targets_by_address_.find(targets, address, &target::address);
}

const zone* configuration::find_zone(std::string_view name) const {
    return zones_by_name_.find(zones, name, &zone::name);
}

bool configuration::is_zone_in(std::string_view name) const {
    const auto* found = find_zone(name);
    return found != nullptr && found->state == zone_state::in;
}

bool configuration::is_retired(std::string_view instance) const {
    const auto* found = instances_by_name_.find(instances, instance, &instance_entry::name);
    return found != nullptr && found->state == instance_state::retired;
}

std::span<const scored_target> configuration::scored_targets_of(std::string_view service) const {
    const auto* found = find_service(service);
    if (found == nullptr) {
        return {};
    }
    const auto position = static_cast<std::size_t>(found - services.data());
    const std::size_t begin = position == 0 ? 0 : scored_group_ends_[position - 1];
    const std::size_t end = scored_group_ends_[position];
    return std::span{scored_targets_}.subspan(begin, end - begin);
}

void configuration::retain_removed_targets(const configuration& before) {
    constexpr std::size_t max_removed = 256;
    std::vector<target> retained;
    for (const auto& each : before.targets) {
        const bool is_unused =
            find_target(each.name) == nullptr && find_target_by_address(each.address) == nullptr;
        if (is_unused && find_service(each.service) != nullptr && find_zone(each.zone) != nullptr) {
            retained.push_back(each);
            retained.back().state = target_state::removed;
        }
    }
    // `before.targets` ends with the targets that were removed earliest, so these are dropped
    // first.
    retained.resize(std::min(retained.size(), max_removed));
    targets.insert(targets.end(), retained.begin(), retained.end());
    build_indexes();
}

void configuration::build_indexes() {
    services_by_name_.build(services, &service::name);
    services_by_address_.build(services, &service::address);
    targets_by_name_.build(targets, &target::name);
    targets_by_address_.build(targets, &target::address);
    zones_by_name_.build(zones, &zone::name);
    instances_by_name_.build(instances, &instance_entry::name);

    struct grouped_target {
        std::size_t service;
        scored_target entry;
    };
    std::vector<grouped_target> entries;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto* owner = find_service(targets[i].service);
        const bool is_removed = targets[i].state == target_state::removed;
        if (owner != nullptr && !is_removed && is_zone_in(targets[i].zone)) {
            entries.push_back({static_cast<std::size_t>(owner - services.data()),
                               {.name_hash = hash_of(targets[i].name),
                                .weight = targets[i].weight,
                                .position = static_cast<std::uint32_t>(i)}});
        }
    }
    std::ranges::stable_sort(entries, {}, [](const grouped_target& each) {
        return std::tuple{each.service, each.entry.weight};
    });
    scored_targets_.clear();
    scored_group_ends_.assign(services.size(), 0);
    for (const auto& each : entries) {
        scored_targets_.push_back(each.entry);
        ++scored_group_ends_[each.service];
    }
    std::uint32_t end = 0;
    for (auto& each : scored_group_ends_) {
        end += each;
        each = end;
    }
}

}  // namespace bramleytrack::configuration
