// The owner's side of a target: admits flows and requests, sends them to the target, and turns what
// the target says into final answers to callers.
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
    // What it needs of the instance.
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

    // `content` concerns a flow on an owned target: from its home or, after a move of the
    // ownership, from an earlier owner.
    void handle(wire::forward content, clock::time_point now);
    void on_target_packet(std::string_view address, const wire::packet& content,
                          clock::time_point now);
    void on_tick(clock::time_point now);

    // The target has become this instance's; `how` says what may be running there unseen.
    void on_gained(const configuration::target& target, membership::origin how,
                   clock::time_point now);
    // Records of a target that is owned already have arrived: counts anew.
    void on_merged(const configuration::target& target, clock::time_point now);

private:
    using handler = void (target_owner::*)(const configuration::target&, wire::forward,
                                           clock::time_point);

    void open_flow(const configuration::target& target, wire::forward content,
                   clock::time_point now);
    void pass_to_target(const configuration::target& target, wire::forward content,
                        clock::time_point now);
    void accept_request(const configuration::target& target, wire::forward content,
                        clock::time_point now);
    void cancel_request(const configuration::target& target, wire::forward content,
                        clock::time_point now);
    void close_flow(const configuration::target& target, wire::forward content,
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

    flows::flow& ensure_flow(const wire::forward& content, clock::time_point now);
    void repeat_outcome(request& known, const wire::packet& copy, clock::time_point now);
    void give_up(request& subject, result_code code, clock::duration retry_after,
                 clock::time_point now);
    void dispatch(const configuration::target& target, request& subject, clock::time_point now);
    void count_records(const configuration::target& target, clock::time_point now);
    void refuse_request(const load::refusal& refused, clock::time_point now);
    void dispatch_waiting(const configuration::target& target, clock::time_point now);
    void end_request(request& subject, wire::packet outcome, clock::time_point now);
    void reply_zone_out(const wire::packet& content, clock::time_point now);
    void refuse_waiting(load::target_load& load, clock::time_point now);
    void retry_or_refuse(const configuration::target& target, request& subject,
                         std::int32_t come_back_ms, clock::time_point now);
    void end_on_reset(request& subject, clock::time_point now);
    void expire(request& subject, clock::time_point now);
    void note_early_cancel(const configuration::target& target, const wire::forward& content,
                           clock::time_point now);
    void on_inherited_answer(const configuration::target& target, const wire::packet& content,
                             clock::time_point now);
    void note_inherited_end(const configuration::target& target, bool is_own);
    bool is_later_than_inherited_work(const configuration::target& target,
                                      const wire::packet& report, clock::time_point now) const;
    void ask_for_report(const configuration::target& target, clock::time_point now);
    void free_slot(request& subject, load::run_outcome how, clock::time_point now);
    void count_slots(std::string_view target);
    void log_cold_start(const configuration::target& target, std::string_view seen_by);

    shared_state shared_;
    packet_path& path_;
    // Differs between instances and between the lives of one, and rises with each dispatch.
    std::uint64_t last_dispatch_;
};

}  // namespace bramleytrack::requests
