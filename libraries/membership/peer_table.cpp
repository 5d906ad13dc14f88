#include "membership/peer_table.h"

#include <algorithm>
#include <tuple>

namespace bramleytrack::membership {
namespace {

bool is_live(const peer& known, clock::time_point now) {
    return known.last_heartbeat_at && now - *known.last_heartbeat_at < dead_after;
}

}  // namespace

bool supersedes(std::int64_t epoch, std::string_view name, std::int64_t other_epoch,
                std::string_view other_name) {
    return std::tie(epoch, name) > std::tie(other_epoch, other_name);
}

peer_table::peer_table(std::string self, std::string zone)
    : self_{std::move(self)}, zone_{std::move(zone)} {}

void peer_table::set_listed(std::span<const listed_instance> listed, clock::time_point now) {
    for (auto& [name, known] : peers_) {
        known.is_listed = false;
    }
    for (const auto& entry : listed) {
        if (entry.name == self_) {
            continue;
        }
        auto& known = peers_[entry.name];
        known.name = entry.name;
        known.is_listed = true;
        // What a live peer says about itself is newer than the platform's list. A silent one may
        // have been replaced under another address, which only the list knows.
        if (!is_live(known, now)) {
            known.zone = entry.zone;
            known.address = entry.address;
        }
    }
}

bool peer_table::note_heartbeat_from(const wire::peer_message& message, clock::time_point now) {
    if (message.sender == self_) {
        return false;
    }
    auto& known = peers_[message.sender];
    known.name = message.sender;
    // Failure: the host's clock was set back between two lives of the peer, its incarnation is
    // lower than before, and it would be ignored for ever. Once the earlier life was silent for
    // dead_after, no message of it can still be mistaken for a live owner's.
    if (message.incarnation < known.incarnation && is_live(known, now)) {
        return false;
    }
    if (message.incarnation != known.incarnation) {
        replace_claims(known, {});
        known.is_leaving = false;
        known.last_stamp = 0;
        known.last_heartbeat_at.reset();
        known.incarnation = message.incarnation;
        // It takes nothing before it has listened for dead_after, and by then it has heard us.
        known.confirmed = now;
    }
    if (message.__isset.beat && message.beat.stamp < known.last_stamp) {
        return false;
    }
    known.last_heartbeat_at = now;
    if (message.__isset.beat) {
        note_heartbeat(known, message.beat, now);
    }
    return true;
}

void peer_table::note_heartbeat(peer& known, const wire::heartbeat& beat, clock::time_point now) {
    known.zone = beat.zone;
    known.address = beat.address;
    known.is_leaving = beat.is_leaving;
    known.configuration_version = beat.configuration_version;
    known.last_stamp = beat.stamp;
    known.confirmed = std::max(known.confirmed, std::min(to_time_point(beat.echo), now));
    std::map<std::string, std::int64_t, std::less<>> claims;
    for (const auto& entry : beat.owned) {
        claims[entry.target] = entry.epoch;
    }
    replace_claims(known, std::move(claims));
    if (beat.is_stopping) {
        known.last_heartbeat_at.reset();
    }
}

void peer_table::replace_claims(peer& known,
                                std::map<std::string, std::int64_t, std::less<>> claims) {
    if (claims == known.claimed) {
        return;
    }
    for (const auto& [target, epoch] : known.claimed) {
        const auto found = claimants_.find(target);
        std::erase(found->second, known.name);
        if (found->second.empty()) {
            claimants_.erase(found);
        }
    }
    known.claimed = std::move(claims);
    for (const auto& [target, epoch] : known.claimed) {
        claimants_[target].push_back(known.name);
    }
}

void peer_table::forget_old(clock::time_point now) {
    for (auto each = peers_.begin(); each != peers_.end();) {
        auto& known = each->second;
        const bool is_silent =
            !known.last_heartbeat_at || now - *known.last_heartbeat_at >= forget_after;
        if (known.is_listed || !is_silent) {
            ++each;
            continue;
        }
        replace_claims(known, {});
        each = peers_.erase(each);
    }
}

const peer* peer_table::find(std::string_view name) const {
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second;
}

bool peer_table::is_alive(std::string_view name, clock::time_point now) const {
    if (name == self_) {
        return true;
    }
    const auto* known = find(name);
    return known != nullptr && is_live(*known, now);
}

std::vector<std::string> peer_table::eligible_owners(std::string_view zone,
                                                     clock::time_point now) const {
    std::vector<std::string> result;
    if (zone == zone_ && is_self_eligible_) {
        result.push_back(self_);
    }
    for (const auto& [name, known] : peers_) {
        if (known.zone == zone && !known.is_leaving && is_live(known, now)) {
            result.push_back(name);
        }
    }
    return result;
}

claim peer_table::claim_of(std::string_view target, clock::time_point now) const {
    claim best;
    const auto found = claimants_.find(target);
    if (found == claimants_.end()) {
        return best;
    }
    for (const auto& name : found->second) {
        const auto* known = find(name);
        if (!is_live(*known, now)) {
            continue;
        }
        const auto epoch = known->claimed.find(target)->second;
        if (best.by == nullptr || supersedes(epoch, known->name, best.epoch, best.by->name)) {
            best = {.by = known, .epoch = epoch};
        }
    }
    return best;
}

bool peer_table::holds_lease(clock::time_point now) const {
    return std::ranges::all_of(peers_, [&](const auto& entry) {
        const auto& known = entry.second;
        return known.zone != zone_ || !is_live(known, now) || now - known.confirmed < owner_lease;
    });
}

}  // namespace bramleytrack::membership
