// How many new flows a cold target gets, over all instances together.
//
// A target that has just started bears a few new flows a second. Instances can't count together in
// time, so one of them alone opens flows to it: the owner, found by rendezvous hashing over the
// instances that are registered. Views of that list differ for up to a second after a change, and
// then two instances may think so; each therefore uses less than half of what the target bears.
//
// Failure: an owner is cut off and its entry lapses; its successor is cut off in turn; each goes on
// opening flows, and the third brings the target over what it bears. So an instance that hears
// neither the store nor a peer owns nothing, and a successor waits until whoever left the list must
// have noticed that.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/rate_budget.h"
#include "discovery/directory.h"

namespace bramleytrack::steering {

struct cold_gate_limits {
    // Of what the target bears in a second; two owners at once stay below the whole.
    double share = 0.4;
    double burst = 2;
    // After its own registration shows up, an instance waits until it must have seen those of all
    // others that started with it.
    clock::duration settle{1'000};
};

class cold_gate {
public:
    explicit cold_gate(std::string self, cold_gate_limits limits = {})
        : self_{std::move(self)}, limits_{limits} {}

    // This instance's registration is known to be in the store, or has lapsed.
    void on_registered(clock::time_point now);
    void on_registration_lost() { is_registered_ = false; }

    // Whether this instance hears neither the store nor a peer.
    void set_isolated(bool is_isolated) { is_isolated_ = is_isolated; }

    // Whether this instance may open a flow to the cold target now.
    bool may_open(const discovery::target& subject, double flows_per_second,
                  const discovery::directory& known, clock::time_point now);
    void note_opened(const discovery::target& subject, clock::time_point now);
    void expire(clock::time_point now);

private:
    bool is_owner(const discovery::target& subject, const discovery::directory& known) const;

    std::string self_;
    cold_gate_limits limits_;
    bool is_registered_ = false;
    bool is_isolated_ = false;
    clock::time_point registered_at_;
    std::unordered_map<discovery::routing_token, rate_budget> allowances_;
};

}  // namespace bramleytrack::steering
