#include "caller.h"

#include <algorithm>

namespace bramleytrack::standins {
namespace {

using wire::packet_kind;

constexpr double tick_seconds = 0.01;
constexpr clock::duration retransmit_interval{250};
constexpr clock::duration keep_alive_interval{1'000};
// An open flow on which nothing was received for this long counts as broken.
constexpr clock::duration max_silence{6'000};
// By then the observer has read whether the flow's zone was taken out.
constexpr clock::duration classification_delay{2'000};

}  // namespace

caller::caller(ev::loop_ref loop, caller_options options, std::vector<called_service> services)
    : options_{std::move(options)},
      services_{std::move(services)},
      random_{static_cast<std::uint64_t>(options_.seed)},
      endpoint_{loop, "127.0.0.1:0",
                [this](std::string_view, std::span<const std::uint8_t> datagram) {
                    on_datagram(datagram);
                }},
      ticker_{loop} {
    const auto now = clock::now();
    std::uniform_int_distribution<int> spread{0, 1000};
    for (const auto& service : services_) {
        for (const auto& member : options_.members) {
            for (int i = 0; i < options_.flows_per_member; ++i) {
                flow_entry created;
                created.service = &service;
                created.member = member;
                created.state = flow_state::paused;
                created.resume_at = now + clock::duration{spread(random_)};
                flows_.push_back(std::move(created));
            }
        }
    }
    ticker_.set<caller, &caller::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

tally& caller::tally_of(const flow_entry& flow) {
    return tallies_[{flow.service->name, flow.member}];
}

void caller::send(const flow_entry& flow, wire::packet packet) {
    packet.service_address = flow.service->address;
    packet.flow = flow.number;
    packet.member = flow.member;
    endpoint_.send(options_.fabric_address, encoder_.encode(packet));
}

void caller::open(flow_entry& flow, clock::time_point now) {
    wire::packet packet;
    packet.kind = packet_kind::open;
    send(flow, std::move(packet));
    flow.next_packet_at = now + retransmit_interval;
}

void caller::reopen(flow_entry& flow, clock::time_point now, clock::duration pause) {
    index_of_flow_.erase(flow.number);
    flow.state = flow_state::paused;
    flow.resume_at = now + pause;
}

void caller::record_break(flow_entry& flow, clock::time_point now) {
    broken_flows_.push_back({flow.service->name, flow.member, flow.target, now});
    reopen(flow, now, clock::duration{0});
}

void caller::send_request(flow_entry& flow, clock::time_point now) {
    pending_request created;
    auto& packet = created.request;
    packet.kind = packet_kind::request;
    packet.service_address = flow.service->address;
    packet.flow = flow.number;
    packet.member = flow.member;
    packet.request = flow.next_request++;
    packet.may_repeat =
        packet.request % 2 == 0 ? wire::repetition::repeatable : wire::repetition::at_most_once;
    packet.deadline = to_milliseconds(now) + options_.deadline_ms;
    packet.payload = flow.service->name + "/" + flow.member + "/" + std::to_string(flow.number) +
                     "/" + std::to_string(packet.request);
    created.service = flow.service->name;
    created.sent_at = now;
    created.retransmit_at = now + retransmit_interval;
    ++tally_of(flow).requests_sent;
    send(flow, packet);
    pending_requests_[{flow.number, packet.request}] = std::move(created);
    flow.next_request_at = now + clock::duration{options_.request_interval_ms};
}

void caller::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    std::uniform_int_distribution<int> jitter{0, options_.request_interval_ms};
    for (std::size_t i = 0; i < flows_.size(); ++i) {
        auto& flow = flows_[i];
        if (flow.state == flow_state::paused) {
            if (now < flow.resume_at || !is_sending_) {
                continue;
            }
            flow.number = next_flow_number_++;
            index_of_flow_[flow.number] = i;
            flow.state = flow_state::opening;
            flow.last_push = 0;
            flow.next_request = 1;
            flow.next_request_at = now + clock::duration{jitter(random_)};
            open(flow, now);
            continue;
        }
        if (flow.state == flow_state::opening) {
            if (now >= flow.next_packet_at) {
                open(flow, now);
            }
            continue;
        }
        if (now - flow.last_received >= max_silence) {
            record_break(flow, now);
            continue;
        }
        if (now >= flow.next_packet_at) {
            wire::packet packet;
            packet.kind = packet_kind::data;
            send(flow, std::move(packet));
            flow.next_packet_at = now + keep_alive_interval;
        }
        if (is_sending_ && now >= flow.next_request_at) {
            send_request(flow, now);
        }
    }
    retransmit_requests(now);
    classify_broken_flows(now);
}

void caller::classify_broken_flows(clock::time_point now) {
    std::erase_if(broken_flows_, [this, now](const broken_flow& each) {
        if (now - each.broken_at < classification_delay) {
            return false;
        }
        auto& counts = tallies_[{each.service, each.member}];
        const bool is_exempt = is_exempt_ && is_exempt_(each.target, each.broken_at);
        ++(is_exempt ? counts.flows_broken_by_zone : counts.flows_broken);
        return true;
    });
}

void caller::retransmit_requests(clock::time_point now) {
    constexpr clock::duration outcome_grace{2'000};
    for (auto each = pending_requests_.begin(); each != pending_requests_.end();) {
        auto& pending = each->second;
        if (now >= to_time_point(pending.request.deadline) + outcome_grace) {
            ++tallies_[{pending.service, pending.request.member}].no_outcome;
            each = pending_requests_.erase(each);
            continue;
        }
        if (now >= pending.retransmit_at) {
            endpoint_.send(options_.fabric_address, encoder_.encode(pending.request));
            pending.retransmit_at = now + retransmit_interval;
        }
        ++each;
    }
}

void caller::on_datagram(std::span<const std::uint8_t> datagram) {
    const auto now = clock::now();
    const auto decoded = wire::decode_packet(datagram);
    const auto* packet = std::get_if<wire::packet>(&decoded);
    if (packet == nullptr) {
        return;
    }
    const bool is_outcome = packet->request != 0 && (packet->kind == packet_kind::answer ||
                                                     packet->kind == packet_kind::refused ||
                                                     packet->kind == packet_kind::unknown);
    if (is_outcome) {
        on_outcome(*packet, now);
    }
    const auto found = index_of_flow_.find(packet->flow);
    if (found == index_of_flow_.end()) {
        return;
    }
    auto& flow = flows_[found->second];
    flow.last_received = now;
    switch (packet->kind) {
        case packet_kind::open_accepted:
            if (flow.state == flow_state::opening) {
                flow.state = flow_state::open;
                flow.target = packet->payload;
                ++tally_of(flow).flows_opened;
            }
            return;
        case packet_kind::refused:
            if (flow.state == flow_state::opening) {
                ++tally_of(flow).opens_refused;
                reopen(flow, now, clock::duration{packet->come_back_ms});
            }
            return;
        case packet_kind::reset:
            record_break(flow, now);
            return;
        case packet_kind::push: {
            flow.last_push = std::max(flow.last_push, packet->sequence);
            wire::packet reply;
            reply.kind = packet_kind::acknowledge;
            reply.sequence = flow.last_push;
            send(flow, std::move(reply));
            return;
        }
        default:
            return;
    }
}

void caller::on_outcome(const wire::packet& packet, clock::time_point now) {
    const auto found = pending_requests_.find({packet.flow, packet.request});
    if (found == pending_requests_.end()) {
        return;  // a duplicate of an outcome that has been counted
    }
    const auto& pending = found->second;
    auto& counts = tallies_[{pending.service, pending.request.member}];
    if (packet.kind == packet_kind::answer) {
        ++counts.answered;
        counts.latencies_ms.push_back((now - pending.sent_at).count());
        if (packet.payload != "done:" + pending.request.payload) {
            ++counts.wrong_answers;
        }
    } else if (packet.kind == packet_kind::refused) {
        ++counts.not_run;
        if (pending.request.may_repeat == wire::repetition::at_most_once) {
            refused_payloads_.insert(pending.request.payload);
        }
    } else {
        ++counts.unknown;
    }
    pending_requests_.erase(found);
}

}  // namespace bramleytrack::standins
