// The owner's side of a target: admits flows and requests, sends them to the target, and turns the
// target's packets into final outcomes for callers. Packets may be lost, repeated or reordered, and
// an earlier owner may have failed; the owner's records keep a request from running twice, and one
// that may have run from being reported as not run.
#pragma once

#include <cstdint>
#include <string_view>

#include "configuration/configuration.h"
#include "flows/flow_table.h"
#include "load/admission.h"
#include "load/target_load.h"
#include "membership/ownership.h"
#include "membership/peer_table.h"
#include "outbox/identity.h"
#include "outbox/outbox.h"
#include "outbox/packet_path.h"
#include "records/request_table.h"
#include "requests/work_of_request.h"

namespace bramleytrack::requests {

class target_owner {
public:
    // The parts of the instance that the owner uses.
    struct shared_state {
        const identity& self;
        counters& counts;
        const configuration::configuration& configuration;
        membership::peer_table& peers;
        membership::ownership& ownership;
        flows::flow_table& flows;
        records::request_table& requests;
        load::target_loads& loads;
        load::reported_loads& reported_loads;
        outbox& out;
    };

    target_owner(const shared_state& shared, packet_path& path);

    // Handles a packet for a flow on an owned target, forwarded by the flow's home or, after a
    // hand-over, by an earlier owner.
    void handle(wire::forward forwarded, clock::time_point now);
    void on_target_packet(std::string_view address, const wire::packet& content,
                          clock::time_point now);
    void on_tick(clock::time_point now);

    // Initializes the load of a target that this instance has acquired. After a takeover, requests
    // of the failed owner may still be running on it.
    void on_acquired(const configuration::target& target, membership::origin acquired_by,
                     clock::time_point now);
    // Recomputes the load of an owned target after further records of it have arrived.
    void on_merged(const configuration::target& target, clock::time_point now);

private:
    using handler = void (target_owner::*)(const configuration::target&, wire::forward,
                                           clock::time_point);

    void open_flow(const configuration::target& target, wire::forward forwarded,
                   clock::time_point now);
    void forward_to_target(const configuration::target& target, wire::forward forwarded,
                           clock::time_point now);
    void accept_request(const configuration::target& target, wire::forward forwarded,
                        clock::time_point now);
    void cancel_request(const configuration::target& target, wire::forward forwarded,
                        clock::time_point now);
    void close_flow(const configuration::target& target, wire::forward forwarded,
                    clock::time_point now);

    using target_handler = void (target_owner::*)(const configuration::target&, const wire::packet&,
                                                  clock::time_point);
    void on_opened(const configuration::target& target, const wire::packet& content,
                   clock::time_point now);
    void on_answer(const configuration::target& target, const wire::packet& content,
                   clock::time_point now);
    void on_shed(const configuration::target& target, const wire::packet& content,
                 clock::time_point now);
    void on_push(const configuration::target& target, const wire::packet& content,
                 clock::time_point now);
    void on_reset(const configuration::target& target, const wire::packet& content,
                  clock::time_point now);
    void on_report(const configuration::target& target, const wire::packet& content,
                   clock::time_point now);

    flows::flow& ensure_flow(const wire::forward& forwarded, clock::time_point now);
    void resend_outcome(request& existing, const wire::packet& copy, clock::time_point now);
    void refuse(request& record, result_code code, clock::duration retry_after,
                clock::time_point now);
    void dispatch(const configuration::target& target, request& record, clock::time_point now);
    void recount_load(const configuration::target& target, clock::time_point now);
    void apply_refusal(const load::refusal& refused, clock::time_point now);
    void dispatch_waiting(const configuration::target& target, clock::time_point now);
    void end_request(request& record, wire::packet outcome, clock::time_point now);
    void reply_zone_out_of_service(const wire::packet& content, clock::time_point now);
    void refuse_waiting(load::target_load& load, clock::time_point now);
    void retry_or_refuse(const configuration::target& target, request& record,
                         std::int32_t retry_after_ms, clock::time_point now);
    void end_after_reset(request& record, clock::time_point now);
    void expire(request& record, clock::time_point now);
    void record_early_cancel(const configuration::target& target, const wire::forward& forwarded,
                             clock::time_point now);
    void on_predecessor_answer(const configuration::target& target, const wire::packet& content,
                               clock::time_point now);
    void count_predecessor_completion(const configuration::target& target, bool is_own_dispatch);
    bool reflects_all_predecessor_work(const configuration::target& target,
                                       const wire::packet& report, clock::time_point now) const;
    void request_report(const configuration::target& target, clock::time_point now);
    void free_slot(request& record, load::run_outcome ending, clock::time_point now);
    void update_slots_in_use(std::string_view target);
    void log_cold_start(const configuration::target& target, std::string_view detected_by);

    shared_state shared_;
    packet_path& path_;
    // Starts at a value that differs between instances and incarnations, and increases with each
    // dispatch.
    std::uint64_t last_dispatch_number_;
};

}  // namespace bramleytrack::requests
