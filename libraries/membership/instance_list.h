// Parses the platform's JSON list of instances, which may lag behind the actual state.
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

// Skips entries without a name, zone or peer address: the list is only a hint where instances may
// run, so an incomplete entry is not an error.
std::vector<platform_instance> parse_instance_list(std::string_view body);

std::vector<listed_instance> to_listed(const std::vector<platform_instance>& list);

}  // namespace bramleytrack::membership
