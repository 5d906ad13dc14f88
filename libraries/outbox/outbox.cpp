#include "outbox/outbox.h"

namespace bramleytrack {

// Checks the zone here, in the only way to a target, because a sender that doesn't check it, such
// as a load report query or a repeated probe, would keep sending to a zone that operators have
// taken out.
void outbox::send_target(const configuration::target& target, wire::packet content) {
    if (!configuration_.is_zone_in(target.zone)) {
        ++counts_.withheld;
        return;
    }
    actions_.emplace_back(send_to_target{target.address, std::move(content)});
}

bool outbox::send_peer(std::string_view name, wire::peer_message content) {
    const auto* peer = peers_.find(name);
    if (peer == nullptr || peer->address.empty()) {
        return false;
    }
    content.sender = self_.name;
    content.incarnation = self_.incarnation;
    actions_.emplace_back(send_to_peer{peer->name, peer->address, std::move(content)});
    return true;
}

void outbox::refuse(const wire::packet& packet, result_code code, clock::duration retry_after) {
    auto reply = reply_to(packet, wire::packet_kind::refused, code);
    reply.come_back_ms = static_cast<std::int32_t>(retry_after.count());
    send_caller(std::move(reply));
}

void outbox::answer_unknown(const wire::packet& packet, result_code code) {
    send_caller(reply_to(packet, wire::packet_kind::unknown, code));
}

void outbox::drop(const wire::packet& packet, result_code code) {
    ++counts_.dropped;
    log(log_event{"dropped"}
            .with("code", name_of(code))
            .with("service_address", packet.service_address)
            .with("caller", packet.caller)
            .with("flow", packet.flow));
}

wire::packet reply_to(const wire::packet& packet, wire::packet_kind kind, result_code code) {
    wire::packet reply;
    reply.kind = kind;
    reply.service_address = packet.service_address;
    reply.caller = packet.caller;
    reply.flow = packet.flow;
    reply.member = packet.member;
    reply.request = packet.request;
    reply.may_repeat = packet.may_repeat;
    reply.code = static_cast<std::int32_t>(code);
    return reply;
}

}  // namespace bramleytrack
