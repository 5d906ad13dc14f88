// Generates configuration texts of a given size for tests and benchmarks.
#pragma once

#include <string>

namespace bramleytrack::testing {

struct fleet_size {
    int zones = 1;
    int services = 1;
    int targets = 14;  // assigned to services and zones round-robin
};

std::string fleet_text(const fleet_size& size);

// Address of the service with this index in the text from fleet_text.
std::string service_address(int index);

}  // namespace bramleytrack::testing
