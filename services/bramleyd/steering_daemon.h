// The daemon of an instance that routes by token: turns datagrams, answers of the store, timers and
// signals into calls of the core, and its decisions into datagrams and log lines.
#pragma once

#include <ev++.h>

#include <functional>
#include <string>
#include <vector>

#include "discovery/directory.h"
#include "discovery/registration.h"
#include "fleet/peer_digests.h"
#include "fleet/startup_recovery.h"
#include "fleet/stop_plan.h"
#include "fleet/update_source_selector.h"
#include "net/http_server.h"
#include "net/packet_socket.h"
#include "observability/log.h"
#include "observability/steering_metrics.h"
#include "peer_exchange.h"
#include "settings/steering_settings.h"
#include "steering/pause_guard.h"
#include "steering/steering.h"
#include "store/feed.h"
#include "target_checks.h"

namespace bramleytrack {

// What the adapter to a platform brings.
struct platform_parts {
    const steering::segment_codec& packets;
    const discovery::record_reader& records;
    store::client& store;
    std::string registration_key;
    std::string registration_value;
};

class steering_daemon {
public:
    // Reads the settings again; nothing when they can't be read.
    using settings_reader = std::function<std::string()>;

    // Throws std::system_error or std::runtime_error when an address can't be bound.
    steering_daemon(ev::loop_ref loop, settings::steering_settings settings, platform_parts parts,
                    settings_reader read_settings);

private:
    void on_tick(ev::timer& watcher, int events);
    void on_terminate(ev::sig& watcher, int events);
    void on_reload(ev::sig& watcher, int events);
    void on_datagram(std::span<const std::uint8_t> datagram);
    void take_changes(std::span<const store::event> events, clock::time_point now);
    void on_store_change(std::span<const store::event> events, clock::time_point now);
    void on_pulled(const peer_exchange::pulled& changes, clock::time_point now);
    void consult_peers(clock::time_point now);
    void ask_what_ended();
    void on_store_state(bool is_reachable, result_code reason, int attempts, clock::time_point now);
    void on_registration(bool is_held, result_code reason, clock::time_point now);
    void apply(const discovery::record& subject, std::int64_t revision, clock::time_point now);
    void send_forward(std::span<const std::uint8_t> datagram, const discovery::target& to);
    void send_reset(const steering::reset& wanted);
    void send_waiting_resets();
    void check_settings(clock::time_point now);
    void report_ignored_keys();
    void update_readiness(clock::time_point now);
    void end_when_quiet(clock::time_point now);
    std::size_t others_in_rotation(clock::time_point now) const;
    steering::directory_state directory_state() const;
    std::int64_t confirmed_milliseconds_ago(clock::time_point now) const;  // -1: never
    std::string render_metrics();

    settings::steering_settings settings_;
    std::string settings_text_;
    settings_reader read_settings_;
    platform_parts parts_;
    ev::loop_ref loop_;
    observability::rate_limited_log log_;
    observability::steering_metrics metrics_;
    store::mirror mirror_;
    discovery::directory directory_;
    steering::cold_gate cold_;
    fleet::peer_digests digests_;
    fleet::update_source_selector update_source_;
    fleet::startup_recovery startup_recovery_;
    steering::steering steering_;
    steering::pause_guard pauses_;
    store::feed feed_;
    discovery::registration registration_;
    peer_exchange exchange_;
    target_checks checks_;
    std::uint16_t caller_port_;  // where callers receive resets
    net::packet_socket packets_;
    net::http_server readiness_;
    net::http_server admin_;
    ev::timer ticker_;
    ev::sig terminate_;
    ev::sig reload_;
    clock::time_point next_settings_check_;
    fleet::stop_plan stop_;
    clock::time_point packet_at_;     // last packet of a caller
    clock::time_point confirmed_at_;  // what the directory holds was all there was then
    std::int64_t malformed_ = 0;
    bool has_initial_state_ = false;  // the store, or a peer, has told everything once
    bool is_ready_ = false;
};

}  // namespace bramleytrack
