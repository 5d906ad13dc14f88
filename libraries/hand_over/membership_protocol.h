// Heartbeats, takeover and hand-over of targets between the instances of a zone.
//
// A move goes in four steps. The winner of the rendezvous asks the claimant (ownership_wanted). The
// claimant stops serving the target, sends all records in parts, and holds the packets that arrive
// meanwhile; it claims the target until every part is acknowledged, so that nobody takes it over in
// between. The receiver owns the target from the last part on and says so at once. Then the held
// packets follow. If the receiver dies or falls silent in between, the sender takes the records
// back and treats the target like one that was taken over from a dead owner.
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

// A planned leave ends after this long even if no one has taken the targets.
constexpr clock::duration leave_limit{30'000};

// A leaving instance goes on passing packets for so long after its last target has moved: what it
// dispatched is answered to its address, and the fabric's list lags.
constexpr clock::duration leave_linger = records::max_request_lifetime + records::deadline_grace;

class membership_protocol {
public:
    // What it needs of the instance.
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

    // `on_gained` is called for each target that becomes this instance's.
    using gained_callback = std::function<void(const configuration::target&, origin)>;

    // `on_merged` is called when records of a target arrive that this instance owns already.
    using merged_callback = std::function<void(const configuration::target&)>;

    membership_protocol(const shared_state& shared, gained_callback on_gained,
                        merged_callback on_merged);

    // Call before every event: drops what is owned when this process was paused.
    void check_pause(clock::time_point now);
    void on_tick(clock::time_point now);
    void on_heartbeat(const wire::peer_message& message, clock::time_point now);
    void on_wanted(std::string_view sender, const wire::ownership_wanted& wanted,
                   clock::time_point now);
    void on_hand_over(const wire::peer_message& message, clock::time_point now);
    void on_acknowledged(std::string_view sender, const wire::hand_over_acknowledged& acknowledged,
                         clock::time_point now);

    // Starts a planned leave.
    void leave() { is_stop_wanted_ = true; }
    // True when a leaving instance has said goodbye: it may stop.
    bool may_stop() const { return has_said_goodbye_; }

    // Packets for targets that are being moved wait here; released when the move has ended.
    held_packets& held() { return held_; }

    // Returns true once after homes of flows may have moved.
    bool take_view_changed() { return std::exchange(is_view_changed_, false); }

private:
    struct incoming {
        std::string sender;
        std::int64_t incarnation = 0;
        std::int64_t epoch = 0;
        std::map<std::int32_t, wire::hand_over> parts;
    };

    void update_eligibility(clock::time_point now);
    void review(clock::time_point now);
    void say_goodbye(clock::time_point now);
    wire::heartbeat make_heartbeat(clock::time_point now);
    void send_heartbeats(clock::time_point now);

    void start_hand_over(std::string_view target, const peer& receiver, clock::time_point now);
    void start_yield(std::string_view target, clock::time_point now);
    std::vector<wire::hand_over> cut_out(std::string_view target, wire::hand_over head,
                                         clock::time_point now);
    void keep_locations(std::span<const wire::flow_record> flows, std::string_view target,
                        clock::time_point now);
    void erase_records(std::string_view target);
    void send_due(outgoing_transfer& transfer, clock::time_point now);
    void tend_transfers(clock::time_point now);
    bool tend(const std::string& target, outgoing_transfer& transfer, clock::time_point now);
    void finish(const std::string& target, clock::time_point now);
    void take_back(const std::string& target, outgoing_transfer& transfer, clock::time_point now);
    void tend_moves(clock::time_point now);

    void acknowledge(std::string_view sender, const wire::hand_over& part);
    void complete(const configuration::target& target, const incoming& whole,
                  clock::time_point now);
    void absorb(const configuration::target& target, const wire::hand_over& part,
                clock::time_point now, bool is_whole);
    void restore_load(const configuration::target& target, const wire::hand_over& part,
                      clock::time_point now);
    std::uint64_t view_digest(clock::time_point now) const;

    shared_state shared_;
    gained_callback on_gained_;
    merged_callback on_merged_;
    clock::time_point last_event_;
    clock::time_point last_heartbeat_;
    std::map<std::string, outgoing_transfer, std::less<>> outgoing_;  // by target
    std::map<std::string, incoming, std::less<>> incoming_;           // by target
    held_packets held_;
    bool is_stop_wanted_ = false;
    std::optional<clock::time_point> leaving_since_;
    bool has_said_goodbye_ = false;
    std::uint64_t last_view_ = 0;
    bool is_view_changed_ = false;
};

}  // namespace bramleytrack::hand_over
