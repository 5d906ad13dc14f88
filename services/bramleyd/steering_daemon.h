// I/O of an instance that routes by token: in each packet, callers return 32 bits that name the
// target, so that any instance can route any packet.
//
// Passes datagrams, store responses, timer events and signals to `steering` and the classes of
// libraries/fleet, and turns their decisions into datagrams and log lines. It receives no packets
// from targets; they respond to callers directly.
#pragma once

#include <ev++.h>

#include <functional>
#include <string>
#include <vector>

#include "discovery/directory.h"
#include "discovery/registration.h"
#include "fleet/peer_digests.h"
#include "fleet/startup_recovery.h"
#include "fleet/startup_sync.h"
#include "fleet/stop_plan.h"
#include "fleet/update_source_selector.h"
#include "net/http_server.h"
#include "net/packet_socket.h"
#include "observability/log.h"
#include "observability/steering_metrics.h"
#include "peer_exchange.h"
#include "settings/steering_settings.h"
#include "steering/pause_detector.h"
#include "steering/steering.h"
#include "store/feed.h"
#include "target_checks.h"

namespace bramleytrack {

// What the platform adapter provides: packet and record codecs, the client of the store, and the
// store entry with which this instance registers itself.
struct platform_interfaces {
    const steering::segment_codec& packets;
    const discovery::record_reader& records;
    store::client& store;
    std::string registration_key;
    std::string registration_value;
    std::vector<std::string> shard_prefixes;  // of the registrations, see discovery/peer_shard.h
};

class steering_daemon {
public:
    // Rereads the settings file. Returns an empty text if it cannot be read.
    using settings_reader = std::function<std::string()>;

    // Throws std::system_error or std::runtime_error if an address cannot be bound.
    steering_daemon(ev::loop_ref loop, settings::steering_settings settings,
                    platform_interfaces platform, settings_reader read_settings);

private:
    void on_tick(ev::timer& watcher, int events);
    void on_terminate(ev::sig& watcher, int events);
    void on_reload(ev::sig& watcher, int events);
    void on_datagram(std::span<const std::uint8_t> datagram, clock::time_point earliest_arrival);
    void apply_changes(std::span<const store::event> events, clock::time_point now);
    void on_store_change(std::span<const store::event> events, clock::time_point now);
    void on_pull_result(const peer_exchange::pull_result& result, clock::time_point now);
    void exchange_with_peers(clock::time_point now);
    void report_flows_opened_twice(clock::time_point now);
    void on_initial_state(clock::time_point now);
    // Before the first tick of the feed.
    void prepare_startup();
    // What peers need for shares of capacity and the balance between zones.
    digest_measurements measurements_for_digest() const;
    void recover_removed_items();
    void on_store_state(bool is_reachable, result_code reason, int attempts, clock::time_point now);
    void on_registration(bool is_held, result_code reason, clock::time_point now);
    void apply(const discovery::record& subject, std::int64_t revision, clock::time_point now);
    void send_forward(std::span<const std::uint8_t> datagram, const discovery::target& target);
    void send_reset(const steering::reset& reset);
    void send_pending_resets();
    void send_released_openings();
    void on_waiting_timer(ev::timer& watcher, int events);
    void apply_admission(const steering::admission_settings& settings);
    void check_settings(clock::time_point now);
    void report_ignored_keys();
    void update_readiness(clock::time_point now);
    void stop_when_drained(clock::time_point now);
    std::size_t peers_in_rotation(clock::time_point now) const;
    steering::directory_state directory_state() const;
    std::int64_t confirmation_age_milliseconds(clock::time_point now) const;  // -1 if never
    std::string render_metrics();

    settings::steering_settings settings_;
    std::string settings_text_;
    settings_reader read_settings_;
    platform_interfaces platform_;
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
    steering::pause_detector pause_detector_;
    store::feed feed_;
    discovery::registration registration_;
    fleet::startup_sync startup_;
    peer_exchange peer_exchange_;
    target_checks target_checks_;
    std::uint16_t caller_port_;  // to which resets are sent
    net::packet_socket packet_socket_;
    net::http_server readiness_server_;
    net::http_server metrics_server_;
    ev::timer tick_timer_;
    ev::timer waiting_timer_;  // active while openings wait
    ev::sig terminate_signal_;
    ev::sig reload_signal_;
    clock::time_point next_settings_check_;
    fleet::stop_plan stop_;
    clock::time_point last_packet_at_;  // of any caller
    // When the directory was last confirmed to hold the current state of the store.
    clock::time_point confirmed_at_;
    std::int64_t malformed_datagrams_ = 0;
    clock::time_point started_at_;
    clock::duration initial_state_after_{-1};  // -1 ms: not received yet
    // Whether the complete state was received once, from the store or from a peer.
    bool has_initial_state_ = false;
    bool is_ready_ = false;
};

}  // namespace bramleytrack
