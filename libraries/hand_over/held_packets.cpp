#include "hand_over/held_packets.h"

#include <algorithm>
#include <iterator>

namespace bramleytrack::hand_over {

bool held_packets::hold(std::string_view target, wire::forward forwarded) {
    auto& packets = held_[std::string{target}].forwards;
    if (packets.size() >= max_held_packets) {
        return false;
    }
    packets.push_back(std::move(forwarded));
    return true;
}

bool held_packets::hold(std::string_view target, wire::packet content) {
    auto& packets = held_[std::string{target}].from_targets;
    if (packets.size() >= max_held_packets) {
        return false;
    }
    wire::target_packet held;
    held.target = target;
    held.content = std::move(content);
    packets.push_back(std::move(held));
    return true;
}

void held_packets::release(std::string_view target) {
    const auto found = held_.find(target);
    if (found == held_.end()) {
        return;
    }
    auto& [forwards, from_targets] = found->second;
    std::ranges::move(forwards, std::back_inserter(released_.forwards));
    std::ranges::move(from_targets, std::back_inserter(released_.from_targets));
    held_.erase(found);
}

void held_packets::release_all() {
    while (!held_.empty()) {
        release(std::string{held_.begin()->first});
    }
}

}  // namespace bramleytrack::hand_over
