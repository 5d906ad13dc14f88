#include "peer_exchange.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "fleet/digest_size.h"

namespace bramleytrack {
namespace {

// Four digests are sent within digest_limits::freshness, after which receivers disregard a peer's
// last digest. For the traffic at this interval see fleet::max_digest_size.
constexpr clock::duration digest_interval{300};
// Slow targets in one digest.
constexpr std::size_t max_slow_targets = 3;
// Peers respond from memory. Waiting longer for the next byte of a response is no better than
// reading the store itself.
constexpr clock::duration pull_timeout{700};
// A peer that has just started requests the changes since the copy that it receives, so the copy
// needn't be of the newest revision. Encoding it for each request would take a sender with ten
// thousand targets 20 ms of a core each time.
constexpr clock::duration max_whole_age{1'000};
// A copy whose last byte arrived within this time is arriving.
constexpr clock::duration max_byte_gap{200};
// Delay after a failed pull, so that an unreachable peer is not queried at each tick.
constexpr clock::duration failed_pull_pause{200};
// Rate limit of pulls, in bytes of uncompressed values. Small instances have 10 Mbit/s for all
// traffic. With this limit, a configuration of 300 KB, which is about 30 KB compressed, is pulled
// at most once a second, however often it changes.
constexpr std::int64_t max_pulled_value_bytes_per_millisecond = 300;
// Limits the pause after a large pull: a change must be in force within 3 s.
constexpr clock::duration max_pull_pause{1'000};
// The flows in one report, so that it fits into a packet of the network.
constexpr std::size_t max_reported_flows = 32;
// Reports go to all peers of the zone, so many of them could fill a small link.
constexpr fleet::transfer_budget_limits flow_holder_limits{.link_fraction = 0.01,
                                                           .max_backlog = clock::duration{1'000}};
constexpr std::string_view changes_path = "/changes";
constexpr std::string_view removed_items_path = "/ended";
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_too_early = 425;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

std::optional<fleet::copy_refusal> refusal_of(int status) {
    switch (status) {
        case http_too_early:
            return fleet::copy_refusal::reading;
        case http_too_many_requests:
            return fleet::copy_refusal::busy;
        case http_unavailable:
            return fleet::copy_refusal::no_state;
        default:
            return std::nullopt;
    }
}

wire::store_record to_wire_record(const store::event& event) {
    wire::store_record result;
    if (const auto* item = std::get_if<store::item>(&event)) {
        result.key = item->key;
        result.value = item->value;
        result.revision = item->revision;
    } else {
        const auto& removal = std::get<store::removal>(event);
        result.key = removal.key;
        result.revision = removal.revision;
        result.is_removed = true;
    }
    return result;
}

wire::held_flow to_wire_flow(const steering::held_flow& flow) {
    wire::held_flow result;
    result.caller_address = static_cast<std::int32_t>(flow.flow.caller.address);
    result.caller_port = flow.flow.caller.port;
    result.route_address = static_cast<std::int32_t>(flow.flow.route.address);
    result.route_port = flow.flow.route.port;
    result.holder = static_cast<std::int32_t>(flow.holder);
    result.acknowledged = static_cast<std::int32_t>(flow.acknowledged);
    result.next_sequence = static_cast<std::int32_t>(flow.next_sequence);
    return result;
}

steering::held_flow from_wire_flow(const wire::held_flow& flow) {
    return {.flow = {.caller = {.address = static_cast<std::uint32_t>(flow.caller_address),
                                .port = static_cast<std::uint16_t>(flow.caller_port)},
                     .route = {.address = static_cast<std::uint32_t>(flow.route_address),
                               .port = static_cast<std::uint16_t>(flow.route_port)}},
            .holder = static_cast<discovery::routing_token>(flow.holder),
            .acknowledged = static_cast<std::uint32_t>(flow.acknowledged),
            .next_sequence = static_cast<std::uint32_t>(flow.next_sequence)};
}

// Returns -1 if `since` is the epoch, which stands for never.
std::int64_t milliseconds_since(clock::time_point since, clock::time_point now) {
    return since == clock::time_point{} ? -1 : (now - since).count();
}

}  // namespace

peer_exchange::peer_exchange(ev::loop_ref loop, const settings::steering_settings& settings,
                             const store::mirror& mirror, fleet::peer_digests& digests,
                             event_log& log)
    : name_{settings.name},
      key_{wire::derive_fleet_key(settings.fleet_passphrase)},
      mirror_{mirror},
      digests_{digests},
      log_{log},
      digest_socket_{loop, settings.peer_address,
                     [this](std::string_view, std::span<const std::uint8_t> datagram) {
                         on_datagram(datagram);
                     }},
      pull_server_{loop, settings.pull_address,
                   [this](const net::http_request& request, const net::http_responder& respond) {
                       handle_pull_request(request, respond);
                   }},
      http_client_{loop},
      whole_budget_{settings.link_mbps},
      flow_holder_budget_{settings.link_mbps, flow_holder_limits},
      incarnation_{to_milliseconds(clock::now())} {}

void peer_exchange::tick(const digest_state& state, const steering::steering& steering,
                         clock::time_point now, const digest_measurements& measurements) {
    const bool is_urgent = state.known_revision > last_sent_state_.known_revision ||
                           (failure_detector_ && failure_detector_->has_unsent_verdicts());
    if (now < next_digest_ && !is_urgent) {
        return;
    }
    next_digest_ = now + digest_interval;
    last_sent_state_ = state;
    wire::digest digest;
    digest.known_revision = state.known_revision;
    digest.confirmed_ms_ago = milliseconds_since(state.confirmed_at, now);
    digest.has_lost_store = state.has_lost_store;
    digest.is_stopping = state.is_stopping;
    if (measurements.usage != nullptr) {
        digest.routes = digests_.route_reports(*measurements.usage, steering.flows(), now);
    }
    digest.demands =
        digests_.demand_reports(steering.demands(), steering.flows(), now, digest.routes);
    std::vector<steering::target_speed_report> slow;
    if (measurements.speeds != nullptr) {
        slow = measurements.speeds->slowest(max_slow_targets, now);
    }
    digest.loads = digests_.load_reports(steering.flows(), slow);
    if (failure_detector_ != nullptr) {
        for (const auto& each : failure_detector_->take_verdicts(now)) {
            auto& report = digest.dead.emplace_back();
            report.token = static_cast<std::int32_t>(each.token);
            report.age_ms = static_cast<std::int32_t>(each.age.count());
        }
    }
    auto message = new_message();
    message.__set_fleet_digest(digest);
    fleet::limit_digest_size(message, encoder_, key_);
    const auto datagram = encoder_.encode(message, key_);
    for (const auto* receiver : digests_.next_receivers()) {
        digest_socket_.send(receiver->address, datagram);
    }
}

wire::peer_message peer_exchange::new_message() const {
    wire::peer_message result;
    result.sender = name_;
    result.incarnation = incarnation_;
    return result;
}

// On the wire, `reach_question` is the request for an indirect probe of a target, and
// `reach_answer` is the result of that probe.
void peer_exchange::send_probe_request(const discovery::peer_entry& peer,
                                       discovery::routing_token token) {
    wire::reach_question request;
    request.token = static_cast<std::int32_t>(token);
    auto message = new_message();
    message.__set_reach_asked(request);
    digest_socket_.send(peer.address, encoder_.encode(message, key_));
}

void peer_exchange::send_probe_result(const discovery::peer_entry& peer,
                                      discovery::routing_token token, bool is_reachable) {
    wire::reach_answer result;
    result.token = static_cast<std::int32_t>(token);
    result.is_reachable = is_reachable;
    auto message = new_message();
    message.__set_reach_answered(result);
    digest_socket_.send(peer.address, encoder_.encode(message, key_));
}

void peer_exchange::send_flow_holders(std::span<const steering::held_flow> flows,
                                      std::span<const discovery::peer_entry* const> peers,
                                      clock::time_point now) {
    while (!flows.empty() && !peers.empty()) {
        const auto part = flows.first(std::min(flows.size(), max_reported_flows));
        flows = flows.subspan(part.size());
        wire::held_flows reports;
        std::ranges::transform(part, std::back_inserter(reports.flows), &to_wire_flow);
        auto message = new_message();
        message.__set_flow_holders(reports);
        const auto datagram = encoder_.encode(message, key_);
        const auto count = static_cast<std::int64_t>(part.size());
        if (!flow_holder_budget_.admits(static_cast<std::int64_t>(datagram.size() * peers.size()),
                                        now)) {
            flow_holders_.dropped += count;
            continue;
        }
        flow_holders_.sent += count;
        for (const auto* peer : peers) {
            digest_socket_.send(peer->address, datagram);
        }
    }
}

void peer_exchange::on_reported_holders(std::span<const wire::held_flow> reports,
                                        clock::time_point now) {
    std::vector<steering::held_flow> flows;
    std::ranges::transform(reports, std::back_inserter(flows), &from_wire_flow);
    if (flow_holders_callback_) {
        flow_holders_callback_(flows, now);
    }
}

void peer_exchange::on_datagram(std::span<const std::uint8_t> datagram) {
    auto decoded = wire::decode_peer_message(datagram, key_);
    auto* message = std::get_if<wire::peer_message>(&decoded);
    if (message == nullptr) {
        ++rejected_messages_;
        return;
    }
    const auto now = clock::now();
    if (message->__isset.fleet_digest) {
        on_peer_digest(message->sender, std::move(message->fleet_digest), now);
    } else if (message->__isset.reach_asked) {
        probe_request_callback_(message->sender,
                                static_cast<discovery::routing_token>(message->reach_asked.token),
                                now);
    } else if (message->__isset.reach_answered) {
        probe_result_callback_(message->sender,
                               static_cast<discovery::routing_token>(message->reach_answered.token),
                               message->reach_answered.is_reachable, now);
    } else if (message->__isset.flow_holders) {
        on_reported_holders(message->flow_holders.flows, now);
    } else {
        ++rejected_messages_;
    }
}

void peer_exchange::on_peer_digest(const std::string& peer, wire::digest content,
                                   clock::time_point now) {
    const bool is_newer = content.known_revision > mirror_.revision();
    const auto dead_targets = std::exchange(content.dead, {});
    const auto slow_targets = fleet::speed_reports_of(content);
    digests_.on_digest(peer, std::move(content), now, now - digest_socket_.last_empty_at());
    if (!dead_targets.empty()) {
        dead_targets_callback_(peer, dead_targets, now);
    }
    if (!slow_targets.empty() && slow_targets_callback_) {
        slow_targets_callback_(peer, slow_targets, now);
    }
    if (is_newer) {
        newer_revision_callback_(now);
    }
}

void peer_exchange::handle_pull_request(const net::http_request& request,
                                        const net::http_responder& respond) {
    const bool is_known_path = request.path == changes_path || request.path == removed_items_path;
    if (!is_known_path) {
        respond({.status = http_not_found, .body = ""});
        return;
    }
    if (mirror_.revision() == 0) {
        const bool is_reading = is_reading_(clock::now());
        respond({.status = is_reading ? http_too_early : http_unavailable, .body = ""});
        return;
    }
    if (request.path == removed_items_path) {
        respond({.status = http_ok,
                 .body = encode_removed_items(),
                 .content_type = "application/octet-stream"});
        return;
    }
    const auto after_text = request.query_or("after", "0");
    std::int64_t after = 0;
    // Stays 0, which requests all items, if the text is not a number.
    (void)std::from_chars(after_text.data(), after_text.data() + after_text.size(), after);
    if (!mirror_.has_changes_since(after)) {
        respond_with_whole(respond);
        return;
    }
    respond({.status = http_ok,
             .body = encode_changes_since(after),
             .content_type = "application/octet-stream"});
}

void peer_exchange::respond_with_whole(const net::http_responder& respond) {
    const auto& encoded = encode_whole();
    const auto size = static_cast<std::int64_t>(encoded.size());
    if (!whole_budget_.admits(size, clock::now())) {
        ++copies_.refused;
        respond({.status = http_too_many_requests, .body = ""});
        return;
    }
    ++copies_.sent;
    copies_.bytes += size;
    respond({.status = http_ok, .body = encoded, .content_type = "application/octet-stream"});
}

const std::string& peer_exchange::encode_whole() {
    const auto now = clock::now();
    if (!whole_.empty() && now - whole_encoded_at_ < max_whole_age) {
        return whole_;
    }
    wire::store_changes response;
    response.revision = mirror_.revision();
    // The copy may be sent until it has reached max_whole_age, so it claims that age now.
    const auto confirmed_at = last_sent_state_.confirmed_at;
    response.confirmed_ms_ago = milliseconds_since(confirmed_at, now + max_whole_age);
    response.is_whole = true;
    for (auto& each : mirror_.items()) {
        response.records.push_back(to_wire_record(std::move(each)));
    }
    whole_ = wire::encode_store_changes(response, key_);
    whole_encoded_at_ = now;
    return whole_;
}

// Peers that fell behind at the same time request the same changes, so the last response is cached.
// The confirmation age in a cached response is the one at the time of encoding.
const std::string& peer_exchange::encode_changes_since(std::int64_t after) {
    const auto now = clock::now();
    const bool is_cached = cached_after_ == after && cached_revision_ == mirror_.revision() &&
                           now - cached_at_ < digest_interval;
    if (is_cached) {
        return cached_changes_;
    }
    wire::store_changes response;
    response.revision = mirror_.revision();
    response.confirmed_ms_ago = milliseconds_since(last_sent_state_.confirmed_at, now);
    for (const auto& each : mirror_.changes_since(after).value_or(std::vector<store::event>{})) {
        response.records.push_back(to_wire_record(each));
    }
    cached_changes_ = wire::encode_store_changes(response, key_);
    cached_after_ = after;
    cached_revision_ = response.revision;
    cached_at_ = now;
    return cached_changes_;
}

std::string peer_exchange::encode_removed_items() const {
    wire::store_changes response;
    response.revision = mirror_.revision();
    for (const auto& each : mirror_.removed_items()) {
        auto& record = response.records.emplace_back();
        record.key = each.last.key;
        record.value = each.last.value;
        record.value_revision = each.last.revision;
        record.revision = each.removal_revision;
        record.is_removed = true;
    }
    return wire::encode_store_changes(response, key_);
}

void peer_exchange::request_removed_items(const fleet::pull_source& from,
                                          removed_items_callback done) {
    http_client_.get(
        "http://" + from.address + std::string{removed_items_path}, pull_timeout,
        [this, peer = from.peer, done = std::move(done)](const net::http_result& response) {
            on_removed_items(peer, response, done);
        });
}

void peer_exchange::on_removed_items(const std::string& peer, const net::http_result& response,
                                     const removed_items_callback& done) {
    const auto now = clock::now();
    const auto decoded =
        response.status == http_ok
            ? wire::decode_store_changes(response.body, key_)
            : std::variant<wire::store_changes, result_code>{result_code::store_unavailable};
    const auto* changes = std::get_if<wire::store_changes>(&decoded);
    std::vector<store::removed_item> removed;
    if (changes != nullptr) {
        for (const auto& each : changes->records) {
            removed.push_back(
                {.last = {.key = each.key, .value = each.value, .revision = each.value_revision},
                 .removal_revision = each.revision});
        }
    }
    log_.write(log_event{"asked_for_ended"}
                   .with("peer", peer)
                   .with("answered", changes == nullptr ? "no" : "yes")
                   .with("records", static_cast<std::int64_t>(removed.size())));
    done(removed, now);
}

void peer_exchange::pull(const fleet::pull_source& from, clock::time_point now) {
    if (is_pulling_ || now < next_pull_) {
        return;
    }
    is_pulling_ = true;
    const auto url = "http://" + from.address + std::string{changes_path} +
                     "?after=" + std::to_string(mirror_.revision());
    http_client_.get(
        url, pull_timeout,
        [this, peer = from.peer, now](const net::http_result& response) {
            on_pull_response(peer, response, now);
        },
        net::timeout_scope::between_bytes);
}

fleet::copy_progress peer_exchange::pull_progress(clock::time_point now) const {
    if (is_pulling_ && now - http_client_.last_received_at() <= max_byte_gap) {
        return fleet::copy_progress::arriving;
    }
    return is_pulling_ || now < next_pull_ ? fleet::copy_progress::requested
                                           : fleet::copy_progress::none;
}

void peer_exchange::on_pull_response(const std::string& peer, const net::http_result& response,
                                     clock::time_point sent_at) {
    const auto now = clock::now();
    is_pulling_ = false;
    if (const auto reason = refusal_of(response.status)) {
        next_pull_ = now;
        pull_refused_callback_(*reason, now);
        return;
    }
    next_pull_ = now + failed_pull_pause;
    if (response.status != http_ok) {
        pull_refused_callback_(fleet::copy_refusal::unreachable, now);
        return;
    }
    const auto decoded = wire::decode_store_changes(response.body, key_);
    const auto* changes = std::get_if<wire::store_changes>(&decoded);
    if (changes == nullptr) {
        ++rejected_messages_;
        return;
    }
    std::int64_t value_bytes = 0;
    for (const auto& each : changes->records) {
        value_bytes += static_cast<std::int64_t>(each.value.size());
    }
    next_pull_ =
        now + std::min(max_pull_pause,
                       clock::duration{value_bytes / max_pulled_value_bytes_per_millisecond});
    pull_result result;
    result.revision = changes->revision;
    result.is_whole = changes->is_whole;
    // The peer computed the age when it encoded the response. Subtracting it from the time at which
    // the request was sent makes up for the transit time. A cached response may have been encoded
    // up to digest_interval before, and the confirmation then looks newer by up to that time.
    result.confirmed_at = changes->confirmed_ms_ago < 0
                              ? clock::time_point{}
                              : sent_at - clock::duration{changes->confirmed_ms_ago};
    for (const auto& each : changes->records) {
        if (each.is_removed) {
            result.events.emplace_back(store::removal{.key = each.key, .revision = each.revision});
        } else if (result.is_whole) {
            result.items.push_back(
                {.key = each.key, .value = each.value, .revision = each.revision});
        } else {
            result.events.emplace_back(
                store::item{.key = each.key, .value = each.value, .revision = each.revision});
        }
    }
    if (log_.admits(log_kind::state_change, now)) {
        log_.write(log_event{"pulled"}
                       .with("peer", peer)
                       .with("revision", result.revision)
                       .with("records", static_cast<std::int64_t>(changes->records.size()))
                       .with("confirmed_ms_ago", milliseconds_since(result.confirmed_at, now)));
    }
    pull_callback_(result, now);
}

}  // namespace bramleytrack
