#include "flows/flow_resetter.h"

#include <algorithm>

#include "flows/erase_flow.h"

namespace bramleytrack::flows {
namespace {

constexpr auto reset_ticks = static_cast<std::size_t>(reset_period / tick_interval);

}  // namespace

void flow_resetter::on_tick() {
    if (collected_version_ != shared_.configuration.version) {
        collected_version_ = shared_.configuration.version;
        collect_flows();
    }
    for (std::size_t i = 0; i < resets_per_tick_ && !flows_to_reset_.empty(); ++i) {
        reset_flow(flows_to_reset_.back());
        flows_to_reset_.pop_back();
    }
}

void flow_resetter::collect_flows() {
    flows_to_reset_.clear();
    for (const auto& name : shared_.locations.targets()) {
        const auto* target = shared_.configuration.find_target(name);
        if (target != nullptr && !shared_.configuration.is_zone_in(target->zone)) {
            shared_.locations.erase_on(name);
        }
    }
    for (const auto& [key, each] : shared_.flows.all()) {
        if (reset_reason(each) != result_code::ok) {
            flows_to_reset_.push_back(key);
        }
    }
    // Keys are hashes, so the order is deterministic and mixes callers.
    std::ranges::sort(flows_to_reset_);
    resets_per_tick_ = (flows_to_reset_.size() + reset_ticks - 1) / reset_ticks;
}

result_code flow_resetter::reset_reason(const flow& existing) const {
    const auto* target = shared_.configuration.find_target(existing.record.target);
    if (target == nullptr) {
        return result_code::ok;
    }
    if (!shared_.configuration.is_zone_in(target->zone)) {
        return result_code::zone_out;
    }
    const bool is_moved = target->service != existing.record.service_name;
    return is_moved ? result_code::wrong_service : result_code::ok;
}

void flow_resetter::reset_flow(routing::flow_key key) {
    const auto* existing = shared_.flows.find(key);
    const auto code = existing == nullptr ? result_code::ok : reset_reason(*existing);
    if (code == result_code::ok) {
        return;
    }
    wire::packet original;
    original.service_address = existing->record.service_address;
    original.caller = existing->record.caller;
    original.flow = existing->record.flow;
    original.member = existing->record.member;
    shared_.out.send_caller(reply_to(original, wire::packet_kind::reset, code));
    erase_flow(shared_.flows, shared_.loads, key);
}

}  // namespace bramleytrack::flows
