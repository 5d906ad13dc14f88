// Which instances exist and which of them are alive, as seen from this one.
//
// Candidates come from the platform's lagging list; life and death come from heartbeats alone. The
// list only says where to send the first heartbeat, so an entry that is stale, missing or wrong
// never declares an instance dead or alive.
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

// Heartbeats go to every peer this often.
constexpr clock::duration heartbeat_interval{500};
// A peer that was silent for this long is dead to this instance: three heartbeats may be lost.
constexpr clock::duration dead_after{2000};
// A gap between two events that is longer than this means that the process was paused. Shorter than
// dead_after, so that a paused owner notices before a successor has taken over.
constexpr clock::duration pause_limit{1200};
// An owner starts new work only while every live peer of its zone has confirmed a heartbeat sent
// this recently. Shorter than dead_after, so that it stops before any of them takes over.
constexpr clock::duration owner_lease{1750};
// A peer that is neither listed nor heard for this long is forgotten: bounds the table.
constexpr clock::duration forget_after{60'000};

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
    std::optional<clock::time_point>
        last_heartbeat_at;  // none: never heard, or stopped in a planned way
    bool is_listed = false;
    bool is_leaving = false;
    std::int64_t configuration_version = 0;
    std::map<std::string, std::int64_t, std::less<>> claimed;  // targets it says it owns, by epoch
    std::int64_t last_stamp = 0;    // of its newest heartbeat; goes back to it as the echo
    clock::time_point confirmed{};  // when this instance sent the newest heartbeat the peer has got
};

// What a live peer says about its ownership of one target.
struct claim {
    const peer* by = nullptr;
    std::int64_t epoch = 0;
};

// Whether the first of two claims of one target is the valid one. Two instances that see each
// other's claim come to the same verdict, so exactly one of them yields.
bool supersedes(std::int64_t epoch, std::string_view name, std::int64_t other_epoch,
                std::string_view other_name);

class peer_table {
public:
    peer_table(std::string self, std::string zone);

    void set_listed(std::span<const listed_instance> listed, clock::time_point now);

    // Returns false when the message is from an earlier life of the peer, or a heartbeat older than
    // one that was heard already, and must be ignored.
    bool note_heartbeat_from(const wire::peer_message& message, clock::time_point now);
    void forget_old(clock::time_point now);

    const peer* find(std::string_view name) const;
    bool is_alive(std::string_view name, clock::time_point now) const;

    // Names of the instances of `zone` that can own targets, this one included if it may.
    std::vector<std::string> eligible_owners(std::string_view zone, clock::time_point now) const;

    // The valid one among the claims of live peers; `by` is null when there is none.
    claim claim_of(std::string_view target, clock::time_point now) const;

    // Whether no live peer of the own zone can have declared this instance dead.
    bool holds_lease(clock::time_point now) const;

    const std::map<std::string, peer, std::less<>>& peers() const { return peers_; }

    // This instance stops being an eligible owner while it is leaving.
    void set_self_eligible(bool is_eligible) { is_self_eligible_ = is_eligible; }
    bool is_self_eligible() const { return is_self_eligible_; }

private:
    void replace_claims(peer& known, std::map<std::string, std::int64_t, std::less<>> claims);
    void note_heartbeat(peer& known, const wire::heartbeat& beat, clock::time_point now);

    std::string self_;
    std::string zone_;
    bool is_self_eligible_ = true;
    std::map<std::string, peer, std::less<>> peers_;  // never holds this instance
    // Names of the peers whose `claimed` names a target: the inverse of these maps.
    std::map<std::string, std::vector<std::string>, std::less<>> claimants_;
};

}  // namespace bramleytrack::membership
