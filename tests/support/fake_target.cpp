#include "support/fake_target.h"

#include <algorithm>

namespace bramleytrack::testing {
namespace {

using wire::packet_kind;

wire::packet make_reply(const wire::packet& packet, packet_kind kind) {
    auto result = packet;
    result.kind = kind;
    return result;
}

}  // namespace

std::optional<fake_target::reply> fake_target::receive(const std::string& instance,
                                                       const wire::packet& packet) {
    ++received_;
    if (packet.kind == packet_kind::report_wanted) {
        wire::packet report;
        report.kind = packet_kind::report;
        report.sequence = packet.sequence;
        wire::target_report content;
        content.slots_in_use = static_cast<std::int32_t>(running_.size());
        content.connections = static_cast<std::int32_t>(flows_.size());
        content.is_cold = is_cold_;
        report.__set_report_of_target(content);
        return reply{instance, report};
    }
    if (packet.kind == packet_kind::open) {
        auto& opened = flows_[packet.flow];
        opened.opening = packet;
        opened.instance = instance;
        max_flows_ = std::max(max_flows_, flows_.size());
        return reply{instance, make_reply(packet, packet_kind::open_accepted)};
    }
    const auto found = flows_.find(packet.flow);
    if (found == flows_.end()) {
        return reply{instance, make_reply(packet, packet_kind::reset)};
    }
    found->second.instance = instance;
    const bool is_before_deadline = to_time_point(packet.deadline) > now_;
    if (packet.kind == packet_kind::request && is_before_deadline) {
        ++runs_[{packet.flow, packet.request}];
        running_[{packet.flow, packet.request}] = packet;
        max_running_ = std::max(max_running_, running_.size());
    }
    if (packet.kind == packet_kind::close) {
        flows_.erase(found);
    }
    return std::nullopt;
}

std::optional<fake_target::reply> fake_target::end(std::int64_t flow_number, std::int64_t request,
                                                   packet_kind kind) {
    const auto found = running_.find({flow_number, request});
    const auto opened = flows_.find(flow_number);
    if (found == running_.end() || opened == flows_.end()) {
        return std::nullopt;
    }
    auto content = make_reply(found->second, kind);
    if (kind == packet_kind::shed) {
        --runs_[found->first];
    }
    running_.erase(found);
    return reply{opened->second.instance, std::move(content)};
}

std::optional<fake_target::reply> fake_target::push(std::int64_t flow_number) {
    const auto opened = flows_.find(flow_number);
    if (opened == flows_.end()) {
        return std::nullopt;
    }
    auto content = make_reply(opened->second.opening, packet_kind::push);
    content.sequence = ++opened->second.pushed;
    return reply{opened->second.instance, std::move(content)};
}

void fake_target::set_time(clock::time_point now) {
    now_ = now;
    std::erase_if(running_,
                  [now](const auto& entry) { return to_time_point(entry.second.deadline) <= now; });
}

}  // namespace bramleytrack::testing
