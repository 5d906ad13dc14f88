// Heartbeats, takeover and hand-over of targets between the instances of a zone.
//
// A hand-over moves a target from its owner, the sender, to the instance that rendezvous hashing
// selects, the receiver:
// 1. The receiver requests the target from the sender (ownership_wanted).
// 2. The sender stops serving the target, sends all records in parts, and holds the packets that
//    arrive meanwhile. It claims the target in its heartbeats until the receiver has acknowledged
//    every part, so that no other instance takes the target over.
// 3. The receiver owns the target once it has all parts, and announces this immediately.
// 4. The sender releases the held packets, which are forwarded to the owner, once every part is
//    acknowledged or it has received a claim with at least the epoch of the receiver's ownership.
// If the receiver fails or stops acknowledging before step 4, the sender restores the records and
// treats the target as one that was taken over from a dead owner.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "hand_over/held_packets.h"
#include "hand_over/outgoing_transfer.h"
#include "load/placement.h"
#include "load/target_load.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "records/request_table.h"

namespace bramleytrack::hand_over {

using membership::origin;
using membership::peer;

// A planned leave ends after this time even if some targets have not been moved.
constexpr clock::duration leave_timeout{30'000};

// A leaving instance continues to forward packets for this long after handing over its last target:
// answers to requests that it dispatched arrive at its address, and the platform's instance list
// lags behind.
constexpr clock::duration leave_forwarding_time =
    records::max_request_lifetime + records::deadline_grace;

class membership_protocol {
public:
    // State of the instance that this class uses.
    struct shared_state {
        const identity& self;
        const configuration::configuration& configuration;
        const bool& is_configuration_confirmed;
        membership::peer_table& peers;
        membership::ownership& ownership;
        bool& is_leaving;
        flows::flow_table& flows;
        flows::location_table& locations;
        records::request_table& requests;
        load::target_loads& loads;
        load::reported_loads& reported_loads;
        load::unreported_placements& placements;
        outbox& out;
    };

    // Called for each target whose ownership this instance gains.
    using gained_callback = std::function<void(const configuration::target&, origin)>;

    // Called when records have been merged into those of a target that this instance already owns.
    using merged_callback = std::function<void(const configuration::target&)>;

    membership_protocol(const shared_state& shared, gained_callback on_gained,
                        merged_callback on_merged);

    // To be called before every event: drops all owned targets if this process was paused.
    void check_pause(clock::time_point now);
    void on_tick(clock::time_point now);
    void on_heartbeat(const wire::peer_message& message, clock::time_point now);
    void on_ownership_request(std::string_view sender, const wire::ownership_wanted& request,
                              clock::time_point now);
    void on_hand_over(const wire::peer_message& message, clock::time_point now);
    void on_acknowledged(std::string_view sender, const wire::hand_over_acknowledged& acknowledged,
                         clock::time_point now);

    // Starts a planned leave: the targets are handed over and the instance may then stop.
    void leave() { is_leave_requested_ = true; }
    // True after a leaving instance has announced to its peers that it stops.
    bool may_stop() const { return has_announced_stop_; }

    // Packets for targets that are being handed over.
    held_packets& held() { return held_; }

    // Returns true once after the homes of flows may have changed.
    bool take_view_changed() { return std::exchange(is_view_changed_, false); }

private:
    struct incoming_transfer {
        std::string sender;
        std::int64_t incarnation = 0;
        std::int64_t epoch = 0;
        std::map<std::int32_t, wire::hand_over> parts;
    };

    void update_eligibility(clock::time_point now);
    void review_ownership(clock::time_point now);
    void announce_stop(clock::time_point now);
    wire::heartbeat make_heartbeat(clock::time_point now);
    void send_heartbeats(clock::time_point now);

    void start_hand_over(std::string_view target, const peer& receiver, clock::time_point now);
    void yield_target(std::string_view target, clock::time_point now);
    std::vector<wire::hand_over> extract_records(std::string_view target, wire::hand_over head,
                                                 clock::time_point now);
    void save_locations(std::span<const wire::flow_record> flows, std::string_view target,
                        clock::time_point now);
    void erase_records(std::string_view target);
    void send_due_parts(outgoing_transfer& transfer, clock::time_point now);
    void update_transfers(clock::time_point now);
    bool update_transfer(const std::string& target, outgoing_transfer& transfer,
                         clock::time_point now);
    void complete_move(const std::string& target, clock::time_point now);
    void reclaim_target(const std::string& target, outgoing_transfer& transfer,
                        clock::time_point now);
    void expire_moves(clock::time_point now);

    void acknowledge(std::string_view sender, const wire::hand_over& part);
    void complete_hand_over(const configuration::target& target, const incoming_transfer& transfer,
                            clock::time_point now);
    void merge_records(const configuration::target& target, const wire::hand_over& part,
                       clock::time_point now, bool lists_all_requests);
    void restore_load(const configuration::target& target, const wire::hand_over& part,
                      clock::time_point now);
    std::uint64_t view_digest(clock::time_point now) const;

    shared_state shared_;
    gained_callback on_gained_;
    merged_callback on_merged_;
    clock::time_point last_event_;
    clock::time_point last_heartbeat_;
    std::map<std::string, outgoing_transfer, std::less<>> outgoing_;  // by target
    std::map<std::string, incoming_transfer, std::less<>> incoming_;  // by target
    held_packets held_;
    bool is_leave_requested_ = false;
    std::optional<clock::time_point> leaving_since_;
    bool has_announced_stop_ = false;
    std::uint64_t last_view_digest_ = 0;
    bool is_view_changed_ = false;
};

}  // namespace bramleytrack::hand_over
