#include "steering/reported_holders.h"

namespace bramleytrack::steering {

void reported_holders::add(const held_flow& report, clock::time_point now) {
    if (flows_.size() < limits_.max_flows || flows_.contains(report.flow)) {
        flows_[report.flow] = {.report = report, .received_at = now};
    }
}

std::optional<routing_token> reported_holders::find(const segment& packet) const {
    const auto found = flows_.find(packet.flow);
    const bool is_known = found != flows_.end() && found->second.report.includes(packet);
    return is_known ? std::optional{found->second.report.holder} : std::nullopt;
}

bool reported_holders::take(const segment& packet) {
    const bool is_holder = find(packet) == packet.token;
    flows_.erase(packet.flow);
    return is_holder;
}

void reported_holders::expire(clock::time_point now) {
    std::erase_if(flows_, [this, now](const auto& each) {
        return now - each.second.received_at > limits_.lifetime;
    });
}

}  // namespace bramleytrack::steering
