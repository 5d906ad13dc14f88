// Instances that route by token, driven by a script; see tests/golden/steering/*.session.
//
// There is one instance, self in zone north, until `instance NAME ZONE` adds others, which begin
// with all that was published. `via=NAME` names the instance that a packet reaches; `to=A,B` lets
// only those hear of a change, and `catch_up NAME` tells an instance what it missed. `digests`
// passes the load of targets, as each instance sees it, and the dead ones that it found, to all
// others. Instances try to reach targets that leave packets unanswered; a mute one isn't reached.
//
// Commands: route NAME PORT SERVICE=WEIGHT..., drop ROUTE, target ID SERVICE ZONE [cold=MS], drain
// ID, gone ID, zone_out ZONE, zone_back ZONE, open FLOW ROUTE [copy=N], data FLOW bytes=N, again
// FLOW, ack FLOW, close FLOW, stranger FLOW TOKEN, advance MS. Each packet prints what became of
// it. A target answers each opening and all data, unless it is mute (mute ID); `ack` acknowledges
// its answer.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/directory.h"
#include "fleet/peer_digests.h"
#include "fleet/target_failure_detector.h"
#include "steering/steering.h"

namespace bramleytrack::testing {

class steering_session final : private event_log, private steering::flow_observer {
public:
    steering_session();

    void run(const std::string& line);
    std::vector<std::string> take_transcript() { return std::exchange(transcript_, {}); }

private:
    struct caller_flow {
        steering::segment last;  // the newest packet with data, or the opening
        std::uint32_t next_sequence = 0;
        std::uint32_t acknowledged = 0;
        discovery::routing_token token = 0;  // what the target's last packet carried
    };

    // One instance: what it knows, and what decides.
    struct node final : private fleet::failure_detector_actions {
        node(steering_session& owner, std::string own_name, const std::string& zone);

        void probe(const discovery::target& target) override;
        void request_indirect_probe(const discovery::peer_entry& peer,
                                    discovery::routing_token token) override;
        void send_indirect_probe_result(const discovery::peer_entry& peer,
                                        discovery::routing_token token, bool is_reachable) override;
        void on_dead(const discovery::target& target, clock::time_point probed_at,
                     std::span<const std::string> confirmed_by, clock::time_point now) override;
        void on_reported_dead(const discovery::target& target, clock::time_point until) override;
        void on_reached(const discovery::target& target) override;

        steering_session& session;
        std::string name;
        discovery::directory known;
        fleet::peer_digests digests;
        steering::cold_gate cold;
        steering::steering subject;
        fleet::target_failure_detector inquiries;
        std::vector<std::size_t> missed;  // of published_
    };
    struct publication {
        discovery::record content;
        std::int64_t revision = 0;
    };

    using words = std::vector<std::string>;
    using command = void (steering_session::*)(const words& arguments);

    void add_route(const words& arguments);
    void drop_route(const words& arguments);
    void add_target(const words& arguments);
    void drain_target(const words& arguments);
    void remove_target(const words& arguments);
    void mute_target(const words& arguments);
    void take_zone_out(const words& arguments);
    void take_zone_back(const words& arguments);
    void open(const words& arguments);
    void send_data(const words& arguments);
    void send_again(const words& arguments);
    void acknowledge(const words& arguments);
    void close(const words& arguments);
    void send_as_stranger(const words& arguments);
    void advance(const words& arguments);

    void add_instance(const words& arguments);
    void catch_up(const words& arguments);
    void exchange_digests(const words& arguments);

    void publish_catalogue(const words& arguments);
    void apply(const discovery::record& subject, const words& arguments);
    void tell(node& to, const publication& what);
    node& instance_named(const std::string& name);
    bool is_mute(const std::string& target) const;
    void note_resets(node& of);
    void deliver(const std::string& flow, const steering::segment& content, const words& arguments);
    steering::segment packet_of(const std::string& flow) const;

    bool admits(log_kind kind, clock::time_point now) override;
    void write(const log_event& event) override;
    void on_opening_answered(const discovery::target& by, clock::duration took) override;
    void on_answer(const discovery::target& by, clock::duration took) override;
    void on_decision(std::string_view service, const steering::decision& made) override;

    static const std::map<std::string, command> commands;

    clock::time_point now_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<publication> published_;
    discovery::catalogue catalogue_;
    std::map<std::string, discovery::target_entry> entries_;
    std::map<std::string, caller_flow> flows_;
    std::vector<std::string> mute_;
    std::int64_t revision_ = 0;
    std::vector<std::string> transcript_;
};

}  // namespace bramleytrack::testing
