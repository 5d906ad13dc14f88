#include "membership/instance_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bramleytrack::membership {

std::vector<platform_instance> parse_instance_list(std::string_view body) {
    using json = nlohmann::json;
    std::vector<platform_instance> result;
    const auto root = json::parse(body, nullptr, false);
    if (!root.is_array()) {
        return result;
    }
    const auto string_or_empty = [](const json& item, const char* key) {
        return item.contains(key) && item[key].is_string() ? item[key].get<std::string>()
                                                           : std::string{};
    };
    for (const auto& item : root) {
        if (!item.is_object()) {
            continue;
        }
        platform_instance instance{.name = string_or_empty(item, "name"),
                                   .zone = string_or_empty(item, "zone"),
                                   .peer_address = string_or_empty(item, "peer_address"),
                                   .caller_address = string_or_empty(item, "caller_address"),
                                   .admin_address = string_or_empty(item, "admin_address"),
                                   .is_leaving = string_or_empty(item, "state") == "leaving"};
        if (!instance.name.empty() && !instance.zone.empty() && !instance.peer_address.empty()) {
            result.push_back(std::move(instance));
        }
    }
    return result;
}

std::vector<listed_instance> to_listed(const std::vector<platform_instance>& list) {
    std::vector<listed_instance> result;
    std::ranges::transform(list, std::back_inserter(result), [](const platform_instance& each) {
        return listed_instance{.name = each.name,
                               .zone = each.zone,
                               .address = each.peer_address,
                               .is_leaving = each.is_leaving};
    });
    return result;
}

}  // namespace bramleytrack::membership
