// Baselines that the experiments compare each decision with: the strategy table with the entries of
// one decision replaced by a simple implementation.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "load/strategies.h"

namespace bramleytrack::experiments {

struct baseline {
    std::string_view name;  // of the decision that is replaced
    std::string_view replacement;
    void (*apply)(load::strategies& table);
};

std::span<const baseline> all_baselines();

// The default strategies with the named decisions replaced by their baselines. Throws
// std::invalid_argument for an unknown name.
load::strategies strategies_without(const std::vector<std::string>& names);

}  // namespace bramleytrack::experiments
