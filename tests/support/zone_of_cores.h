// The instances of one zone, with the messages between them under the test's control: each message
// can be delivered, dropped, duplicated or reordered. For tests that depend on the order of
// messages; no network is simulated.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "instance/instance.h"
#include "support/fake_target.h"
#include "support/target_addresses.h"
#include "wire/codec.h"

namespace bramleytrack::testing {

class zone_of_cores {
public:
    struct delivery {
        std::string sender;
        std::string receiver;
        wire::peer_message content;
    };
    // Returns true for a message that is to be dropped.
    using loss_filter = std::function<bool(const delivery&)>;

    // All `targets` serve one service; each has two slots and capacity for many flows.
    explicit zone_of_cores(std::vector<std::string> targets);

    // Starts an instance, or restarts it under the same name and address.
    void start(const std::string& name, std::int64_t clock_offset = 0);
    void kill(const std::string& name);
    void pause(const std::string& name) { cores_.at(name).is_paused = true; }
    // Resumes a paused instance. Datagrams that arrived during the pause are in flight afterwards;
    // no tick has run yet.
    void resume(const std::string& name);
    void leave(const std::string& name) { cores_.at(name).core->leave(); }
    void retire(const std::string& name, bool is_retired);
    void remove_target(const std::string& target);

    void set_loss_filter(loss_filter filter) { loss_filter_ = std::move(filter); }
    void deliver_all();
    // Deliver, duplicate or drop the message at `index`.
    void deliver(std::size_t index);
    void duplicate(std::size_t index) { in_flight_.push_back(in_flight_.at(index)); }
    void drop(std::size_t index);
    std::size_t in_flight() const { return in_flight_.size(); }

    void tick(const std::string& name);
    void advance_clock(clock::duration time) { now_ += time; }
    // Advances the time, ticks every running instance and delivers all messages after each tick.
    void advance(clock::duration time);

    void open(std::int64_t flow, const std::string& via);
    void request(std::int64_t flow, std::int64_t number, const std::string& via,
                 wire::repetition may_repeat = wire::repetition::at_most_once);
    void data(std::int64_t flow, const std::string& via);
    void answer(std::int64_t flow_number, std::int64_t request);

    // The instances that own `target` and may send it new work. A resumed instance isn't counted
    // before its first event, at which it drops its ownerships.
    std::vector<std::string> owners(std::string_view target) const;
    // The winner of the rendezvous hashing for `target` among `names`.
    static std::string winner(const std::vector<std::string>& names, std::string_view target);

    clock::time_point now() const { return now_; }
    bool is_running(const std::string& name) const;
    // Killed, or stopped at the end of a planned leave.
    bool is_dead(const std::string& name) const { return cores_.at(name).is_dead; }
    const instance& core(const std::string& name) const { return *cores_.at(name).core; }
    const fake_target& target(const std::string& name) { return targets_[name]; }
    // The highest number of runs of any request.
    int max_runs() const;
    const std::vector<wire::packet>& caller_packets() const { return caller_packets_; }
    int outcomes(std::int64_t flow, std::int64_t number, wire::packet_kind kind) const;

    std::int64_t messages_sent = 0;
    std::int64_t bytes_sent = 0;

private:
    struct instance_state {
        std::unique_ptr<instance> core;
        bool is_paused = false;
        bool is_dead = false;
        clock::time_point last_event;
        std::vector<delivery> held_messages;  // arrived during a pause
    };

    void collect(const std::string& name);
    void execute(const std::string& name, const action& requested);
    void reply(const std::string& target, const fake_target::reply& response);
    void send(wire::packet packet, const std::string& via);
    void apply();
    std::string configuration_text();

    clock::time_point now_ = to_time_point(1'000'000'000);
    std::vector<std::string> target_names_;
    std::map<std::string, bool> retired_;
    std::int64_t version_ = 1;
    std::map<std::string, instance_state> cores_;
    std::map<std::string, fake_target> targets_;
    target_addresses addresses_;
    std::deque<delivery> in_flight_;
    loss_filter loss_filter_;
    std::vector<wire::packet> caller_packets_;
    wire::encoder encoder_;
};

}  // namespace bramleytrack::testing
