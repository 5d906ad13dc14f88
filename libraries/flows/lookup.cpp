#include "flows/lookup.h"

#include <algorithm>

#include "routing/candidates.h"

namespace bramleytrack::flows {
namespace {

using wire::packet_kind;

// Lost queries and answers are repeated after this time.
constexpr clock::duration repeat_interval{200};
// A target that knows the flow says nothing. So long after it was asked, silence counts as
// knowledge if every other candidate is ruled out: many times the round trip.
constexpr clock::duration silence_limit{100};
// Failure: this instance has an old configuration and doesn't know the target that a peer with the
// new one has placed the flow on; a reset would break a live flow. Two heartbeats tell of the new
// version, so a flow that is nowhere is reset only after them.
constexpr clock::duration reset_delay{2 * membership::heartbeat_interval};
// Two owners' heartbeats lost: a peer is dead or heard within this time.
constexpr clock::duration lookup_timeout{3'000};
constexpr clock::duration retry_after{1'000};

bool is_open(const wire::forward& content) {
    return content.content.kind == packet_kind::open;
}

}  // namespace

void lookup::start(wire::forward content, clock::time_point now) {
    const auto key = routing::key_of(content.content);
    if (running_.contains(key)) {
        shared_.out.drop(content.content, result_code::flow_in_doubt);
        return;
    }
    if (running_.size() >= max_lookups) {
        give_up(content);
        return;
    }
    running added;
    added.undecided = candidates(content);
    added.configuration_version = shared_.configuration.version;
    added.held = std::move(content);
    added.since = now;
    added.stage_began = now;
    running_.emplace(key, std::move(added));
    ask_all(key, now);
    review(key, now);
}

std::vector<lookup::candidate> lookup::candidates(const wire::forward& content) const {
    std::vector<candidate> result;
    add_candidates(shared_.configuration, content, result);
    for (const auto& each : shared_.previous.all()) {
        add_candidates(each.content, content, result);
    }
    return result;
}

// Failure: an address is given to another service, and a packet of a flow that was opened before is
// looked for among the new service's targets only; the flow ends, or its packets reach a stranger.
// So the service that had the address under `configuration` counts as well.
void lookup::add_candidates(const configuration::configuration& configuration,
                            const wire::forward& content, std::vector<candidate>& result) const {
    const auto key = routing::key_of(content.content);
    const auto* at_address = configuration.find_service_by_address(content.content.service_address);
    std::vector<std::string_view> services{content.service_name};
    if (at_address != nullptr && at_address->name != content.service_name && !is_open(content)) {
        services.emplace_back(at_address->name);
    }
    for (const auto service : services) {
        for (const auto* each : routing::candidates_of(configuration, service, key)) {
            const auto* current = shared_.configuration.find_target(each->name);
            const bool is_served = current != nullptr && current->service == service &&
                                   shared_.configuration.is_zone_in(current->zone);
            const bool is_new =
                std::ranges::find(result, each->name, &candidate::target) == result.end();
            if (is_served && is_new && result.size() < max_candidates_asked) {
                result.push_back({.target = each->name});
            }
        }
    }
}

void lookup::ask_all(routing::flow_key key, clock::time_point now) {
    auto& subject = running_.at(key);
    subject.asked = now;
    wire::flow_query query;
    query.content = subject.held;
    query.content.content.payload.clear();
    query.ask_target = subject.targets_asked.has_value();
    const auto undecided = subject.undecided;
    for (const auto& each : undecided) {
        if (!running_.contains(key)) {
            return;  // an answer of this instance's own ended the lookup
        }
        query.content.target = each.target;
        ask_(query, now);
    }
}

void lookup::on_answer(const wire::flow_query_answer& answer, clock::time_point now) {
    const auto key = routing::key_of(answer.content.content);
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    if (answer.is_known) {
        finish(key, answer.target, now);
        return;
    }
    auto& undecided = found->second.undecided;
    const auto each = std::ranges::find(undecided, answer.content.target, &candidate::target);
    if (each == undecided.end()) {
        return;
    }
    each->has_answered = true;
    if (answer.is_certain) {
        undecided.erase(each);
    }
    review(key, now);
}

void lookup::review(routing::flow_key key, clock::time_point now) {
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    auto& subject = found->second;
    if (subject.undecided.empty() && widen(key, now)) {
        return;
    }
    if (subject.undecided.empty()) {
        subject.ruled_out = subject.ruled_out.value_or(now);
        if (is_open(subject.held) || now - *subject.ruled_out >= reset_delay) {
            finish(key, std::nullopt, now);
        }
        return;
    }
    if (!subject.targets_asked) {
        const bool have_all_answered =
            std::ranges::all_of(subject.undecided, &candidate::has_answered);
        if (have_all_answered || now - subject.stage_began >= repeat_interval) {
            subject.targets_asked = now;
            ask_all(key, now);
        }
        return;
    }
    const bool is_last = subject.undecided.size() == 1 && !is_open(subject.held);
    if (is_last && now - *subject.targets_asked >= silence_limit) {
        finish(key, subject.undecided.front().target, now);
    }
}

bool lookup::widen(routing::flow_key key, clock::time_point now) {
    auto& subject = running_.at(key);
    if (is_open(subject.held) || !subject.asked_targets.empty()) {
        return false;
    }
    for (const auto& each : candidates(subject.held)) {
        subject.asked_targets.push_back(each.target);
    }
    for (const auto& each : shared_.configuration.targets) {
        const bool is_asked =
            std::ranges::find(subject.asked_targets, each.name) != subject.asked_targets.end();
        const bool is_served = each.service == subject.held.service_name &&
                               shared_.configuration.is_zone_in(each.zone);
        if (is_served && !is_asked && subject.undecided.size() < max_targets_asked) {
            subject.undecided.push_back({.target = each.name});
        }
    }
    if (subject.undecided.empty()) {
        return false;
    }
    subject.targets_asked.reset();
    subject.stage_began = now;
    ask_all(key, now);
    review(key, now);
    return true;
}

void lookup::on_tick(clock::time_point now) {
    std::vector<routing::flow_key> keys;
    keys.reserve(running_.size());
    std::ranges::transform(running_, std::back_inserter(keys),
                           [](const auto& entry) { return entry.first; });
    std::ranges::sort(keys);  // the same order on every run
    for (const auto key : keys) {
        auto& subject = running_.at(key);
        if (now - subject.since >= lookup_timeout) {
            give_up(subject.held);
            running_.erase(key);
            continue;
        }
        const bool is_changed = subject.configuration_version != shared_.configuration.version;
        // Failure: a zone is taken out while an opening packet's copy is looked up; the target that
        // holds the flow is no candidate any more, and the flow is opened at a second one.
        if (is_changed && is_open(subject.held)) {
            give_up(subject.held);
            running_.erase(key);
            continue;
        }
        if (is_changed) {
            auto held = std::move(subject.held);
            running_.erase(key);
            start(std::move(held), now);
            continue;
        }
        if (!subject.undecided.empty() && now - subject.asked >= repeat_interval) {
            ask_all(key, now);
        }
        review(key, now);
    }
}

void lookup::finish(routing::flow_key key, std::optional<std::string> target,
                    clock::time_point now) {
    auto held = std::move(running_.at(key).held);
    running_.erase(key);
    shared_.out.log(log_event{"flow_looked_up"}
                        .with("service", held.service_name)
                        .with("caller", held.content.caller)
                        .with("flow", held.content.flow)
                        .with("target", target.value_or("none")));
    found_(std::move(held), std::move(target), now);
}

// A request that was dispatched under the owner before may have run, so its outcome is unknown.
void lookup::give_up(const wire::forward& content) {
    if (is_open(content)) {
        shared_.out.refuse(content.content, result_code::flow_in_doubt, retry_after);
    } else if (content.content.kind == packet_kind::request) {
        shared_.out.answer_unknown(content.content, result_code::flow_in_doubt);
    } else {
        shared_.out.drop(content.content, result_code::flow_in_doubt);
    }
}

bool lookup::is_opening(routing::flow_key key) const {
    const auto found = running_.find(key);
    return found != running_.end() && is_open(found->second.held);
}

std::optional<wire::forward> lookup::abandon(routing::flow_key key) {
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return std::nullopt;
    }
    auto held = std::move(found->second.held);
    running_.erase(found);
    return held;
}

}  // namespace bramleytrack::flows
