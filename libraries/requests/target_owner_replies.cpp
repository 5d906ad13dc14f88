// What targets say: acceptances, answers, work that they turned away, resets and reports.
#include <algorithm>
#include <array>

#include "flows/erase_flow.h"
#include "requests/target_owner.h"
#include "requests/work_of_request.h"
#include "routing/candidates.h"

namespace bramleytrack::requests {
namespace {

using wire::packet_kind;

// A report shows the target as it was at most so long before the question.
constexpr clock::duration report_lag{2'000};
// A dead owner dispatched its last request at least so long before the takeover: it was silent for
// dead_after, and heartbeats are sent each heartbeat_interval.
constexpr clock::duration silence_before_takeover =
    membership::dead_after - membership::heartbeat_interval;

}  // namespace

void target_owner::on_target_packet(std::string_view address, const wire::packet& content,
                                    clock::time_point now) {
    struct entry {
        packet_kind kind;
        target_handler handle;
    };
    static constexpr std::array table{
        entry{packet_kind::open_accepted, &target_owner::on_opened},
        entry{packet_kind::answer, &target_owner::on_answer},
        entry{packet_kind::shed, &target_owner::on_shed},
        entry{packet_kind::push, &target_owner::on_push},
        entry{packet_kind::reset, &target_owner::on_reset},
        entry{packet_kind::report, &target_owner::on_report},
    };
    ++shared_.counts.packets_from_targets;
    const auto* target = shared_.configuration.find_target_by_address(address);
    const auto* found = std::ranges::find(table, content.kind, &entry::kind);
    if (target == nullptr || found == table.end()) {
        shared_.out.drop(content, result_code::malformed_datagram);
        return;
    }
    (this->*found->handle)(*target, content, now);
}

void target_owner::on_opened(const configuration::target& /*target*/, const wire::packet& content,
                             clock::time_point now) {
    auto* known = shared_.flows.find(routing::key_of(content));
    if (known != nullptr) {
        known->state = flows::flow_state::established;
        known->last_used = now;
    }
    shared_.out.send_caller(content);
}

void target_owner::on_answer(const configuration::target& target, const wire::packet& content,
                             clock::time_point now) {
    const auto id = id_of(content);
    auto* known = shared_.requests.find(id);
    if (known == nullptr) {
        on_inherited_answer(target, content, now);
        return;
    }
    // Failure: the answer to an earlier dispatch, or to an earlier request of the same number, is
    // taken for that of the last dispatch. The slot would be free while the target still works.
    const bool is_of_last_dispatch =
        known->target == target.name && known->dispatch == content.dispatch && known->attempts > 0;
    if (!is_of_last_dispatch && !known->is_in_doubt) {
        shared_.out.drop(content, result_code::unknown_request);
        return;
    }
    if (is_of_last_dispatch && known->holds_slot) {
        free_slot(*known, load::ending::answered, now);
    }
    // A late answer is the truth that `unknown` left open. Nothing follows any other outcome.
    const bool is_open_still =
        known->state != request_state::ended || known->content.kind == packet_kind::unknown;
    if (is_open_still) {
        note_inherited_end(target, is_of_last_dispatch);
        end_request(*known, content, now);
    } else if (known->content.kind == packet_kind::refused) {
        shared_.out.log(log_event{"answer_after_refusal"}
                            .with("target", target.name)
                            .with("flow", content.flow)
                            .with("request", content.request));
    }
    dispatch_waiting(target, now);
}

// Dispatched by an owner that died: the answer is whole and names its request. Once no request of
// an earlier owner can be running, such an answer is older than the records and its number may have
// been used again.
void target_owner::on_inherited_answer(const configuration::target& target,
                                       const wire::packet& content, clock::time_point now) {
    const auto id = id_of(content);
    const bool is_expected = now < shared_.loads[target.name].assumed_until;
    if (!is_expected || !shared_.requests.has_room(id.flow, content.payload.size())) {
        shared_.out.drop(content, result_code::unknown_request);
        return;
    }
    auto& added = shared_.requests.add(id, reply_to(content, packet_kind::request, result_code::ok),
                                       target.name, now);
    added.fingerprint = records::any_content;
    added.is_in_doubt = true;
    note_inherited_end(target, false);
    end_request(added, content, now);
    dispatch_waiting(target, now);
}

// One request of an earlier owner has ended, so one slot fewer can be taken by such requests.
void target_owner::note_inherited_end(const configuration::target& target, bool is_own) {
    if (is_own) {
        return;
    }
    auto& load = shared_.loads[target.name];
    ++load.inherited_answers;
    const int unanswered = std::max(0, target.slots - load.inherited_answers);
    load.assumed_slots = std::min(load.assumed_slots, unanswered);
}

void target_owner::on_shed(const configuration::target& target, const wire::packet& content,
                           clock::time_point now) {
    auto* known = shared_.requests.find(id_of(content));
    const bool is_of_last_dispatch = known != nullptr && known->target == target.name &&
                                     known->holds_slot && known->dispatch == content.dispatch;
    if (!is_of_last_dispatch) {
        return;
    }
    free_slot(*known, load::ending::not_run, now);
    auto& load = shared_.loads[target.name];
    // Requests of an earlier owner may fill the slots: then a shed says nothing about the target.
    if (load.assumed_slots == 0 && load.cold.on_shed(now)) {
        log_cold_start(target, "shed");
    }
    if (known->state == request_state::dispatched) {
        retry_or_refuse(target, *known, content.come_back_ms, now);
    }
    dispatch_waiting(target, now);
}

// The target has not run the request. A repeatable one waits for a slot again while this owner has
// other work there, whose end shows that the target takes work again; else it would be shed at
// once.
void target_owner::retry_or_refuse(const configuration::target& target, request& subject,
                                   std::int32_t come_back_ms, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    const bool may_retry =
        may_run_twice(subject.content) && subject.attempts < records::max_attempts;
    if (may_retry && load.slots_in_use > 0) {
        shared_.requests.requeue(subject);
        load::requeue(load, work_of(subject, load), now);
        return;
    }
    give_up(subject, result_code::shed_by_target,
            clock::duration{std::max(come_back_ms, std::int32_t{1})}, now);
}

void target_owner::on_push(const configuration::target& /*target*/, const wire::packet& content,
                           clock::time_point now) {
    if (auto* known = shared_.flows.find(routing::key_of(content))) {
        known->last_used = now;
    }
    shared_.out.send_caller(content);
}

// Failure: a late or repeated reset of a target that was only asked about a flow ends the flow,
// which lives on another target. Only the target that the flow is placed on can end it.
// Failure: a packet of a closed flow reaches the target before the opening of the flow that uses
// its number again, and the reset ends the new flow. While a flow opens, its target accepts it.
void target_owner::on_reset(const configuration::target& target, const wire::packet& content,
                            clock::time_point now) {
    const auto key = routing::key_of(content);
    const auto* flow = shared_.flows.find(key);
    const bool is_other = flow != nullptr && (flow->record.target != target.name ||
                                              flow->state == flows::flow_state::opening);
    if (is_other) {
        return;
    }
    for (const auto number : shared_.requests.numbers_of(key)) {
        auto& subject = *shared_.requests.find({key, number});
        if (subject.target == target.name) {
            end_on_reset(subject, now);
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

// Failure: the target resets a cancellation on a flow that was closed while its request runs, and
// the request is taken for one that was not run. A reset doesn't say which packet it answers, so a
// dispatched request may have run and may still be running; its slot stays taken.
void target_owner::end_on_reset(request& subject, clock::time_point now) {
    if (subject.state == request_state::waiting) {
        give_up(subject, result_code::unknown_flow, clock::duration{0}, now);
    } else if (subject.state == request_state::dispatched) {
        end_request(subject,
                    reply_to(subject.content, packet_kind::unknown, result_code::outcome_unknown),
                    now);
    }
}

void target_owner::on_report(const configuration::target& target, const wire::packet& content,
                             clock::time_point now) {
    auto& load = shared_.loads[target.name];
    const auto& said = content.report_of_target;
    load.inherited.on_report(said.connections, load.connections, now);
    if (load.cold.on_report(said.is_cold, now)) {
        log_cold_start(target, "report");
    }
    if (is_later_than_inherited_work(target, content, now)) {
        load.assumed_slots = std::min(load.assumed_slots, std::max(0, said.slots_in_use));
        dispatch_waiting(target, now);
    }
}

void target_owner::log_cold_start(const configuration::target& target, std::string_view seen_by) {
    shared_.out.log(log_event{"cold_start"}.with("target", target.name).with("seen_by", seen_by));
}

// Failure: a report from before the takeover, or one that lags, shows free slots that the dead
// owner filled afterwards, and the target gets more than its slots. A question's sequence is the
// time of asking. What the report shows is at most report_lag older, so a question asked late
// enough shows the target after the dead owner's last dispatch, from when its work can only end.
// What this owner dispatched since is counted in as well, which errs on the safe side.
bool target_owner::is_later_than_inherited_work(const configuration::target& target,
                                                const wire::packet& report,
                                                clock::time_point now) const {
    const auto taken_over_at = shared_.loads[target.name].assumed_until - inherited_lifetime;
    const auto asked = to_time_point(report.sequence);
    return asked >= taken_over_at + report_lag - silence_before_takeover && asked <= now;
}

}  // namespace bramleytrack::requests
