#include "flows/zone_exit.h"

#include <algorithm>

#include "flows/forget_flow.h"

namespace bramleytrack::flows {
namespace {

constexpr auto ticks = static_cast<std::size_t>(exit_time / tick_interval);

}  // namespace

void zone_exit::on_tick() {
    if (version_ != shared_.configuration.version) {
        version_ = shared_.configuration.version;
        collect();
    }
    for (std::size_t i = 0; i < per_tick_ && !ending_.empty(); ++i) {
        end(ending_.back());
        ending_.pop_back();
    }
}

void zone_exit::collect() {
    ending_.clear();
    for (const auto& name : shared_.locations.targets()) {
        const auto* target = shared_.configuration.find_target(name);
        if (target != nullptr && !shared_.configuration.is_zone_in(target->zone)) {
            shared_.locations.erase_on(name);
        }
    }
    for (const auto& [key, each] : shared_.flows.all()) {
        if (reason(each) != result_code::ok) {
            ending_.push_back(key);
        }
    }
    std::ranges::sort(
        ending_);  // keys are hashes: this mixes callers, and is the same on every run
    per_tick_ = (ending_.size() + ticks - 1) / ticks;
}

result_code zone_exit::reason(const flow& subject) const {
    const auto* target = shared_.configuration.find_target(subject.record.target);
    if (target == nullptr) {
        return result_code::ok;
    }
    if (!shared_.configuration.is_zone_in(target->zone)) {
        return result_code::zone_out;
    }
    const bool is_moved = target->service != subject.record.service_name;
    return is_moved ? result_code::wrong_service : result_code::ok;
}

void zone_exit::end(routing::flow_key key) {
    const auto* known = shared_.flows.find(key);
    const auto code = known == nullptr ? result_code::ok : reason(*known);
    if (code == result_code::ok) {
        return;
    }
    wire::packet subject;
    subject.service_address = known->record.service_address;
    subject.caller = known->record.caller;
    subject.flow = known->record.flow;
    subject.member = known->record.member;
    shared_.out.send_caller(reply_to(subject, wire::packet_kind::reset, code));
    forget_flow(shared_.flows, shared_.loads, key);
}

}  // namespace bramleytrack::flows
