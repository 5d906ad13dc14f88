#include "flows/flow_query_responder.h"

#include "routing/candidates.h"

namespace bramleytrack::flows {
namespace {

// A later reset is no longer relevant: the requesting lookup has timed out.
constexpr clock::duration probe_lifetime{3'000};
constexpr std::size_t max_pending_probes = 16'384;

bool is_opening_packet(const wire::forward& forwarded) {
    return forwarded.content.kind == wire::packet_kind::open;
}

}  // namespace

void flow_query_responder::on_query(std::string_view requester, const wire::flow_query& query,
                                    clock::time_point now) {
    const auto key = routing::key_of(query.content.content);
    const auto* existing = shared_.flows.find(key);
    if (existing != nullptr && is_same_flow(*existing, query.content.content)) {
        reply_with_target(requester, query.content, existing->record.target, now);
        return;
    }
    const auto location = shared_.locations.find(key);
    if (existing == nullptr && !location.empty()) {
        reply_with_target(requester, query.content, location, now);
        return;
    }
    // Peers with an older configuration may take this instance for the home of a flow that
    // `requester` is about to place. A copy of the opening packet that arrives here next would then
    // open the flow at a second target, so such copies are forwarded to the requester from now on.
    if (is_opening_packet(query.content) && requester != shared_.self.name) {
        delegated_openings_[key] = {.home = std::string{requester}, .since = now};
    }
    const bool is_certain = is_ruled_out(query.content, now);
    if (!is_certain && query.ask_target) {
        probe_target(requester, query.content, now);
    }
    reply(requester, query.content, is_certain, now);
}

bool flow_query_responder::is_ruled_out(const wire::forward& forwarded,
                                        clock::time_point now) const {
    const auto* target = shared_.configuration.find_target(forwarded.target);
    // No flow can continue on a target that is not configured or whose zone is out of service,
    // because nothing is sent to such a target.
    if (target == nullptr || !shared_.configuration.is_zone_in(target->zone)) {
        return true;
    }
    // A flow that is being opened would be in the records of an owner whose ownership is older than
    // any copy of its opening packet. An established flow may be older than every current
    // ownership, so the absence of a record proves nothing.
    const auto* owned = shared_.ownership.find(forwarded.target);
    return owned != nullptr && is_opening_packet(forwarded) &&
           now - owned->since >= opening_lifetime;
}

// Sends an acknowledgement up to sequence 0 (reply_to leaves the sequence at its default), which
// acknowledges nothing. A target that does not hold the flow sends a reset. A target that holds it
// sends nothing and changes only the return address of the flow: its subsequent pushes, which are
// data that answers no request, go to this instance.
void flow_query_responder::probe_target(std::string_view requester, const wire::forward& forwarded,
                                        clock::time_point now) {
    const auto* target = shared_.configuration.find_target(forwarded.target);
    if (target == nullptr || shared_.ownership.find(forwarded.target) == nullptr ||
        pending_probes_.size() >= max_pending_probes) {
        return;
    }
    pending_probes_[{routing::key_of(forwarded.content), forwarded.target}] = {
        .requester = std::string{requester}, .forwarded = forwarded, .since = now};
    auto probe =
        reply_to(forwarded.content, wire::packet_kind::acknowledge, result_code::flow_in_doubt);
    probe.request = 0;
    shared_.out.send_target(*target, std::move(probe));
}

bool flow_query_responder::on_reset(const configuration::target& target,
                                    const wire::packet& content, clock::time_point now) {
    const auto found = pending_probes_.find({routing::key_of(content), target.name});
    if (found == pending_probes_.end()) {
        return false;
    }
    const auto pending = std::move(found->second);
    pending_probes_.erase(found);
    reply(pending.requester, pending.forwarded, true, now);
    return true;
}

void flow_query_responder::reply(std::string_view requester, const wire::forward& forwarded,
                                 bool is_certain, clock::time_point now) {
    wire::flow_query_answer answer;
    answer.content = forwarded;
    answer.is_known = false;
    answer.is_certain = is_certain;
    answer_(requester, answer, now);
}

void flow_query_responder::reply_with_target(std::string_view requester,
                                             const wire::forward& forwarded,
                                             std::string_view target, clock::time_point now) {
    wire::flow_query_answer answer;
    answer.content = forwarded;
    answer.is_known = true;
    answer.is_certain = true;
    answer.target = target;
    answer_(requester, answer, now);
}

void flow_query_responder::on_tick(clock::time_point now) {
    std::erase_if(pending_probes_,
                  [now](const auto& entry) { return now - entry.second.since >= probe_lifetime; });
    std::erase_if(delegated_openings_, [now](const auto& entry) {
        return now - entry.second.since >= opening_lifetime;
    });
}

std::string flow_query_responder::home_delegated_to(routing::flow_key key,
                                                    clock::time_point now) const {
    const auto found = delegated_openings_.find(key);
    const bool is_valid =
        found != delegated_openings_.end() && now - found->second.since < opening_lifetime;
    return is_valid ? found->second.home : std::string{};
}

}  // namespace bramleytrack::flows
