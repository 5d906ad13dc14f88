#include "flows/flow_query_responder.h"

#include "routing/candidates.h"

namespace bramleytrack::flows {
namespace {

// A reset that comes later than this answers nothing any more: the asker has given up.
constexpr clock::duration question_lifetime{3'000};
constexpr std::size_t max_questions = 16'384;

bool is_open(const wire::forward& content) {
    return content.content.kind == wire::packet_kind::open;
}

}  // namespace

void flow_query_responder::on_query(std::string_view asker, const wire::flow_query& query,
                                    clock::time_point now) {
    const auto key = routing::key_of(query.content.content);
    const auto* known = shared_.flows.find(key);
    if (known != nullptr && is_same_flow(*known, query.content.content)) {
        reply_known(asker, query.content, known->record.target, now);
        return;
    }
    const auto location = shared_.locations.find(key);
    if (known == nullptr && !location.empty()) {
        reply_known(asker, query.content, location, now);
        return;
    }
    // Failure: peers with an older configuration take this instance for the home of a flow that
    // `asker` is about to place, and a copy of its opening packet arrives here next: the flow would
    // be open at two targets. From now on such copies go to the asker.
    if (is_open(query.content) && asker != shared_.self.name) {
        ceded_[key] = {.home = std::string{asker}, .since = now};
    }
    const bool is_certain = is_ruled_out(query.content, now);
    if (!is_certain && query.ask_target) {
        ask_target(asker, query.content, now);
    }
    reply(asker, query.content, is_certain, now);
}

bool flow_query_responder::is_ruled_out(const wire::forward& content, clock::time_point now) const {
    const auto* target = shared_.configuration.find_target(content.target);
    if (target == nullptr || !shared_.configuration.is_zone_in(target->zone)) {
        return true;
    }
    // A flow that is just being opened would be in the records of an owner that is older than it.
    // One that is established may have been opened before any owner that is left.
    const auto* owned = shared_.ownership.find(content.target);
    return owned != nullptr && is_open(content) && now - owned->since >= opening_lifetime;
}

// An acknowledgement up to sequence 0 acknowledges nothing: a target that knows the flow ignores
// it, one that doesn't sends a reset. The target's next pushes come to this instance.
void flow_query_responder::ask_target(std::string_view asker, const wire::forward& content,
                                      clock::time_point now) {
    const auto* target = shared_.configuration.find_target(content.target);
    if (target == nullptr || shared_.ownership.find(content.target) == nullptr ||
        asked_.size() >= max_questions) {
        return;
    }
    asked_[{routing::key_of(content.content), content.target}] = {
        .asker = std::string{asker}, .content = content, .since = now};
    auto question =
        reply_to(content.content, wire::packet_kind::acknowledge, result_code::flow_in_doubt);
    question.request = 0;
    shared_.out.send_target(*target, std::move(question));
}

bool flow_query_responder::on_reset(const configuration::target& target,
                                    const wire::packet& content, clock::time_point now) {
    const auto found = asked_.find({routing::key_of(content), target.name});
    if (found == asked_.end()) {
        return false;
    }
    const auto question = std::move(found->second);
    asked_.erase(found);
    reply(question.asker, question.content, true, now);
    return true;
}

void flow_query_responder::reply(std::string_view asker, const wire::forward& content,
                                 bool is_certain, clock::time_point now) {
    wire::flow_query_answer answer;
    answer.content = content;
    answer.is_known = false;
    answer.is_certain = is_certain;
    answer_(asker, answer, now);
}

void flow_query_responder::reply_known(std::string_view asker, const wire::forward& content,
                                       std::string_view target, clock::time_point now) {
    wire::flow_query_answer answer;
    answer.content = content;
    answer.is_known = true;
    answer.is_certain = true;
    answer.target = target;
    answer_(asker, answer, now);
}

void flow_query_responder::on_tick(clock::time_point now) {
    std::erase_if(
        asked_, [now](const auto& entry) { return now - entry.second.since >= question_lifetime; });
    std::erase_if(
        ceded_, [now](const auto& entry) { return now - entry.second.since >= opening_lifetime; });
}

std::string flow_query_responder::ceded_to(routing::flow_key key, clock::time_point now) const {
    const auto found = ceded_.find(key);
    const bool is_valid = found != ceded_.end() && now - found->second.since < opening_lifetime;
    return is_valid ? found->second.home : std::string{};
}

}  // namespace bramleytrack::flows
