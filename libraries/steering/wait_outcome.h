// How the wait of an opening for capacity of its service ended.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace bramleytrack::steering {

enum class wait_outcome {
    placed,    // forwarded to a target
    refused,   // evicted from the queue, or no longer allowed by the directory
    expired,   // no capacity became free within the wait that the route's objective allows
    abandoned  // the caller reset or closed the flow
};

constexpr std::size_t wait_outcome_count = 4;

// The name in logs and metrics.
constexpr std::string_view name_of(wait_outcome outcome) {
    constexpr std::array<std::string_view, wait_outcome_count> names{"placed", "refused", "expired",
                                                                     "abandoned"};
    return names.at(static_cast<std::size_t>(outcome));
}

}  // namespace bramleytrack::steering
