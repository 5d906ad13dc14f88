#include "outbox/outbox.h"

namespace bramleytrack {

// Failure: any path to a target that wasn't taught about zones, such as a load report or a repeated
// probe, keeps sending to a zone that operators have taken out. This is the last line before the
// target, so none can.
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

void outbox::refuse(const wire::packet& subject, result_code code, clock::duration retry_after) {
    auto reply = reply_to(subject, wire::packet_kind::refused, code);
    reply.come_back_ms = static_cast<std::int32_t>(retry_after.count());
    send_caller(std::move(reply));
}

void outbox::answer_unknown(const wire::packet& subject, result_code code) {
    send_caller(reply_to(subject, wire::packet_kind::unknown, code));
}

void outbox::drop(const wire::packet& subject, result_code code) {
    ++counts_.dropped;
    log(log_event{"dropped"}
            .with("code", name_of(code))
            .with("service_address", subject.service_address)
            .with("caller", subject.caller)
            .with("flow", subject.flow));
}

wire::packet reply_to(const wire::packet& subject, wire::packet_kind kind, result_code code) {
    wire::packet reply;
    reply.kind = kind;
    reply.service_address = subject.service_address;
    reply.caller = subject.caller;
    reply.flow = subject.flow;
    reply.member = subject.member;
    reply.request = subject.request;
    reply.may_repeat = subject.may_repeat;
    reply.code = static_cast<std::int32_t>(code);
    return reply;
}

}  // namespace bramleytrack
