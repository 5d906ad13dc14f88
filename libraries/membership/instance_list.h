// The platform's lagging list of instances, as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/peer_table.h"

namespace bramleytrack::membership {

struct platform_instance {
    std::string name;
    std::string zone;
    std::string peer_address;
    std::string caller_address;
    std::string admin_address;
    bool is_leaving = false;
};

// Entries that are not whole are left out: the list is a hint, never the truth.
std::vector<platform_instance> parse_instance_list(std::string_view body);

std::vector<listed_instance> to_listed(const std::vector<platform_instance>& list);

}  // namespace bramleytrack::membership
