// The peers of this instance and whether each is alive.
//
// The platform's instance list, which may lag, only provides addresses for the first heartbeat;
// liveness is determined by heartbeats alone. So a stale, missing or wrong list entry never makes a
// peer count as dead or alive.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::membership {

// Interval between heartbeats to each peer.
constexpr clock::duration heartbeat_interval{500};
// A peer from which nothing was received for this long counts as dead. Two heartbeats in a row may
// be lost; after three, the next one is due only when the peer already counts as dead.
constexpr clock::duration dead_after{2000};
// A longer gap between two events means that the process was paused. Shorter than dead_after
// less one heartbeat_interval: unless heartbeats were lost or late as well, every pause long enough
// for a takeover is detected at the first event after it.
constexpr clock::duration pause_limit{1200};
// An owner dispatches new work only while every live peer of its zone has echoed a heartbeat that
// was sent within this time. Shorter than dead_after, so that it stops before a peer takes over.
constexpr clock::duration owner_lease{1750};
// An unlisted peer from which nothing was received for this long is removed, which bounds the
// table.
constexpr clock::duration peer_retention{60'000};

struct listed_instance {
    std::string name;
    std::string zone;
    std::string address;
    bool is_leaving = false;
};

struct peer {
    std::string name;
    std::string zone;
    std::string address;
    std::int64_t incarnation = 0;
    // When the last accepted message of any kind arrived. None if nothing was received yet, or if
    // the last heartbeat announced that the peer stops.
    std::optional<clock::time_point> last_heartbeat_at;
    bool is_listed = false;
    bool is_leaving = false;
    std::int64_t configuration_version = 0;
    // Epoch of each target that it reports as owned.
    std::map<std::string, std::int64_t, std::less<>> claimed;
    // Time stamp of its newest heartbeat, returned to it as the echo.
    std::int64_t last_stamp = 0;
    // When this instance sent the newest heartbeat that the peer has echoed.
    clock::time_point echoed_sent_at{};
};

// A live peer's claim to own one target.
struct claim {
    const peer* claimant = nullptr;
    std::int64_t epoch = 0;
};

// Whether the first of two claims to one target has precedence. The order is total and the same at
// every instance, so exactly one of two claimants gives the target up.
bool supersedes(std::int64_t epoch, std::string_view name, std::int64_t other_epoch,
                std::string_view other_name);

class peer_table {
public:
    peer_table(std::string self, std::string zone);

    void set_listed(std::span<const listed_instance> listed, clock::time_point now);

    // Updates the sender's liveness and state. Returns false if the message must be ignored: it is
    // from an earlier incarnation of the sender, or an outdated heartbeat.
    bool accept_message(const wire::peer_message& message, clock::time_point now);
    void remove_expired(clock::time_point now);

    const peer* find(std::string_view name) const;
    bool is_alive(std::string_view name, clock::time_point now) const;

    // Names of the instances of `zone` that can own targets, including this one if it is eligible.
    std::vector<std::string> eligible_owners(std::string_view zone, clock::time_point now) const;

    // The claim with precedence among those of live peers; `claimant` is null if there is none.
    claim claim_of(std::string_view target, clock::time_point now) const;

    // Whether no live peer of this zone can have declared this instance dead.
    bool holds_lease(clock::time_point now) const;

    const std::map<std::string, peer, std::less<>>& peers() const { return peers_; }

    // An instance that is leaving is not an eligible owner.
    void set_self_eligible(bool is_eligible) { is_self_eligible_ = is_eligible; }
    bool is_self_eligible() const { return is_self_eligible_; }

private:
    void replace_claims(peer& record, std::map<std::string, std::int64_t, std::less<>> claims);
    void apply_heartbeat(peer& record, const wire::heartbeat& heartbeat, clock::time_point now);

    std::string self_;
    std::string zone_;
    bool is_self_eligible_ = true;
    std::map<std::string, peer, std::less<>> peers_;  // never holds this instance
    // Names of the peers that claim each target: the inverse of peer::claimed.
    std::map<std::string, std::vector<std::string>, std::less<>> claimants_;
};

}  // namespace bramleytrack::membership
