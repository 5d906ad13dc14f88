#include "load/demand.h"

namespace bramleytrack::load {
namespace {

constexpr std::size_t max_members = 256;

}  // namespace

void demand::record(std::string_view member, double cost, clock::time_point now) {
    auto found = by_member_.find(member);
    if (found == by_member_.end()) {
        if (by_member_.size() >= max_members) {
            return;
        }
        found = by_member_.try_emplace(std::string{member}).first;
    }
    found->second.add(cost, now);
}

double demand::rate(std::string_view member, clock::time_point now) const {
    const auto found = by_member_.find(member);
    return found == by_member_.end() ? 0 : found->second.rate(now);
}

}  // namespace bramleytrack::load
