#include "flow_target/flow_target.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace bramleytrack::standins {
namespace {

constexpr double heartbeat_seconds = 0.4;
constexpr double worker_seconds = 0.005;
constexpr clock::duration http_limit{500};
// Instances must have heard of a drain by then.
constexpr clock::duration drain_bound{3'000};
constexpr std::size_t identity_size = 8;
constexpr int byte_bits = 8;

std::string key_of(const flow_packet& packet) {
    return text_of(packet.source, packet.source_port) + ">" +
           text_of(packet.destination, packet.destination_port);
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
    worker_.set<flow_target, &flow_target::on_work_done>(this);
    worker_.start(worker_seconds, worker_seconds);
}

std::string flow_target::entry() const {
    // Heartbeats that say nothing new leave the entry alone, so the time is that of the start.
    const bool is_cold = cold_for(clock::now()) > clock::duration{0};
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

clock::duration flow_target::cold_for(clock::time_point now) const {
    return started_at_ + clock::duration{options_.cold_ms} - now;
}

void flow_target::count_opening(clock::time_point now) {
    constexpr clock::duration window{1'000};
    ++opened_;
    opened_while_draining_ += is_draining_ && now - draining_since_ > drain_bound ? 1 : 0;
    if (cold_for(now) <= clock::duration{0}) {
        return;
    }
    cold_openings_.push_back(now);
    while (now - cold_openings_.front() >= window) {
        cold_openings_.pop_front();
    }
    most_cold_openings_ = std::max(most_cold_openings_, cold_openings_.size());
}

void flow_target::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    http_.put("http://" + options_.store + "/put?key=servers/" + options_.id, entry(), http_limit,
              [](const net::http_result&) {
                  // The next heartbeat says the same.
              });
}

void flow_target::on_datagram(std::span<const std::uint8_t> datagram) {
    if (datagram.size() < identity_size) {
        return;
    }
    std::uint64_t wanted = 0;
    for (std::size_t i = 0; i < identity_size; ++i) {
        wanted = (wanted << byte_bits) | datagram[i];
    }
    const auto packet = decode(datagram.subspan(identity_size));
    if (!packet || (wanted != 0 && wanted != identity_)) {
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
    auto& subject = flows_[key];
    // Different at each target, so that a packet shows which of two that opened a flow is meant.
    subject.sequence = static_cast<std::uint32_t>(identity_ << byte_bits);
    subject.opened_with = subject.sequence;
    subject.expected = packet.sequence + 1;
    subject.echo = packet.echo;
    send(subject, packet, flag_syn | flag_ack, {});
    ++subject.sequence;
}

void flow_target::on_packet(const std::string& key, const flow_packet& packet) {
    const auto found = flows_.find(key);
    // The flow opened at the target whose number the caller acknowledges; another one that took a
    // copy of the opening doesn't hold it.
    const bool is_held =
        found != flows_.end() &&
        (found->second.is_open || packet.acknowledged == found->second.opened_with + 1);
    if (!is_held) {
        reply_reset(packet);
        return;
    }
    auto& subject = found->second;
    subject.is_open = true;
    subject.echo = packet.echo;
    callers_[key] = packet;
    if (packet.has(flag_fin) || packet.has(flag_rst)) {
        flows_.erase(found);
        callers_.erase(key);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence != subject.expected) {
        transmit(subject.last_sent);  // the caller repeats: it hasn't got the answer
        return;
    }
    subject.expected += static_cast<std::uint32_t>(packet.data.size());
    send(subject, packet, flag_ack, {});
    waiting_.push_back({.flow = key, .request = packet.data});
}

void flow_target::on_work_done(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!running_.empty() && running_.front().first <= now) {
        const auto done = running_.front().second;
        running_.pop_front();
        const auto found = flows_.find(done.flow);
        if (found != flows_.end()) {
            const auto id = done.request.substr(0, done.request.find(' '));
            auto& subject = found->second;
            const auto answer = id + " " + options_.id;
            // A target that drains closes each flow after its next answer.
            const auto flags =
                static_cast<std::uint8_t>(is_draining_ ? flag_ack | flag_fin : flag_ack);
            send(subject, callers_[done.flow], flags, answer);
            subject.sequence += static_cast<std::uint32_t>(answer.size());
        }
    }
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(options_.slots)) {
        ++runs_[waiting_.front().request];
        running_.emplace_back(now + clock::duration{options_.service_ms}, waiting_.front());
        waiting_.pop_front();
    }
}

void flow_target::send(flow& subject, const flow_packet& to, std::uint8_t flags, std::string data) {
    auto packet = reply_to(to);
    packet.echo = subject.echo;
    packet.sequence = subject.sequence;
    packet.acknowledged = subject.expected;
    packet.flags = flags;
    packet.data = std::move(data);
    subject.last_sent = packet;
    transmit(packet);
}

void flow_target::reply_reset(const flow_packet& to) {
    auto packet = reply_to(to);
    packet.sequence = to.acknowledged;
    packet.flags = flag_rst;
    transmit(packet);
}

void flow_target::transmit(const flow_packet& packet) {
    packets_.send(text_of(packet.destination, static_cast<std::uint16_t>(options_.caller_port)),
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
                                    {"most_cold_openings", most_cold_openings_}}
                         .dump()});
}

}  // namespace bramleytrack::standins
