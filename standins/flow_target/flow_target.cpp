#include "flow_target/flow_target.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace bramleytrack::standins {
namespace {

constexpr double heartbeat_seconds = 0.4;
constexpr double worker_interval_seconds = 0.005;
constexpr clock::duration http_limit{500};
// Instances must have stopped opening flows at a draining target by then.
constexpr clock::duration max_drain_delay{3'000};
constexpr std::size_t identity_size = 8;
constexpr int byte_bits = 8;

std::string key_of(const flow_packet& packet) {
    return format_address(packet.source, packet.source_port) + ">" +
           format_address(packet.destination, packet.destination_port);
}

flow_packet reply_to(const flow_packet& packet) {
    flow_packet reply;
    reply.source = packet.destination;
    reply.source_port = packet.destination_port;
    reply.destination = packet.source;
    reply.destination_port = packet.source_port;
    return reply;
}

std::uint64_t identity_of(const std::string& id) {
    constexpr int hexadecimal = 16;
    std::uint64_t result = 0;
    const auto digits = id.substr(id.rfind('-') + 1);
    (void)std::from_chars(digits.data(), digits.data() + digits.size(), result, hexadecimal);
    return result;
}

}  // namespace

flow_target::flow_target(ev::loop_ref loop, flow_target_options options)
    : options_{std::move(options)},
      loop_{loop},
      identity_{identity_of(options_.id)},
      packets_{loop, options_.address,
               [this](std::string_view, std::span<const std::uint8_t> datagram) {
                   on_datagram(datagram);
               }},
      admin_{loop, options_.address,
             [this](const net::http_request& request, const net::http_responder& respond) {
                 serve(request, respond);
             }},
      http_{loop},
      heartbeat_{loop},
      worker_{loop} {
    heartbeat_.set<flow_target, &flow_target::on_tick>(this);
    heartbeat_.start(0, heartbeat_seconds);
    worker_.set<flow_target, &flow_target::on_worker_tick>(this);
    worker_.start(worker_interval_seconds, worker_interval_seconds);
}

std::string flow_target::entry() const {
    // The store ignores heartbeats that do not change the entry, so cold_remaining_ms stays
    // constant while the target is cold: the time as of its start.
    const bool is_cold = cold_time_left(clock::now()) > clock::duration{0};
    return nlohmann::json{
        {"service", options_.service},
        {"address", options_.advertised.empty() ? options_.address : options_.advertised},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", options_.slots},
        {"state", is_draining_ ? "draining" : "ready"},
        {"cold_remaining_ms", is_cold ? options_.cold_ms : 0},
        {"born", to_milliseconds(started_at_)},
        {"seq", is_draining_ ? 2 : 1}}
        .dump();
}

clock::duration flow_target::cold_time_left(clock::time_point now) const {
    return started_at_ + clock::duration{options_.cold_ms} - now;
}

void flow_target::count_opening(clock::time_point now) {
    constexpr clock::duration window{1'000};
    ++opened_;
    opened_while_draining_ += is_draining_ && now - draining_since_ > max_drain_delay ? 1 : 0;
    if (cold_time_left(now) <= clock::duration{0}) {
        return;
    }
    cold_openings_.push_back(now);
    while (now - cold_openings_.front() >= window) {
        cold_openings_.pop_front();
    }
    max_cold_openings_ = std::max(max_cold_openings_, cold_openings_.size());
}

void flow_target::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    http_.put("http://" + options_.store + "/put?key=servers/" + options_.id, entry(), http_limit,
              [](const net::http_result&) {
                  // A lost heartbeat needs no retry: the next one carries the same entry.
              });
}

void flow_target::on_datagram(std::span<const std::uint8_t> datagram) {
    if (datagram.size() < identity_size) {
        return;
    }
    std::uint64_t expected_identity = 0;
    for (std::size_t i = 0; i < identity_size; ++i) {
        expected_identity = (expected_identity << byte_bits) | datagram[i];
    }
    const auto packet = decode(datagram.subspan(identity_size));
    if (!packet || (expected_identity != 0 && expected_identity != identity_)) {
        return;
    }
    const auto key = key_of(*packet);
    if (packet->has(flag_syn)) {
        on_opening(key, *packet);
    } else {
        on_packet(key, *packet);
    }
}

void flow_target::on_opening(const std::string& key, const flow_packet& packet) {
    if (!flows_.contains(key)) {
        count_opening(clock::now());
    }
    auto& flow = flows_[key];
    // Differs between targets: if two accepted copies of an opening, the number that the caller
    // acknowledges shows which target the flow belongs to.
    flow.sequence = static_cast<std::uint32_t>(identity_ << byte_bits);
    flow.initial_sequence = flow.sequence;
    flow.expected = packet.sequence + 1;
    flow.echo = packet.echo;
    send(flow, packet, flag_syn | flag_ack, {});
    ++flow.sequence;
}

void flow_target::on_packet(const std::string& key, const flow_packet& packet) {
    const auto found = flows_.find(key);
    // A flow belongs to the target whose initial sequence number the caller acknowledges; another
    // target that accepted a copy of the opening does not hold it.
    const bool is_held =
        found != flows_.end() &&
        (found->second.is_open || packet.acknowledged == found->second.initial_sequence + 1);
    if (!is_held) {
        reply_reset(packet);
        return;
    }
    auto& flow = found->second;
    flow.is_open = true;
    flow.echo = packet.echo;
    newest_packets_[key] = packet;
    if (packet.has(flag_fin) || packet.has(flag_rst)) {
        flows_.erase(found);
        newest_packets_.erase(key);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence != flow.expected) {
        transmit(flow.last_sent);  // a retransmission: the caller has no answer yet
        return;
    }
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    send(flow, packet, flag_ack, {});
    queue_.push_back({.flow_key = key, .request = packet.data});
}

void flow_target::on_worker_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!running_.empty() && running_.front().first <= now) {
        const auto done = running_.front().second;
        running_.pop_front();
        const auto found = flows_.find(done.flow_key);
        if (found != flows_.end()) {
            const auto id = done.request.substr(0, done.request.find(' '));
            auto& flow = found->second;
            const auto answer = id + " " + options_.id;
            // A draining target closes each flow with its next answer.
            const auto flags =
                static_cast<std::uint8_t>(is_draining_ ? flag_ack | flag_fin : flag_ack);
            send(flow, newest_packets_[done.flow_key], flags, answer);
            flow.sequence += static_cast<std::uint32_t>(answer.size());
        }
    }
    while (!queue_.empty() && running_.size() < static_cast<std::size_t>(options_.slots)) {
        ++runs_[queue_.front().request];
        running_.emplace_back(now + clock::duration{options_.service_ms}, queue_.front());
        queue_.pop_front();
    }
}

void flow_target::send(flow_state& flow, const flow_packet& to, std::uint8_t flags,
                       std::string data) {
    auto packet = reply_to(to);
    packet.echo = flow.echo;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.expected;
    packet.flags = flags;
    packet.data = std::move(data);
    flow.last_sent = packet;
    transmit(packet);
}

void flow_target::reply_reset(const flow_packet& to) {
    auto packet = reply_to(to);
    packet.sequence = to.acknowledged;
    packet.flags = flag_rst;
    transmit(packet);
}

void flow_target::transmit(const flow_packet& packet) {
    packets_.send(
        format_address(packet.destination, static_cast<std::uint16_t>(options_.caller_port)),
        encode(packet));
}

void flow_target::serve(const net::http_request& request, const net::http_responder& respond) {
    if (request.path == "/end") {
        loop_.break_loop(ev::ALL);
        return;
    }
    if (request.path == "/drain") {
        is_draining_ = true;
        draining_since_ = clock::now();
        respond({.status = 200, .body = "{}"});
        return;
    }
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [id, count] : runs_) {
        runs[id] = count;
    }
    respond({.status = 200,
             .body = nlohmann::json{{"runs", runs},
                                    {"opened", opened_},
                                    {"opened_while_draining", opened_while_draining_},
                                    {"most_cold_openings", max_cold_openings_}}
                         .dump()});
}

}  // namespace bramleytrack::standins
