#include "records/request_table.h"

#include <algorithm>

#include "base/hash.h"

namespace bramleytrack::records {
namespace {

// When the request next needs processing: at its deadline while it waits, after the deadline and
// its grace period while it holds a slot, and otherwise when its record expires.
clock::time_point due_at(const request& entry) {
    if (entry.state == request_state::waiting) {
        return entry.deadline;
    }
    return entry.holds_slot ? entry.deadline + deadline_grace : entry.forget_at;
}

wire::request_record record_of(const request& entry) {
    wire::request_record record;
    record.flow_key = static_cast<std::int64_t>(entry.id.flow);
    record.request = entry.id.number;
    record.state = static_cast<std::int32_t>(entry.state);
    record.deadline = to_milliseconds(entry.deadline);
    record.content = entry.content;
    record.dispatch = entry.dispatch;
    record.forget_at = to_milliseconds(entry.forget_at);
    record.fingerprint = static_cast<std::int64_t>(entry.fingerprint);
    record.is_in_doubt = entry.may_have_run;
    record.holds_slot = entry.holds_slot;
    record.is_flow_closed = entry.is_flow_closed;
    record.attempts = entry.attempts;
    record.arrived = to_milliseconds(entry.arrived);
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

bool request_table::has_capacity(routing::flow_key flow, std::size_t payload_bytes) const {
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
    update_payload_bytes(added);
    reschedule(added);
    return added;
}

void request_table::dispatch(request& entry, std::int64_t dispatch) {
    entry.state = request_state::dispatched;
    entry.dispatch = dispatch;
    ++entry.attempts;
    set_holds_slot(entry, true);
}

void request_table::requeue(request& entry) {
    entry.state = request_state::waiting;
    set_holds_slot(entry, false);
}

void request_table::end(request& entry, wire::packet outcome, clock::time_point now) {
    entry.state = request_state::ended;
    entry.content = std::move(outcome);
    update_payload_bytes(entry);
    extend_retention(entry, now);
}

void request_table::free_slot(request& entry) {
    set_holds_slot(entry, false);
}

void request_table::extend_retention(request& entry, clock::time_point now) {
    entry.forget_at = std::max(entry.forget_at, now + max_request_lifetime);
    reschedule(entry);
}

void request_table::erase(const request_id& id) {
    if (auto* entry = find(id)) {
        remove(*entry);
    }
}

std::vector<std::int64_t> request_table::numbers_of(routing::flow_key flow) const {
    std::vector<std::int64_t> result;
    const auto found = flows_.find(flow);
    if (found != flows_.end()) {
        std::ranges::transform(found->second, std::back_inserter(result),
                               [](const auto& numbered) { return numbered.first; });
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

int request_table::slots_held_on(std::string_view target) const {
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
    restored.may_have_run = record.is_in_doubt;
    restored.is_flow_closed = record.is_flow_closed;
    restored.attempts = record.attempts;
    restored.arrived = to_time_point(record.arrived);
    restored.content = record.content;
    set_holds_slot(restored, record.holds_slot);
    update_payload_bytes(restored);
    reschedule(restored);
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

void request_table::reschedule(request& entry) {
    due_.erase({entry.due, entry.id});
    entry.due = due_at(entry);
    due_.insert({entry.due, entry.id});
}

void request_table::set_holds_slot(request& entry, bool holds_slot) {
    if (entry.holds_slot != holds_slot) {
        slots_[entry.target] += holds_slot ? 1 : -1;
        entry.holds_slot = holds_slot;
    }
    reschedule(entry);
}

void request_table::update_payload_bytes(request& entry) {
    payload_bytes_ -= entry.payload_bytes;
    entry.payload_bytes = entry.content.payload.size();
    payload_bytes_ += entry.payload_bytes;
}

void request_table::remove(request& entry) {
    const auto id = entry.id;
    set_holds_slot(entry, false);
    due_.erase({entry.due, id});
    payload_bytes_ -= entry.payload_bytes;
    --size_;
    const auto flow = flows_.find(id.flow);
    flow->second.erase(id.number);
    if (flow->second.empty()) {
        flows_.erase(flow);
    }
}

}  // namespace bramleytrack::records
