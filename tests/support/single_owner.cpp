#include "support/single_owner.h"

#include <algorithm>

namespace bramleytrack::testing {
namespace {

using wire::packet_kind;

std::string configuration_with(int slots) {
    return R"({"zones":[{"name":"north","state":"in"}],
        "services":[{"name":"board","address":"10.0.0.1:443","depends_on":[]}],
        "targets":[{"name":"board-1","zone":"north","service":"board","address":"10.0.1.1:8443",
                    "state":"active","connections":1000,"slots":)" +
           std::to_string(slots) + R"(}],"instances":[]})";
}

bool is_outcome(packet_kind kind) {
    return kind == packet_kind::answer || kind == packet_kind::refused ||
           kind == packet_kind::unknown;
}

}  // namespace

single_owner::single_owner(int slots)
    : core_{identity{
          .name = "a", .zone = "north", .peer_address = "a", .incarnation = 1, .started = now_}} {
    core_.on_configuration(configuration_with(slots), 1, now_);
    advance(2000);
}

void single_owner::advance_past_takeover() {
    advance(11'000);
}

void single_owner::advance(std::int64_t milliseconds) {
    const auto end = now_ + clock::duration{milliseconds};
    while (now_ < end) {
        now_ += std::min(tick_interval, end - now_);
        core_.on_tick(now_);
        collect();
    }
}

void single_owner::open(std::int64_t flow) {
    core_.on_caller_packet(packet_of(packet_kind::open, flow), now_);
    collect();
}

void single_owner::close(std::int64_t flow) {
    core_.on_caller_packet(packet_of(packet_kind::close, flow), now_);
    collect();
}

void single_owner::request(std::int64_t flow, std::int64_t number, wire::repetition may_repeat,
                           const std::string& payload, std::int64_t deadline_ms) {
    auto packet = packet_of(packet_kind::request, flow);
    packet.request = number;
    packet.may_repeat = may_repeat;
    packet.payload = payload;
    packet.deadline = to_milliseconds(now_) + deadline_ms;
    core_.on_caller_packet(packet, now_);
    collect();
}

void single_owner::cancel(std::int64_t flow, std::int64_t number) {
    auto packet = packet_of(packet_kind::cancel, flow);
    packet.request = number;
    core_.on_caller_packet(packet, now_);
    collect();
}

void single_owner::reply_from_target(packet_kind kind, const wire::packet& packet) {
    auto reply = packet;
    reply.kind = kind;
    reply.payload = kind == packet_kind::answer ? "done" : "";
    send_from_target(reply);
}

void single_owner::report(int slots_in_use, clock::time_point requested_at) {
    wire::packet packet;
    packet.kind = packet_kind::report;
    packet.sequence = to_milliseconds(requested_at);
    wire::target_report content;
    content.slots_in_use = slots_in_use;
    packet.__set_report_of_target(content);
    send_from_target(packet);
}

void single_owner::send_from_target(const wire::packet& content) {
    core_.on_target_packet("10.0.1.1:8443", content, now_);
    collect();
}

std::optional<wire::packet> single_owner::last_to_target(packet_kind kind) const {
    const auto found =
        std::ranges::find(to_target_.rbegin(), to_target_.rend(), kind, &wire::packet::kind);
    if (found != to_target_.rend()) {
        return *found;
    }
    return std::nullopt;
}

int single_owner::dispatches(std::int64_t flow, std::int64_t number) const {
    return static_cast<int>(std::ranges::count_if(to_target_, [&](const wire::packet& each) {
        return each.kind == packet_kind::request && each.flow == flow && each.request == number;
    }));
}

std::vector<packet_kind> single_owner::outcomes(std::int64_t flow, std::int64_t number) const {
    std::vector<packet_kind> result;
    for (const auto& each : to_caller_) {
        if (each.flow == flow && each.request == number && is_outcome(each.kind)) {
            result.push_back(each.kind);
        }
    }
    return result;
}

wire::packet single_owner::packet_of(packet_kind kind, std::int64_t flow) const {
    wire::packet packet;
    packet.kind = kind;
    packet.service_address = "10.0.0.1:443";
    packet.caller = "caller";
    packet.flow = flow;
    packet.member = "m";
    return packet;
}

void single_owner::collect() {
    for (auto actions = core_.take_actions(); !actions.empty(); actions = core_.take_actions()) {
        for (auto& each : actions) {
            if (auto* to_caller = std::get_if<send_to_caller>(&each)) {
                to_caller_.push_back(std::move(to_caller->content));
            } else if (const auto* to_target = std::get_if<send_to_target>(&each)) {
                to_target_.push_back(to_target->content);
                reply_immediately(to_target->content);
            }
        }
    }
}

void single_owner::reply_immediately(const wire::packet& sent) {
    auto reply = sent;
    if (sent.kind == packet_kind::open) {
        flows_at_target_.insert(sent.flow);
        reply.kind = packet_kind::open_accepted;
    } else if (sent.kind == packet_kind::acknowledge && !flows_at_target_.contains(sent.flow)) {
        reply.kind = packet_kind::reset;
    } else {
        return;
    }
    core_.on_target_packet("10.0.1.1:8443", reply, now_);
}

}  // namespace bramleytrack::testing
