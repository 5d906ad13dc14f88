#include "discovery/service_pools.h"

#include <algorithm>

namespace bramleytrack::discovery {
namespace {

std::string_view id_of(const target* subject) {
    return subject->entry.id;
}

void insert_ordered(std::vector<target*>& targets, target& added) {
    const auto position = std::ranges::lower_bound(targets, id_of(&added), {}, id_of);
    if (position == targets.end() || *position != &added) {
        targets.insert(position, &added);
    }
}

void erase_ordered(std::vector<target*>& targets, const target& removed) {
    const auto position = std::ranges::lower_bound(targets, id_of(&removed), {}, id_of);
    if (position != targets.end() && *position == &removed) {
        targets.erase(position);
    }
}

}  // namespace

void service_pools::rebuild(std::span<const service> services, std::span<target* const> targets) {
    pools_.clear();
    for (const auto& each : services) {
        pools_[each.name].description = each;
    }
    for (auto* each : targets) {
        const auto found = pools_.find(each->entry.service);
        if (found != pools_.end()) {
            found->second.targets.push_back(each);
            found->second.by_zone[each->entry.zone].push_back(each);
        }
    }
}

void service_pools::insert(target& added) {
    const auto found = pools_.find(added.entry.service);
    if (found != pools_.end()) {
        insert_ordered(found->second.targets, added);
        insert_ordered(found->second.by_zone[added.entry.zone], added);
    }
}

void service_pools::erase(const target& removed) {
    const auto found = pools_.find(removed.entry.service);
    if (found == pools_.end()) {
        return;
    }
    erase_ordered(found->second.targets, removed);
    const auto zone = found->second.by_zone.find(removed.entry.zone);
    if (zone == found->second.by_zone.end()) {
        return;
    }
    erase_ordered(zone->second, removed);
    if (zone->second.empty()) {
        found->second.by_zone.erase(zone);
    }
}

const pool* service_pools::find(std::string_view service) const {
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace bramleytrack::discovery
