#include "flow_caller/flow_caller.h"

#include <arpa/inet.h>

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::standins {
namespace {

constexpr double tick_seconds = 0.01;
constexpr clock::duration first_opening_retry{200};
constexpr clock::duration second_opening_retry{600};
constexpr clock::duration opening_timeout{1'400};
constexpr clock::duration initial_retransmit_delay{200};
constexpr clock::duration max_retransmit_delay{1'600};
constexpr clock::duration deadline{3'000};
constexpr int max_requests_per_flow = 40;
constexpr int min_pause_ms = 40;
constexpr int max_pause_ms = 300;
constexpr std::uint32_t first_sequence = 1000;

std::uint16_t port_of(const std::string& address) {
    return ntohs(net::parse_address(address)->sin_port);
}

std::uint32_t host_of(const std::string& address) {
    return ntohl(net::parse_address(address)->sin_addr.s_addr);
}

}  // namespace

flow_caller::flow_caller(ev::loop_ref loop, flow_caller_options options,
                         std::vector<router::instance> instances)
    : options_{std::move(options)},
      local_address_{host_of(options_.address)},
      router_{loop, std::move(instances)},
      packets_{loop, options_.address,
               [this](std::string_view sender, std::span<const std::uint8_t> datagram) {
                   on_datagram(sender, datagram);
               }},
      random_{static_cast<std::uint64_t>(options_.seed)},
      ticker_{loop} {
    ticker_.set<flow_caller, &flow_caller::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

void flow_caller::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    for (auto each = flows_.begin(); each != flows_.end();) {
        auto& [port, flow] = *each;
        if (flow.phase == flow_phase::idle && now >= flow.idle_until) {
            begin_request(port, flow, now);
        }
        const bool is_over = (flow.phase == flow_phase::idle && flow.requests_left == 0) ||
                             retransmit_or_give_up(port, flow, now);
        each = is_over ? flows_.erase(each) : std::next(each);
    }
    if (!is_stopping_ && flows_.size() < static_cast<std::size_t>(options_.flows)) {
        open_flow(now);
    }
}

void flow_caller::open_flow(clock::time_point now) {
    std::uniform_int_distribution<std::size_t> pick{0, options_.routes.size() - 1};
    std::uniform_int_distribution<int> requests{1, max_requests_per_flow};
    const auto port = next_port_++;
    auto& flow = flows_[port];
    flow.route = &options_.routes[pick(random_)];
    flow.sequence = first_sequence;
    flow.requests_left = requests(random_);
    flow.started_at = now;
    send(port, flow, flag_syn, {});
    ++flow.sequence;
}

void flow_caller::begin_request(std::uint16_t port, flow_state& flow, clock::time_point now) {
    if (is_stopping_ || flow.requests_left == 0) {
        flow.requests_left = 0;
        send(port, flow, flag_ack | flag_fin, {});
        return;
    }
    --flow.requests_left;
    ++tally_.requests_sent;
    flow.request = std::to_string(++last_request_);
    flow.phase = flow_phase::waiting;
    flow.started_at = now;
    flow.retransmit_delay = initial_retransmit_delay;
    flow.retransmit_at = now + initial_retransmit_delay;
    const auto data = flow.request + " unsafe";
    send(port, flow, flag_ack, data);
    flow.sequence += static_cast<std::uint32_t>(data.size());
}

bool flow_caller::retransmit_or_give_up(std::uint16_t port, flow_state& flow,
                                        clock::time_point now) {
    const auto elapsed = now - flow.started_at;
    if (flow.phase == flow_phase::opening) {
        const auto due =
            flow.opening_retransmissions == 0 ? first_opening_retry : second_opening_retry;
        if (elapsed >= opening_timeout) {
            ++tally_.not_opened;
            return true;
        }
        if (flow.opening_retransmissions < 2 && elapsed >= due) {
            ++flow.opening_retransmissions;
            auto copy = flow.last_sent;
            // By the platform's rule, the acknowledgement field of an opening carries the number of
            // its retransmission.
            copy.acknowledged = static_cast<std::uint32_t>(flow.opening_retransmissions);
            transmit(copy);
        }
        return false;
    }
    if (flow.phase != flow_phase::waiting) {
        return false;
    }
    if (elapsed >= deadline) {
        ++tally_.unanswered;
        return true;
    }
    if (now >= flow.retransmit_at) {
        flow.retransmit_delay = std::min(flow.retransmit_delay * 2, max_retransmit_delay);
        flow.retransmit_at = now + flow.retransmit_delay;
        auto copy = flow.last_sent;
        copy.echo = flow.echo;
        transmit(copy);
    }
    (void)port;
    return false;
}

void flow_caller::on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram) {
    const auto packet = decode(datagram);
    if (!packet || packet->destination != local_address_) {
        return;
    }
    const auto found = flows_.find(packet->destination_port);
    if (found == flows_.end()) {
        return;
    }
    if (packet->has(flag_rst)) {
        on_reset(found->second, *packet, sender);
        flows_.erase(found);
        return;
    }
    on_packet(found->first, found->second, *packet, sender);
}

void flow_caller::on_reset(const flow_state& flow, const flow_packet& packet,
                           std::string_view sender) {
    if (flow.phase == flow_phase::opening) {
        ++tally_.refused;
        return;
    }
    const bool is_from_balancer = packet.checksum == 0;
    ++(is_from_balancer ? tally_.reset_by_balancer : tally_.reset_by_target)[flow.target];
    tally_.reset_before_any_answer += is_from_balancer && !flow.has_answer ? 1 : 0;
    if (reset_callback_) {
        reset_callback_({.target = flow.target,
                         .sender = std::string{sender},
                         .is_from_balancer = is_from_balancer,
                         .opening_retransmissions = flow.opening_retransmissions,
                         .opened_at = flow.opened_at});
    }
}

void flow_caller::on_packet(std::uint16_t port, flow_state& flow, const flow_packet& packet,
                            std::string_view sender) {
    flow.echo = packet.echo;
    if (packet.has(flag_syn)) {
        if (flow.phase == flow_phase::opening) {
            ++tally_.opened;
            flow.opened_at = clock::now();
            const auto target = options_.targets.find(std::string{sender});
            flow.target = target == options_.targets.end() ? "" : target->second;
            flow.acknowledged = packet.sequence + 1;
            flow.phase = flow_phase::idle;
            flow.idle_until = clock::now();
        }
        return;
    }
    if (!packet.data.empty() && flow.phase == flow_phase::waiting) {
        flow.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
        on_answer(flow, packet);
        send(port, flow, flag_ack, {});
    }
}

void flow_caller::on_answer(flow_state& flow, const flow_packet& packet) {
    const auto space = packet.data.find(' ');
    const auto id = packet.data.substr(0, space);
    if (id != flow.request) {
        // Not an answer to the current request, such as a retransmitted answer to an earlier one.
        // Dropped and not counted.
        return;
    }
    flow.has_answer = true;
    const auto service = options_.services.find(packet.data.substr(space + 1));
    const bool is_correct =
        service != options_.services.end() && service->second == flow.route->service;
    tally_.wrong_answers += is_correct ? 0 : 1;
    ++tally_.answered;
    const auto now = clock::now();
    tally_.latencies_ms.push_back((now - flow.started_at).count());
    std::uniform_int_distribution<int> pause{min_pause_ms, max_pause_ms};
    flow.phase = flow_phase::idle;
    flow.idle_until = now + clock::duration{pause(random_)};
    flow.requests_left = packet.has(flag_fin) ? 0 : flow.requests_left;
}

void flow_caller::send(std::uint16_t port, flow_state& flow, std::uint8_t flags, std::string data) {
    flow_packet packet;
    packet.source = local_address_;
    packet.source_port = port;
    packet.destination = host_of(flow.route->address);
    packet.destination_port = port_of(flow.route->address);
    packet.echo = flow.echo;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.flags = flags;
    packet.data = std::move(data);
    if (!packet.data.empty() || (flags & flag_syn) != 0) {
        flow.last_sent = packet;
    }
    transmit(packet);
}

void flow_caller::transmit(const flow_packet& packet) {
    constexpr int port_bits = 16;
    const auto flow_hash =
        hash_of((std::uint64_t{packet.source} << port_bits) | packet.source_port,
                (std::uint64_t{packet.destination} << port_bits) | packet.destination_port);
    const auto to = router_.choose(flow_hash);
    if (!to.empty()) {
        packets_.send(to, encode(packet));
    }
}

}  // namespace bramleytrack::standins
