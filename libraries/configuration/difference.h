// Differences between two configurations by item name, shown to operators before an apply and after
// a write conflict.
#pragma once

#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace bramleytrack::configuration {

// One line for each item that was added or removed and for each changed property, such as
// "target site-check-01: state active -> draining".
std::vector<std::string> differences(const configuration& before, const configuration& after);

}  // namespace bramleytrack::configuration
