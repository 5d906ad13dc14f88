// Exchange of digests and store changes between instances that route by token: callers return 32
// bits that name the target, so that any instance routes any packet.
//
// Owns the sockets and the HTTP calls. What is sent, to which peers, and which peer is pulled from
// is decided in libraries/fleet.
#pragma once

#include <ev++.h>

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "fleet/peer_digests.h"
#include "fleet/startup_sync.h"
#include "fleet/target_failure_detector.h"
#include "fleet/transfer_budget.h"
#include "fleet/update_source_selector.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "settings/steering_settings.h"
#include "steering/held_flow.h"
#include "steering/route_usage.h"
#include "steering/target_speeds.h"
#include "store/mirror.h"
#include "wire/codec.h"

namespace bramleytrack {

// The state of this instance that a digest reports in addition to target loads and demands.
struct digest_state {
    std::int64_t known_revision = 0;
    clock::time_point confirmed_at;  // the epoch if never
    // Whether the last read or watch of the store failed. True from the first failure until the
    // next success, also if the store has never responded; the log event store_lost is written only
    // if it was reachable before.
    bool has_lost_store = false;
    bool is_stopping = false;
};

// What this instance has measured for the use of its peers; null where they are to receive none.
struct digest_measurements {
    const steering::route_usage* usage = nullptr;  // null: routes aren't reported
    const steering::target_speeds* speeds = nullptr;
};

class peer_exchange {
public:
    // Store changes that a peer holds and this instance lacks.
    struct pull_result {
        std::vector<store::event> events;
        std::vector<store::item> items;  // only if `is_whole`
        std::int64_t revision = 0;
        bool is_whole = false;  // `items` replaces the entire local mirror
        clock::time_point confirmed_at;
    };
    using pull_callback = std::function<void(const pull_result&, clock::time_point now)>;

    peer_exchange(ev::loop_ref loop, const settings::steering_settings& settings,
                  const store::mirror& mirror, fleet::peer_digests& digests, event_log& log);

    void on_pull_result(pull_callback callback) { pull_callback_ = std::move(callback); }
    // Called when the peer that was queried last sent nothing.
    using pull_refused_callback =
        std::function<void(fleet::copy_refusal reason, clock::time_point now)>;
    void on_pull_refused(pull_refused_callback callback) {
        pull_refused_callback_ = std::move(callback);
    }
    // Sets how this instance tells whether its first read of the store makes progress.
    void set_reading_check(std::function<bool(clock::time_point now)> check) {
        is_reading_ = std::move(check);
    }
    // Called when a peer's digest reports a revision newer than the local mirror's.
    void on_newer_revision(std::function<void(clock::time_point now)> callback) {
        newer_revision_callback_ = std::move(callback);
    }

    using probe_request_callback = std::function<void(
        std::string_view peer, discovery::routing_token token, clock::time_point now)>;
    using probe_result_callback =
        std::function<void(std::string_view peer, discovery::routing_token token, bool is_reachable,
                           clock::time_point now)>;
    using dead_targets_callback =
        std::function<void(std::string_view peer, std::span<const wire::dead_target_report> reports,
                           clock::time_point now)>;
    using slow_targets_callback = std::function<void(
        std::string_view peer, std::span<const steering::target_speed_report> reports,
        clock::time_point now)>;
    // Called when a peer requests an indirect probe of a target.
    void on_probe_request(probe_request_callback callback) {
        probe_request_callback_ = std::move(callback);
    }
    // Called when a peer returns the result of an indirect probe.
    void on_probe_result(probe_result_callback callback) {
        probe_result_callback_ = std::move(callback);
    }
    // Called when a peer's digest reports dead targets.
    void on_dead_targets(dead_targets_callback callback) {
        dead_targets_callback_ = std::move(callback);
    }
    // Called when a peer's digest reports slow targets.
    void on_slow_targets(slow_targets_callback callback) {
        slow_targets_callback_ = std::move(callback);
    }
    using flow_holders_callback =
        std::function<void(std::span<const steering::held_flow> flows, clock::time_point now)>;
    // Called when a peer reports which targets hold flows.
    void on_flow_holders(flow_holders_callback callback) {
        flow_holders_callback_ = std::move(callback);
    }
    // Reports the flows to the peers, as far as the link has room for it.
    void send_flow_holders(std::span<const steering::held_flow> flows,
                           std::span<const discovery::peer_entry* const> peers,
                           clock::time_point now);
    // Sets the detector whose verdicts on dead targets are included in digests.
    void set_failure_detector(fleet::target_failure_detector& detector) {
        failure_detector_ = &detector;
    }
    void send_probe_request(const discovery::peer_entry& peer, discovery::routing_token token);
    void send_probe_result(const discovery::peer_entry& peer, discovery::routing_token token,
                           bool is_reachable);

    // Handles the messages that have arrived. To be called every tick, so that the wait of a
    // message is known.
    void receive() { digest_socket_.receive(); }
    // Sends a digest if one is due, or at once if the revision has risen or there is a new verdict
    // on a dead target.
    void tick(const digest_state& state, const steering::steering& steering, clock::time_point now,
              const digest_measurements& measurements = {});
    // Pulls store changes from a peer, unless a pull is in progress or the pause after the last one
    // isn't over.
    void pull(const fleet::pull_source& from, clock::time_point now);
    // Requests from a peer the items that were recently removed from the store. `done` is always
    // called, with no items if the request failed.
    using removed_items_callback =
        std::function<void(std::span<const store::removed_item> removed, clock::time_point now)>;
    void request_removed_items(const fleet::pull_source& from, removed_items_callback done);
    // How far the last pull() has come; `requested` also during the pause after a failed one.
    fleet::copy_progress pull_progress(clock::time_point now) const;

    std::int64_t rejected_messages() const { return rejected_messages_; }

    // Copies of the complete state.
    struct copy_counts {
        std::int64_t sent = 0;
        std::int64_t refused = 0;
        std::int64_t bytes = 0;
    };
    const copy_counts& copies() const { return copies_; }
    // Flows that peers were told the holders of, and those for which the link had no room.
    struct flow_holder_counts {
        std::int64_t sent = 0;
        std::int64_t dropped = 0;
    };
    const flow_holder_counts& flow_holders() const { return flow_holders_; }

private:
    void on_datagram(std::span<const std::uint8_t> datagram);
    void on_reported_holders(std::span<const wire::held_flow> reports, clock::time_point now);
    void on_peer_digest(const std::string& peer, wire::digest content, clock::time_point now);
    wire::peer_message new_message() const;
    void handle_pull_request(const net::http_request& request, const net::http_responder& respond);
    const std::string& encode_changes_since(std::int64_t after);
    // All items, for a peer that has just started or lacks too many changes.
    const std::string& encode_whole();
    void respond_with_whole(const net::http_responder& respond);
    std::string encode_removed_items() const;
    void on_removed_items(const std::string& peer, const net::http_result& response,
                          const removed_items_callback& done);
    void on_pull_response(const std::string& peer, const net::http_result& response,
                          clock::time_point sent_at);

    std::string name_;
    wire::fleet_key key_;
    const store::mirror& mirror_;
    fleet::peer_digests& digests_;
    event_log& log_;
    pull_callback pull_callback_;
    pull_refused_callback pull_refused_callback_;
    std::function<bool(clock::time_point now)> is_reading_;
    std::function<void(clock::time_point now)> newer_revision_callback_;
    probe_request_callback probe_request_callback_;
    probe_result_callback probe_result_callback_;
    dead_targets_callback dead_targets_callback_;
    slow_targets_callback slow_targets_callback_;  // may be empty
    flow_holders_callback flow_holders_callback_;  // may be empty
    fleet::target_failure_detector* failure_detector_ = nullptr;
    net::udp_endpoint digest_socket_;
    net::http_server pull_server_;
    net::http_client http_client_;
    wire::encoder encoder_;
    digest_state last_sent_state_;
    clock::time_point next_digest_;
    clock::time_point next_pull_;
    // The last encoded response to a request for the changes after `cached_after_`. Valid while the
    // mirror is at `cached_revision_`, for at most digest_interval after `cached_at_`.
    std::string cached_changes_;
    std::int64_t cached_after_ = -1;
    std::int64_t cached_revision_ = -1;
    clock::time_point cached_at_;
    // The last encoded copy of all items.
    std::string whole_;
    clock::time_point whole_encoded_at_;
    fleet::transfer_budget whole_budget_;
    copy_counts copies_;
    fleet::transfer_budget flow_holder_budget_;
    flow_holder_counts flow_holders_;
    bool is_pulling_ = false;
    std::int64_t incarnation_ = 0;
    std::int64_t rejected_messages_ = 0;
};

}  // namespace bramleytrack
