// The targets that this instance owns. Only the owner accounts for a target's load and holds the
// records of its flows and requests; two concurrent owners would overload the target and run
// requests twice.
//
// An instance takes over a target when it wins rendezvous hashing among the live instances of its
// zone and no live peer claims the target in its heartbeats. If a peer claims it, the instance
// requests a hand-over from that peer; ownership changes only with the hand-over.
//
// Each ownership of a target has an epoch higher than that of every earlier ownership seen by this
// instance. If two instances still claim one target, the claim with the higher epoch has
// precedence, or with equal epochs that of the greater name; the other instance gives the target
// up.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "membership/peer_table.h"

namespace bramleytrack::membership {

// How this instance acquired a target, which determines whether its flow records are complete.
enum class origin {
    handed_over,  // the records of all flows and requests were transferred
    taken_over,   // the previous owner failed: records of flows and running requests may be missing
};

struct owned_target {
    origin acquired_by = origin::taken_over;
    clock::time_point since;
    std::int64_t epoch = 0;
    // Requests that an earlier owner dispatched may run until then, plus records::deadline_grace.
    clock::time_point fence_until{};
};

// A target that is being, or has been, handed over to a peer.
struct moved_target {
    std::string receiver;
    std::int64_t receiver_incarnation = 0;
    std::int64_t epoch = 0;  // of the receiver's ownership
    clock::time_point since;
    // The receiver has acknowledged every part, or a peer's claim with at least this epoch has been
    // received.
    bool is_complete = false;
};

struct ownership_change {
    std::vector<std::string> taken_over;    // acquired because no live instance claims them
    std::vector<std::string> to_request;    // claimed by a peer that should hand them over
    std::vector<std::string> superseded;    // owned, but a peer's claim has precedence
    std::vector<std::string> unconfigured;  // owned, but no longer in the configuration
};

class ownership {
public:
    ownership(std::string self, std::string zone, clock::time_point started);

    // Compares the owned targets with those that this instance should own given the live peers, and
    // takes over targets that no live peer claims.
    ownership_change reconcile(const configuration::configuration& configuration,
                               const peer_table& peers, clock::time_point now);

    void acquire(std::string_view target, const owned_target& record);
    void release(std::string_view target);
    // Releases an owned target to `receiver` and returns the epoch of the receiver's ownership.
    std::int64_t begin_move(std::string_view target, const peer& receiver, clock::time_point now);
    // Releases a target because a peer's claim has precedence, and records the epoch of that claim.
    void relinquish(std::string_view target, const claim& peer_claim);
    void complete_move(std::string_view target);
    void erase_move(std::string_view target);
    // Suspends takeovers for at least `delay`: after a short stall, heartbeats of peers may still
    // be unread.
    void delay_takeovers(clock::time_point now, clock::duration delay);
    // Drops all ownerships at once: this process was paused and a successor may be active.
    void drop_all(clock::time_point now);

    // An epoch higher than any seen for this target.
    std::int64_t next_epoch(std::string_view target) const;
    std::int64_t highest_epoch(std::string_view target) const { return next_epoch(target) - 1; }
    void observe_epoch(std::string_view target, std::int64_t epoch);

    const owned_target* find(std::string_view target) const;
    const moved_target* find_move(std::string_view target) const;
    // True from the release until the move is complete; packets for the target are held back
    // meanwhile.
    bool is_moving(std::string_view target) const;
    const std::map<std::string, owned_target, std::less<>>& owned() const { return owned_; }
    const std::map<std::string, moved_target, std::less<>>& moved() const { return moved_; }

    // The owner of `target` in this instance's view; empty if none is known.
    std::string owner_of(const configuration::target& target, const peer_table& peers,
                         clock::time_point now) const;

private:
    void reconcile_owned(const configuration::configuration& configuration, const peer_table& peers,
                         clock::time_point now, ownership_change& change) const;

    std::string self_;
    std::string zone_;
    // Takeovers are allowed from dead_after later: by then the claims of all live peers have
    // arrived. delay_takeovers sets it so that dead_after later is the end of the delay.
    clock::time_point listening_since_;
    std::map<std::string, owned_target, std::less<>> owned_;
    std::map<std::string, moved_target, std::less<>> moved_;   // never holds an owned target
    std::map<std::string, std::int64_t, std::less<>> epochs_;  // highest epoch seen for each target
};

}  // namespace bramleytrack::membership
