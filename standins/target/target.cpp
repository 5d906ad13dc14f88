#include "target.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bramleytrack::standins {
namespace {

using wire::packet_kind;

constexpr double tick_seconds = 0.005;
constexpr clock::duration cold_duration{20'000};
constexpr std::size_t max_unacknowledged = 64;

wire::packet reply_to(const wire::packet& packet, packet_kind kind) {
    auto result = packet;
    result.kind = kind;
    result.payload.clear();
    return result;
}

}  // namespace

target::target(ev::loop_ref loop, target_options options)
    : options_{std::move(options)},
      endpoint_{loop, options_.address,
                [this](std::string_view sender, std::span<const std::uint8_t> datagram) {
                    on_datagram(sender, datagram);
                }},
      admin_{loop, options_.admin_address,
             [this](const net::http_request& request, const net::http_responder& respond) {
                 serve(request, respond);
             }},
      ticker_{loop} {
    ticker_.set<target, &target::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

void target::send(std::string_view address, const wire::packet& packet) {
    endpoint_.send(address, encoder_.encode(packet));
}

void target::on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram) {
    const auto decoded = wire::decode_packet(datagram);
    const auto* packet = std::get_if<wire::packet>(&decoded);
    if (packet == nullptr) {
        return;
    }
    if (packet->kind == packet_kind::report_wanted) {
        report_to(sender, packet->sequence);
        return;
    }
    ++packets_;
    if (packet->kind == packet_kind::open) {
        on_open(sender, *packet);
        return;
    }
    const auto found = flows_.find({packet->caller, packet->flow});
    if (found == flows_.end()) {
        send(sender, reply_to(*packet, packet_kind::reset));
        return;
    }
    auto& flow = found->second;
    if (flow.opening.service_address != packet->service_address) {
        ++misdelivered_;
    }
    flow.return_address = sender;
    switch (packet->kind) {
        case packet_kind::request:
            on_request(sender, *packet);
            return;
        case packet_kind::cancel:
            on_cancel(*packet);
            return;
        case packet_kind::acknowledge:
            std::erase_if(flow.unacknowledged, [&](const wire::packet& each) {
                return each.sequence <= packet->sequence;
            });
            return;
        case packet_kind::close:
            flows_.erase(found);
            return;
        default:
            return;
    }
}

void target::on_open(std::string_view sender, const wire::packet& packet) {
    const flow_id id{packet.caller, packet.flow};
    if (!flows_.contains(id)) {
        const int max_flows = is_cold_ ? options_.cold_connections : options_.connections;
        if (static_cast<int>(flows_.size()) >= max_flows && !is_cold_) {
            ++overloads_;
        }
        flows_[id] = {.opening = packet,
                      .return_address = std::string{sender},
                      .pushed = 0,
                      .unacknowledged = {},
                      .next_push = clock::now()};
        max_connections_ = std::max(max_connections_, static_cast<int>(flows_.size()));
    }
    flows_[id].return_address = sender;
    auto accepted = reply_to(packet, packet_kind::open_accepted);
    accepted.payload = options_.name;
    send(sender, accepted);
}

void target::on_request(std::string_view sender, const wire::packet& packet) {
    const auto now = clock::now();
    if (now >= to_time_point(packet.deadline)) {
        return;
    }
    if (static_cast<int>(running_.size()) >= options_.slots) {
        ++overloads_;
        auto refusal = reply_to(packet, packet_kind::shed);
        refusal.come_back_ms = options_.service_ms;
        send(sender, refusal);
        return;
    }
    if (packet.may_repeat == wire::repetition::at_most_once) {
        ++runs_[packet.payload];
    }
    running_.push_back({packet, now + clock::duration{options_.service_ms}});
}

void target::on_cancel(const wire::packet& packet) {
    const auto matches = [&](const running_request& each) {
        return each.request.caller == packet.caller && each.request.flow == packet.flow &&
               each.request.request == packet.request;
    };
    const auto found = std::ranges::find_if(running_, matches);
    if (found == running_.end()) {
        return;
    }
    answer(*found);
    running_.erase(found);
}

void target::report_to(std::string_view sender, std::int64_t query_id) {
    wire::packet report;
    report.kind = packet_kind::report;
    report.sequence = query_id;
    wire::target_report content;
    content.slots_in_use = static_cast<std::int32_t>(running_.size());
    content.connections = static_cast<std::int32_t>(flows_.size());
    content.is_cold = is_cold_;
    report.__set_report_of_target(content);
    send(sender, report);
}

void target::answer(const running_request& done) {
    auto packet = reply_to(done.request, packet_kind::answer);
    packet.payload = "done:" + done.request.payload;
    const auto found = flows_.find({packet.caller, packet.flow});
    if (found != flows_.end()) {
        send(found->second.return_address, packet);
    }
}

void target::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    is_cold_ = is_cold_ && now < warm_at_;
    std::erase_if(running_, [this, now](const running_request& each) {
        const bool is_expired = now >= to_time_point(each.request.deadline);
        if (!is_expired && now < each.ends_at) {
            return false;
        }
        if (!is_expired) {
            answer(each);
        }
        return true;
    });
    for (auto& [id, each] : flows_) {
        if (now >= each.next_push) {
            push(each, now);
        }
    }
}

void target::push(flow_entry& flow, clock::time_point now) {
    if (options_.push_interval_ms <= 0) {
        return;
    }
    if (flow.unacknowledged.size() < max_unacknowledged) {
        auto packet = reply_to(flow.opening, packet_kind::push);
        packet.sequence = ++flow.pushed;
        flow.unacknowledged.push_back(std::move(packet));
    }
    for (const auto& each : flow.unacknowledged) {
        send(flow.return_address, each);
    }
    flow.next_push = now + clock::duration{options_.push_interval_ms};
}

void target::become_cold() {
    is_cold_ = true;
    warm_at_ = clock::now() + cold_duration;
}

void target::serve(const net::http_request& request, const net::http_responder& respond) {
    if (request.path == "/cold") {
        become_cold();
    }
    nlohmann::json root;
    root["name"] = options_.name;
    root["connections"] = flows_.size();
    root["most_connections"] = max_connections_;
    root["packets"] = packets_;
    root["overloads"] = overloads_;
    root["misdelivered"] = misdelivered_;
    if (request.path == "/runs") {
        root["runs"] = runs_;
    }
    respond({.status = 200, .body = root.dump(), .content_type = "application/json"});
}

}  // namespace bramleytrack::standins
