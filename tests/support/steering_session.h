// Instances that route by token, driven by a script; see tests/golden/steering/*.session.
//
// There is one instance, self in zone north, until `instance NAME ZONE` adds others, which start
// with all published records. `via=NAME` names the instance that receives a packet. `to=A,B` limits
// a change to those instances, and `catch_up NAME` delivers the records that an instance missed.
// `digests` sends each instance's view of target load and its verdicts on dead targets to all
// others. Instances probe targets that leave packets unanswered; a mute target doesn't respond.
//
// Commands: route NAME PORT SERVICE=WEIGHT..., drop ROUTE, target ID SERVICE ZONE [cold=MS], drain
// ID, gone ID, zone_out ZONE, zone_back ZONE, open FLOW ROUTE [copy=N], data FLOW bytes=N, again
// FLOW, ack FLOW, close FLOW, stranger FLOW TOKEN, advance MS. Each packet prints its
// outcome. A target responds to each opening and to all data, unless it is mute (mute ID); `ack`
// acknowledges its response.
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
        discovery::routing_token token = 0;  // from the target's last packet
    };

    // One instance: its directory, its steering core and its failure detector.
    struct instance_node final : private fleet::failure_detector_actions {
        instance_node(steering_session& owner, std::string own_name, const std::string& zone);

        void probe(const discovery::target& target) override;
        void request_indirect_probe(const discovery::peer_entry& peer,
                                    discovery::routing_token token) override;
        void send_indirect_probe_result(const discovery::peer_entry& peer,
                                        discovery::routing_token token, bool is_reachable) override;
        void on_dead(const discovery::target& target, clock::time_point probed_at,
                     std::span<const std::string> confirmed_by, clock::time_point now) override;
        void on_reported_dead(const discovery::target& target, clock::time_point until) override;
        void on_found_alive(const discovery::target& target) override;

        steering_session& session;
        std::string name;
        discovery::directory directory;
        fleet::peer_digests digests;
        steering::cold_gate gate;
        steering::steering core;
        fleet::target_failure_detector failure_detector;
        std::vector<std::size_t> missed_records;  // indices into published_
    };
    struct publication {
        discovery::record content;
        std::int64_t revision = 0;
    };

    using argument_list = std::vector<std::string>;
    using command = void (steering_session::*)(const argument_list& arguments);

    void add_route(const argument_list& arguments);
    void drop_route(const argument_list& arguments);
    void add_target(const argument_list& arguments);
    void drain_target(const argument_list& arguments);
    void remove_target(const argument_list& arguments);
    void mute_target(const argument_list& arguments);
    void take_zone_out(const argument_list& arguments);
    void take_zone_back(const argument_list& arguments);
    void open(const argument_list& arguments);
    void send_data(const argument_list& arguments);
    void resend(const argument_list& arguments);
    void acknowledge(const argument_list& arguments);
    void close(const argument_list& arguments);
    void send_with_token(const argument_list& arguments);
    void advance(const argument_list& arguments);

    void add_instance(const argument_list& arguments);
    void catch_up(const argument_list& arguments);
    void exchange_digests(const argument_list& arguments);

    void publish_catalogue(const argument_list& arguments);
    void publish(const discovery::record& record, const argument_list& arguments);
    void apply_to(instance_node& to, const publication& record);
    instance_node& find_instance(const std::string& name);
    bool is_mute(const std::string& target) const;
    void print_resets(instance_node& instance);
    void deliver(const std::string& flow, const steering::segment& packet,
                 const argument_list& arguments);
    steering::segment next_packet_of(const std::string& flow) const;

    bool admits(log_kind kind, clock::time_point now) override;
    void write(const log_event& event) override;
    void on_opening_answered(const discovery::target& target, clock::duration latency) override;
    void on_answer(const discovery::target& target, clock::duration latency) override;
    void on_decision(std::string_view service, const steering::decision& outcome) override;

    static const std::map<std::string, command> commands;

    clock::time_point now_;
    std::vector<std::unique_ptr<instance_node>> instances_;
    std::vector<publication> published_;
    discovery::catalogue catalogue_;
    std::map<std::string, discovery::target_entry> entries_;
    std::map<std::string, caller_flow> flows_;
    std::vector<std::string> mute_targets_;
    std::int64_t revision_ = 0;
    std::vector<std::string> transcript_;
};

}  // namespace bramleytrack::testing
