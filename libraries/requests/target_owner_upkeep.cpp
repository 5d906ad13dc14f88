// What an owner does unasked: takes targets on, asks them for reports, and ends what is overdue.
#include "requests/target_owner.h"
#include "requests/work_of_request.h"

namespace bramleytrack::requests {
namespace {

using wire::packet_kind;

// How often an owner asks its target for a report: always, and while it assumes that slots are
// taken.
constexpr clock::duration report_interval{1'000};
constexpr clock::duration assuming_report_interval{200};
// How often on_tick is called.
constexpr clock::duration tick_length{100};

}  // namespace

void target_owner::on_gained(const configuration::target& target, membership::origin how,
                             clock::time_point now) {
    auto& load = shared_.loads[target.name];
    load = {};
    count_records(target, now);
    if (how == membership::origin::taken_over) {
        // Failure: requests of the dead owner still run and fill the slots; a new one on top
        // overloads the target. It shows as more work than slots. Nothing runs past its deadline;
        // answers and reports end the assumption sooner.
        load.assumed_slots = target.slots;
        load.assumed_until = now + inherited_lifetime;
        const auto heard = shared_.reported_loads.find(target.name);
        load.inherited.begin(heard == shared_.reported_loads.end()
                                 ? std::nullopt
                                 : std::optional{heard->second.connections},
                             now);
    }
    // What waits is dispatched by the next tick: a hand-over restores the slots that an earlier
    // owner may have in use, and the cold start, only after this call.
    ask_for_report(target, now);
}

void target_owner::on_merged(const configuration::target& target, clock::time_point now) {
    count_records(target, now);
}

void target_owner::count_records(const configuration::target& target, clock::time_point now) {
    auto& load = shared_.loads[target.name];
    load.connections = shared_.flows.count_on(target.name);
    count_slots(target.name);
    // Failure: requests that a hand-over brings while they wait have left the queue of the owner
    // before and are in no queue here; their callers would get no answer until the deadline.
    load.queue.take_all();
    for (const auto& id : shared_.requests.waiting_on(target.name)) {
        load::requeue(load, work_of(*shared_.requests.find(id), load), now);
    }
}

void target_owner::on_tick(clock::time_point now) {
    for (const auto& id : shared_.requests.due(now)) {
        if (auto* subject = shared_.requests.find(id)) {
            expire(*subject, now);
        }
    }
    for (const auto& [name, owned] : shared_.ownership.owned()) {
        const auto* target = shared_.configuration.find_target(name);
        if (target == nullptr) {
            continue;
        }
        dispatch_waiting(*target, now);
        // A removed target without flows may be gone and its address in use by something else.
        const bool is_gone = target->state == configuration::target_state::removed &&
                             shared_.flows.count_on(name) == 0;
        if (is_gone) {
            continue;
        }
        const auto& load = shared_.loads[name];
        const bool is_assuming = load.assumed_slots > 0 && now < load.assumed_until;
        const auto interval = is_assuming ? assuming_report_interval : report_interval;
        if (to_milliseconds(now) % interval.count() < tick_length.count()) {
            ask_for_report(*target, now);
        }
    }
}

void target_owner::expire(request& subject, clock::time_point now) {
    if (subject.state == request_state::waiting) {
        give_up(subject, result_code::deadline_too_near, clock::duration{0}, now);
        return;
    }
    const bool was_running = subject.holds_slot;
    if (was_running) {
        free_slot(subject, load::run_outcome::timed_out, now);
    }
    if (subject.state == request_state::dispatched) {
        end_request(subject,
                    reply_to(subject.content, packet_kind::unknown, result_code::deadline_passed),
                    now);
        return;
    }
    if (!was_running) {
        shared_.requests.erase(subject.id);
    }
}

void target_owner::ask_for_report(const configuration::target& target, clock::time_point now) {
    wire::packet question;
    question.kind = packet_kind::report_wanted;
    question.sequence = to_milliseconds(now);
    shared_.out.send_target(target, std::move(question));
}

}  // namespace bramleytrack::requests
