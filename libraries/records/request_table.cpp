#include "records/request_table.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::records {
namespace {

// The next time at which something has to happen to the request.
clock::time_point due_at(const request& subject) {
    if (subject.state == request_state::waiting) {
        return subject.deadline;
    }
    return subject.holds_slot ? subject.deadline + deadline_grace : subject.forget_at;
}

wire::request_record record_of(const request& subject) {
    wire::request_record record;
    record.flow_key = static_cast<std::int64_t>(subject.id.flow);
    record.request = subject.id.number;
    record.state = static_cast<std::int32_t>(subject.state);
    record.deadline = to_milliseconds(subject.deadline);
    record.content = subject.content;
    record.dispatch = subject.dispatch;
    record.forget_at = to_milliseconds(subject.forget_at);
    record.fingerprint = static_cast<std::int64_t>(subject.fingerprint);
    record.is_in_doubt = subject.is_in_doubt;
    record.holds_slot = subject.holds_slot;
    record.is_flow_closed = subject.is_flow_closed;
    record.attempts = subject.attempts;
    record.arrived = to_milliseconds(subject.arrived);
    return record;
}

}  // namespace

std::uint64_t fingerprint_of(const wire::packet& content) {
    return hash_of(hash_of(content.payload), static_cast<std::uint64_t>(content.may_repeat));
}

request* request_table::find(const request_id& id) {
    const auto flow = flows_.find(id.flow);
    if (flow == flows_.end()) {
        return nullptr;
    }
    const auto found = flow->second.find(id.number);
    return found == flow->second.end() ? nullptr : &found->second;
}

bool request_table::has_room(routing::flow_key flow, std::size_t payload_bytes) const {
    const auto found = flows_.find(flow);
    const bool is_flow_full = found != flows_.end() && found->second.size() >= max_records_per_flow;
    return !is_flow_full && size_ < max_records &&
           payload_bytes_ + payload_bytes <= max_payload_bytes;
}

request& request_table::add(const request_id& id, wire::packet content, std::string_view target,
                            clock::time_point now) {
    const auto deadline = std::min(to_time_point(content.deadline), now + max_request_lifetime);
    content.deadline = to_milliseconds(deadline);
    erase(id);
    auto& added = flows_[id.flow][id.number];
    ++size_;
    added.id = id;
    added.fingerprint = fingerprint_of(content);
    added.content = std::move(content);
    added.target = target;
    added.arrived = now;
    added.deadline = deadline;
    added.forget_at = now + max_request_lifetime;
    count_payload(added);
    set_due(added);
    return added;
}

void request_table::dispatch(request& subject, std::int64_t dispatch) {
    subject.state = request_state::dispatched;
    subject.dispatch = dispatch;
    ++subject.attempts;
    set_slot(subject, true);
}

void request_table::requeue(request& subject) {
    subject.state = request_state::waiting;
    set_slot(subject, false);
}

void request_table::end(request& subject, wire::packet outcome, clock::time_point now) {
    subject.state = request_state::ended;
    subject.content = std::move(outcome);
    count_payload(subject);
    renew(subject, now);
}

void request_table::free_slot(request& subject) {
    set_slot(subject, false);
}

void request_table::renew(request& subject, clock::time_point now) {
    subject.forget_at = std::max(subject.forget_at, now + max_request_lifetime);
    set_due(subject);
}

void request_table::erase(const request_id& id) {
    if (auto* known = find(id)) {
        remove(*known);
    }
}

std::vector<std::int64_t> request_table::numbers_of(routing::flow_key flow) const {
    std::vector<std::int64_t> result;
    const auto found = flows_.find(flow);
    if (found != flows_.end()) {
        std::ranges::transform(found->second, std::back_inserter(result),
                               [](const auto& entry) { return entry.first; });
    }
    return result;
}

std::vector<request_id> request_table::due(clock::time_point now) const {
    std::vector<request_id> result;
    for (const auto& [time, id] : due_) {
        if (time > now) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

int request_table::dispatched_on(std::string_view target) const {
    const auto found = slots_.find(std::string{target});
    return found == slots_.end() ? 0 : found->second;
}

std::vector<request_id> request_table::waiting_on(std::string_view target) const {
    std::vector<request_id> result;
    for_each([&](const request& each) {
        if (each.target == target && each.state == request_state::waiting) {
            result.push_back(each.id);
        }
    });
    std::ranges::sort(result);
    return result;
}

std::vector<wire::request_record> request_table::records_on(std::string_view target) const {
    std::vector<wire::request_record> result;
    for_each([&](const request& each) {
        if (each.target == target) {
            result.push_back(record_of(each));
        }
    });
    return result;
}

void request_table::restore(const wire::request_record& record, std::string_view target) {
    const request_id id{static_cast<routing::flow_key>(record.flow_key), record.request};
    erase(id);
    auto& restored = flows_[id.flow][id.number];
    ++size_;
    restored.id = id;
    restored.state = static_cast<request_state>(record.state);
    restored.target = target;
    restored.deadline = to_time_point(record.deadline);
    restored.dispatch = record.dispatch;
    restored.forget_at = to_time_point(record.forget_at);
    restored.fingerprint = static_cast<std::uint64_t>(record.fingerprint);
    restored.is_in_doubt = record.is_in_doubt;
    restored.is_flow_closed = record.is_flow_closed;
    restored.attempts = record.attempts;
    restored.arrived = to_time_point(record.arrived);
    restored.content = record.content;
    set_slot(restored, record.holds_slot);
    count_payload(restored);
    set_due(restored);
}

void request_table::erase_on(std::string_view target) {
    std::vector<request_id> found;
    for_each([&](const request& each) {
        if (each.target == target) {
            found.push_back(each.id);
        }
    });
    for (const auto& id : found) {
        erase(id);
    }
}

void request_table::set_due(request& subject) {
    due_.erase({subject.due, subject.id});
    subject.due = due_at(subject);
    due_.insert({subject.due, subject.id});
}

void request_table::set_slot(request& subject, bool holds_slot) {
    if (subject.holds_slot != holds_slot) {
        slots_[subject.target] += holds_slot ? 1 : -1;
        subject.holds_slot = holds_slot;
    }
    set_due(subject);
}

void request_table::count_payload(request& subject) {
    payload_bytes_ -= subject.payload_bytes;
    subject.payload_bytes = subject.content.payload.size();
    payload_bytes_ += subject.payload_bytes;
}

void request_table::remove(request& subject) {
    const auto id = subject.id;
    set_slot(subject, false);
    due_.erase({subject.due, id});
    payload_bytes_ -= subject.payload_bytes;
    --size_;
    const auto flow = flows_.find(id.flow);
    flow->second.erase(id.number);
    if (flow->second.empty()) {
        flows_.erase(flow);
    }
}

}  // namespace bramleytrack::records
