#include "load/placement.h"

#include <utility>

namespace bramleytrack::load {

std::vector<std::size_t> order_candidates(std::span<const candidate> candidates, double threshold) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].is_eligible) {
            order.push_back(i);
        }
    }
    const bool is_second_better =
        order.size() > 1 &&
        candidates[order[1]].relative_load < candidates[order[0]].relative_load * (1 - threshold);
    if (is_second_better) {
        std::swap(order[0], order[1]);
    }
    return order;
}

void unreported_placements::record_placement(std::string_view target) {
    const auto found = placed_.find(target);
    if (found == placed_.end()) {
        placed_.emplace(target, 1);
    } else {
        ++found->second;
    }
}

void unreported_placements::reset_on_report(std::string_view target) {
    const auto found = placed_.find(target);
    if (found != placed_.end()) {
        placed_.erase(found);
    }
}

int unreported_placements::placed_since_report(std::string_view target) const {
    const auto found = placed_.find(target);
    return found == placed_.end() ? 0 : found->second;
}

}  // namespace bramleytrack::load
