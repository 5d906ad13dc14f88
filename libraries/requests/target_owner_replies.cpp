// Handles the packets of targets: acceptances of flows, answers, shed requests, resets and reports.
#include <algorithm>
#include <array>

#include "flows/erase_flow.h"
#include "requests/target_owner.h"
#include "requests/work_of_request.h"
#include "routing/candidates.h"

namespace bramleytrack::requests {
namespace {

using wire::packet_kind;

// A report reflects the state of the target at most this long before it was requested.
constexpr clock::duration report_lag{2'000};
// A failed owner dispatched its last request at least this long before the takeover: it was silent
// for dead_after, and heartbeats are sent every heartbeat_interval.
constexpr clock::duration silence_before_takeover =
    membership::dead_after - membership::heartbeat_interval;

}  // namespace

void target_owner::on_target_packet(std::string_view address, const wire::packet& content,
                                    clock::time_point now) {
    struct entry {
        packet_kind kind;
        target_handler handle;
    };
    static constexpr std::array handlers{
        entry{packet_kind::open_accepted, &target_owner::on_opened},
        entry{packet_kind::answer, &target_owner::on_answer},
        entry{packet_kind::shed, &target_owner::on_shed},
        entry{packet_kind::push, &target_owner::on_push},
        entry{packet_kind::reset, &target_owner::on_reset},
        entry{packet_kind::report, &target_owner::on_report},
    };
    ++shared_.counts.packets_from_targets;
    const auto* target = shared_.configuration.find_target_by_address(address);
    const auto* dispatcher = std::ranges::find(handlers, content.kind, &entry::kind);
    if (target == nullptr || dispatcher == handlers.end()) {
        shared_.out.drop(content, result_code::malformed_datagram);
        return;
    }
    (this->*dispatcher->handle)(*target, content, now);
}

void target_owner::on_opened(const configuration::target& /*target*/, const wire::packet& content,
                             clock::time_point now) {
    auto* flow = shared_.flows.find(routing::key_of(content));
    if (flow != nullptr) {
        flow->state = flows::flow_state::established;
        flow->last_used = now;
    }
    shared_.out.send_caller(content);
}

void target_owner::on_answer(const configuration::target& target, const wire::packet& content,
                             clock::time_point now) {
    const auto id = id_of(content);
    auto* record = shared_.requests.find(id);
    if (record == nullptr) {
        on_predecessor_answer(target, content, now);
        return;
    }
    // An answer to an earlier dispatch, or to an earlier request with the same number, must not be
    // taken for the answer to the last dispatch: the slot would be freed while the target is still
    // running the request.
    const bool is_of_last_dispatch = record->target == target.name &&
                                     record->dispatch == content.dispatch && record->attempts > 0;
    if (!is_of_last_dispatch && !record->may_have_run) {
        shared_.out.drop(content, result_code::unknown_request);
        return;
    }
    if (is_of_last_dispatch && record->holds_slot) {
        free_slot(*record, load::run_outcome::answered, now);
    }
    // A late answer replaces the outcome `unknown`. Any other outcome is final.
    const bool accepts_answer =
        record->state != request_state::ended || record->content.kind == packet_kind::unknown;
    if (accepts_answer) {
        count_predecessor_completion(target, is_of_last_dispatch);
        end_request(*record, content, now);
    } else if (record->content.kind == packet_kind::refused) {
        shared_.out.log(log_event{"answer_after_refusal"}
                            .with("target", target.name)
                            .with("flow", content.flow)
                            .with("request", content.request));
    }
    dispatch_waiting(target, now);
}

// Handles an answer to a request that a failed owner dispatched: the answer is complete and
// identifies its request. Once no request of an earlier owner can be running, an answer without a
// record is older than the retention of records and its number may have been reused.
void target_owner::on_predecessor_answer(const configuration::target& target,
                                         const wire::packet& content, clock::time_point now) {
    const auto id = id_of(content);
    const bool is_expected = now < shared_.loads[target.name].assumed_until;
    if (!is_expected || !shared_.requests.has_capacity(id.flow, content.payload.size())) {
        shared_.out.drop(content, result_code::unknown_request);
        return;
    }
    auto& added = shared_.requests.add(id, reply_to(content, packet_kind::request, result_code::ok),
                                       target.name, now);
    added.fingerprint = records::unknown_fingerprint;
    added.may_have_run = true;
    count_predecessor_completion(target, false);
    end_request(added, content, now);
    dispatch_waiting(target, now);
}

// A request of an earlier owner has ended, so such requests can hold one slot fewer.
void target_owner::count_predecessor_completion(const configuration::target& target,
                                                bool is_own_dispatch) {
    if (is_own_dispatch) {
        return;
    }
    auto& load = shared_.loads[target.name];
    ++load.inherited_answers;
    const int unanswered = std::max(0, target.slots - load.inherited_answers);
    load.assumed_slots = std::min(load.assumed_slots, unanswered);
}

void target_owner::on_shed(const configuration::target& target, const wire::packet& content,
                           clock::time_point now) {
    auto* record = shared_.requests.find(id_of(content));
    const bool is_of_last_dispatch = record != nullptr && record->target == target.name &&
                                     record->holds_slot && record->dispatch == content.dispatch;
    if (!is_of_last_dispatch) {
        return;
    }
    free_slot(*record, load::run_outcome::unmeasured, now);
    auto& load = shared_.loads[target.name];
    // While requests of an earlier owner may hold slots, a shed doesn't indicate a cold target.
    if (load.assumed_slots == 0 && load.cold.on_shed(now)) {
        log_cold_start(target, "shed");
    }
    if (record->state == request_state::dispatched) {
        retry_or_refuse(target, *record, content.come_back_ms, now);
    }
    dispatch_waiting(target, now);
}

// Called for a request that the target has shed, i.e. not run. A repeatable request is queued again
// if other requests of this owner are running on the target: the end of one of them shows that the
// target accepts work again. Without any, it would be dispatched and shed again immediately.
void target_owner::retry_or_refuse(const configuration::target& target, request& record,
                                   std::int32_t retry_after_ms, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    const bool may_retry = is_repeatable(record.content) && record.attempts < records::max_attempts;
    if (may_retry && load.slots_in_use > 0) {
        shared_.requests.requeue(record);
        load::enqueue_admitted(load, work_of(record, load), now);
        return;
    }
    refuse(record, result_code::shed_by_target,
           clock::duration{std::max(retry_after_ms, std::int32_t{1})}, now);
}

void target_owner::on_push(const configuration::target& /*target*/, const wire::packet& content,
                           clock::time_point now) {
    if (auto* flow = shared_.flows.find(routing::key_of(content))) {
        flow->last_used = now;
    }
    shared_.out.send_caller(content);
}

// Ignores two kinds of resets that would otherwise end a flow wrongly. A target that was only
// probed for a flow may send a late or repeated reset; only the target on which the flow is placed
// can end it. And a packet of a closed flow may reach the target before the opening of a flow that
// reuses its number; a target never resets a flow that is opening, because it accepts it.
void target_owner::on_reset(const configuration::target& target, const wire::packet& content,
                            clock::time_point now) {
    const auto key = routing::key_of(content);
    const auto* flow = shared_.flows.find(key);
    const bool is_stale = flow != nullptr && (flow->record.target != target.name ||
                                              flow->state == flows::flow_state::opening);
    if (is_stale) {
        return;
    }
    for (const auto number : shared_.requests.numbers_of(key)) {
        auto& record = *shared_.requests.find({key, number});
        if (record.target == target.name) {
            end_after_reset(record, now);
        }
    }
    dispatch_waiting(target, now);
    if (flow == nullptr) {
        return;
    }
    if (shared_.loads[target.name].cold.on_lost_flow(now)) {
        log_cold_start(target, "lost flows");
    }
    flows::erase_flow(shared_.flows, shared_.loads, key);
    shared_.out.send_caller(content);
}

// A reset doesn't identify the packet that it answers. For example, the target resets a
// cancellation on a closed flow whose request is still running. So a dispatched request may have
// run or may still be running: its outcome is unknown and its slot stays in use.
void target_owner::end_after_reset(request& record, clock::time_point now) {
    if (record.state == request_state::waiting) {
        refuse(record, result_code::unknown_flow, clock::duration{0}, now);
    } else if (record.state == request_state::dispatched) {
        end_request(record,
                    reply_to(record.content, packet_kind::unknown, result_code::outcome_unknown),
                    now);
    }
}

void target_owner::on_report(const configuration::target& target, const wire::packet& content,
                             clock::time_point now) {
    auto& load = shared_.loads[target.name];
    const auto& report = content.report_of_target;
    load.inherited.on_report(report.connections, load.connections, now);
    if (load.cold.on_report(report.is_cold, now)) {
        log_cold_start(target, "report");
    }
    if (reflects_all_predecessor_work(target, content, now)) {
        load.assumed_slots = std::min(load.assumed_slots, std::max(0, report.slots_in_use));
        dispatch_waiting(target, now);
    }
}

void target_owner::log_cold_start(const configuration::target& target,
                                  std::string_view detected_by) {
    shared_.out.log(
        log_event{"cold_start"}.with("target", target.name).with("seen_by", detected_by));
}

// Whether a report reflects all requests that a failed owner dispatched. A report from before the
// takeover, or one that lags, may show free slots that the failed owner filled afterwards; relying
// on it would overload the target. The sequence of a report request is the time at which it was
// sent, and the report's content is at most report_lag older. So a report that was requested late
// enough shows the target after the failed owner's last dispatch, when the number of its requests
// can only decrease. Requests that this owner has dispatched since are included, which errs on the
// safe side.
bool target_owner::reflects_all_predecessor_work(const configuration::target& target,
                                                 const wire::packet& report,
                                                 clock::time_point now) const {
    const auto taken_over_at =
        shared_.loads[target.name].assumed_until - max_predecessor_work_lifetime;
    const auto requested_at = to_time_point(report.sequence);
    return requested_at >= taken_over_at + report_lag - silence_before_takeover &&
           requested_at <= now;
}

}  // namespace bramleytrack::requests
