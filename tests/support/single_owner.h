// One instance that owns one target, without a network in between. Tests send packets on behalf of
// callers and the target, and inspect the packets that the owner sends.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "instance/instance.h"

namespace bramleytrack::testing {

class single_owner {
public:
    explicit single_owner(int slots = 2);

    // Advances past the time in which requests of an earlier owner may still be running.
    void advance_past_takeover();
    void advance(std::int64_t milliseconds);
    // Pauses the process: the next event is handled without a tick in between.
    void pause(std::int64_t milliseconds) { now_ += clock::duration{milliseconds}; }

    // Makes the target hold a flow that an earlier owner opened.
    void add_flow_at_target(std::int64_t flow) { flows_at_target_.insert(flow); }
    void open(std::int64_t flow);
    void close(std::int64_t flow);
    void request(std::int64_t flow, std::int64_t number, wire::repetition may_repeat,
                 const std::string& payload = "work", std::int64_t deadline_ms = 3000);
    void once(std::int64_t flow, std::int64_t number, std::int64_t deadline_ms = 3000) {
        request(flow, number, wire::repetition::at_most_once, "work", deadline_ms);
    }
    void cancel(std::int64_t flow, std::int64_t number);
    // Sends a reply of the target to `packet`, which it has received.
    void reply_from_target(wire::packet_kind kind, const wire::packet& packet);
    void report(int slots_in_use, clock::time_point requested_at);
    void send_from_target(const wire::packet& content);

    // The last packet of this kind that was sent to the target.
    std::optional<wire::packet> last_to_target(wire::packet_kind kind) const;
    int dispatches(std::int64_t flow, std::int64_t number) const;
    // All outcomes that the caller received for this request, in order.
    std::vector<wire::packet_kind> outcomes(std::int64_t flow, std::int64_t number) const;
    const std::vector<wire::packet>& to_caller() const { return to_caller_; }

    int slots_in_use() const { return core_.state().loads.at("board-1").slots_in_use; }
    int assumed_slots() const { return core_.state().loads.at("board-1").assumed_slots; }
    const context& state() const { return core_.state(); }
    clock::time_point now() const { return now_; }

private:
    wire::packet packet_of(wire::packet_kind kind, std::int64_t flow) const;
    void collect();
    void reply_immediately(const wire::packet& sent);

    clock::time_point now_ = to_time_point(1'000'000);
    instance core_;
    std::vector<wire::packet> to_caller_;
    std::vector<wire::packet> to_target_;
    std::set<std::int64_t> flows_at_target_;  // the target resets packets of other flows
};

// An owner with flow 1 open and no running requests of an earlier owner.
class owner_with_open_flow : public single_owner {
public:
    explicit owner_with_open_flow(int slots = 2) : single_owner{slots} {
        advance_past_takeover();
        open(1);
    }
};

}  // namespace bramleytrack::testing
