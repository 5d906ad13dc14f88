#include "flow_caller/flow_caller.h"

#include <arpa/inet.h>

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::standins {
namespace {

constexpr double tick_seconds = 0.01;
constexpr clock::duration first_copy{200};
constexpr clock::duration second_copy{600};
constexpr clock::duration opening_limit{1'400};
constexpr clock::duration first_repeat{200};
constexpr clock::duration longest_repeat{1'600};
constexpr clock::duration deadline{3'000};
constexpr int most_requests = 40;
constexpr int shortest_pause_ms = 40;
constexpr int longest_pause_ms = 300;
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
      own_address_{host_of(options_.address)},
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
        auto& [port, subject] = *each;
        if (subject.at == step::idle && now >= subject.idle_until) {
            begin_request(port, subject, now);
        }
        const bool is_over = (subject.at == step::idle && subject.requests_left == 0) ||
                             is_given_up(port, subject, now);
        each = is_over ? flows_.erase(each) : std::next(each);
    }
    if (!is_stopping_ && flows_.size() < static_cast<std::size_t>(options_.flows)) {
        open_one(now);
    }
}

void flow_caller::open_one(clock::time_point now) {
    std::uniform_int_distribution<std::size_t> pick{0, options_.routes.size() - 1};
    std::uniform_int_distribution<int> requests{1, most_requests};
    const auto port = next_port_++;
    auto& subject = flows_[port];
    subject.route = &options_.routes[pick(random_)];
    subject.sequence = first_sequence;
    subject.requests_left = requests(random_);
    subject.started = now;
    send(port, subject, flag_syn, {});
    ++subject.sequence;
}

void flow_caller::begin_request(std::uint16_t port, flow& subject, clock::time_point now) {
    if (is_stopping_ || subject.requests_left == 0) {
        subject.requests_left = 0;
        send(port, subject, flag_ack | flag_fin, {});
        return;
    }
    --subject.requests_left;
    ++tally_.asked;
    subject.request = std::to_string(++last_request_);
    subject.at = step::waiting;
    subject.started = now;
    subject.repeat_after = first_repeat;
    subject.repeat_at = now + first_repeat;
    const auto data = subject.request + " unsafe";
    send(port, subject, flag_ack, data);
    subject.sequence += static_cast<std::uint32_t>(data.size());
}

bool flow_caller::is_given_up(std::uint16_t port, flow& subject, clock::time_point now) {
    const auto elapsed = now - subject.started;
    if (subject.at == step::opening) {
        const auto due = subject.copies == 0 ? first_copy : second_copy;
        if (elapsed >= opening_limit) {
            ++tally_.not_opened;
            return true;
        }
        if (subject.copies < 2 && elapsed >= due) {
            ++subject.copies;
            auto copy = subject.last_sent;
            copy.acknowledged = static_cast<std::uint32_t>(subject.copies);
            transmit(copy);
        }
        return false;
    }
    if (subject.at != step::waiting) {
        return false;
    }
    if (elapsed >= deadline) {
        ++tally_.late_or_lost;
        return true;
    }
    if (now >= subject.repeat_at) {
        subject.repeat_after = std::min(subject.repeat_after * 2, longest_repeat);
        subject.repeat_at = now + subject.repeat_after;
        auto copy = subject.last_sent;
        copy.echo = subject.echo;
        transmit(copy);
    }
    (void)port;
    return false;
}

void flow_caller::on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram) {
    const auto packet = decode(datagram);
    if (!packet || packet->destination != own_address_) {
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

void flow_caller::on_reset(const flow& subject, const flow_packet& packet,
                           std::string_view sender) {
    if (subject.at == step::opening) {
        ++tally_.refused;
        return;
    }
    const bool is_from_balancer = packet.sum == 0;
    ++(is_from_balancer ? tally_.reset_by_balancer : tally_.reset_by_target)[subject.target];
    tally_.reset_before_any_answer += is_from_balancer && !subject.has_answer ? 1 : 0;
    if (reset_) {
        reset_({.target = subject.target,
                .sender = std::string{sender},
                .is_from_balancer = is_from_balancer,
                .opening_copies = subject.copies,
                .opened_at = subject.opened_at});
    }
}

void flow_caller::on_packet(std::uint16_t port, flow& subject, const flow_packet& packet,
                            std::string_view sender) {
    subject.echo = packet.echo;
    if (packet.has(flag_syn)) {
        if (subject.at == step::opening) {
            ++tally_.opened;
            subject.opened_at = clock::now();
            const auto target = options_.targets.find(std::string{sender});
            subject.target = target == options_.targets.end() ? "" : target->second;
            subject.acknowledged = packet.sequence + 1;
            subject.at = step::idle;
            subject.idle_until = clock::now();
        }
        return;
    }
    if (!packet.data.empty() && subject.at == step::waiting) {
        subject.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
        on_answer(subject, packet);
        send(port, subject, flag_ack, {});
    }
}

void flow_caller::on_answer(flow& subject, const flow_packet& packet) {
    const auto space = packet.data.find(' ');
    const auto id = packet.data.substr(0, space);
    if (id != subject.request) {
        // A repeat of the answer before; it isn't taken for this one.
        return;
    }
    subject.has_answer = true;
    const auto service = options_.services.find(packet.data.substr(space + 1));
    const bool is_right =
        service != options_.services.end() && service->second == subject.route->service;
    tally_.wrong_answers += is_right ? 0 : 1;
    ++tally_.answered;
    const auto now = clock::now();
    tally_.latencies_ms.push_back((now - subject.started).count());
    std::uniform_int_distribution<int> pause{shortest_pause_ms, longest_pause_ms};
    subject.at = step::idle;
    subject.idle_until = now + clock::duration{pause(random_)};
    subject.requests_left = packet.has(flag_fin) ? 0 : subject.requests_left;
}

void flow_caller::send(std::uint16_t port, flow& subject, std::uint8_t flags, std::string data) {
    flow_packet packet;
    packet.source = own_address_;
    packet.source_port = port;
    packet.destination = host_of(subject.route->address);
    packet.destination_port = port_of(subject.route->address);
    packet.echo = subject.echo;
    packet.sequence = subject.sequence;
    packet.acknowledged = subject.acknowledged;
    packet.flags = flags;
    packet.data = std::move(data);
    if (!packet.data.empty() || (flags & flag_syn) != 0) {
        subject.last_sent = packet;
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
