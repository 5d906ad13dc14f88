// Limits the rate of new flows to a cold target, over all instances together.
//
// A target that has just started can take only a few new flows a second. Instances can't keep a
// common count in time, so only one of them, the owner, opens flows to it; the owner is found by
// rendezvous hashing over the registered instances. Views of that list differ for up to a second
// after a change, and two instances may then both act as the owner; each therefore uses less than
// half of what the target can take.
//
// Owners that lose their connections one after the other are guarded against as well: the first
// one's entry expires, its successor is cut off in turn, and each goes on opening flows, so that
// the third brings the target over its limit. An instance that receives nothing from the store or
// any peer therefore owns no target, and a successor waits until the instance that left the list
// must have noticed that it is cut off.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/rate_budget.h"
#include "discovery/directory.h"

namespace bramleytrack::steering {

struct cold_gate_limits {
    // The part of the target's rate limit that one owner uses; two owners at once stay below the
    // limit.
    double rate_fraction = 0.4;
    double burst = 2;
    // After its own registration becomes visible, an instance waits until it must have received
    // those of all instances that started at the same time.
    clock::duration settling_time{1'000};
};

class cold_gate {
public:
    explicit cold_gate(std::string self, cold_gate_limits limits = {})
        : self_{std::move(self)}, limits_{limits} {}

    // This instance's registration is confirmed to be in the store, or has expired.
    void on_registered(clock::time_point now);
    void on_registration_lost() { is_registered_ = false; }

    // Whether this instance receives nothing from the store or any peer.
    void set_isolated(bool is_isolated) { is_isolated_ = is_isolated; }

    // Whether this instance may open a flow to the cold target now.
    bool may_open(const discovery::target& target, double flows_per_second,
                  const discovery::directory& directory, clock::time_point now);
    void on_flow_opened(const discovery::target& target, clock::time_point now);
    void expire(clock::time_point now);

private:
    bool is_owner(const discovery::target& target, const discovery::directory& directory) const;

    std::string self_;
    cold_gate_limits limits_;
    bool is_registered_ = false;
    bool is_isolated_ = false;
    clock::time_point registered_at_;
    std::unordered_map<discovery::routing_token, rate_budget> allowances_;
};

}  // namespace bramleytrack::steering
