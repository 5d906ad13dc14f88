#include "membership/peer_table.h"

#include <algorithm>
#include <tuple>

namespace bramleytrack::membership {
namespace {

bool is_live(const peer& record, clock::time_point now) {
    return record.last_heartbeat_at && now - *record.last_heartbeat_at < dead_after;
}

}  // namespace

bool supersedes(std::int64_t epoch, std::string_view name, std::int64_t other_epoch,
                std::string_view other_name) {
    return std::tie(epoch, name) > std::tie(other_epoch, other_name);
}

peer_table::peer_table(std::string self, std::string zone)
    : self_{std::move(self)}, zone_{std::move(zone)} {}

void peer_table::set_listed(std::span<const listed_instance> listed, clock::time_point now) {
    for (auto& [name, record] : peers_) {
        record.is_listed = false;
    }
    for (const auto& entry : listed) {
        if (entry.name == self_) {
            continue;
        }
        auto& record = peers_[entry.name];
        record.name = entry.name;
        record.is_listed = true;
        // What a live peer reports about itself is newer than the platform's list. A peer that is
        // not live may have been replaced at another address, which only the list contains.
        if (!is_live(record, now)) {
            record.zone = entry.zone;
            record.address = entry.address;
        }
    }
}

bool peer_table::accept_message(const wire::peer_message& message, clock::time_point now) {
    if (message.sender == self_) {
        return false;
    }
    auto& record = peers_[message.sender];
    record.name = message.sender;
    // If the host's clock is set back between two runs of a peer, its incarnation decreases and it
    // would be ignored forever. So a lower incarnation is accepted once the earlier one was silent
    // for dead_after: none of its messages can then be mistaken for those of a live owner.
    if (message.incarnation < record.incarnation && is_live(record, now)) {
        return false;
    }
    if (message.incarnation != record.incarnation) {
        replace_claims(record, {});
        record.is_leaving = false;
        record.last_stamp = 0;
        record.last_heartbeat_at.reset();
        record.incarnation = message.incarnation;
        // A new incarnation takes over nothing before dead_after has passed, and receives this
        // instance's heartbeats by then.
        record.echoed_sent_at = now;
    }
    if (message.__isset.beat && message.beat.stamp < record.last_stamp) {
        return false;
    }
    record.last_heartbeat_at = now;
    if (message.__isset.beat) {
        apply_heartbeat(record, message.beat, now);
    }
    return true;
}

void peer_table::apply_heartbeat(peer& record, const wire::heartbeat& heartbeat,
                                 clock::time_point now) {
    record.zone = heartbeat.zone;
    record.address = heartbeat.address;
    record.is_leaving = heartbeat.is_leaving;
    record.configuration_version = heartbeat.configuration_version;
    record.last_stamp = heartbeat.stamp;
    record.echoed_sent_at =
        std::max(record.echoed_sent_at, std::min(to_time_point(heartbeat.echo), now));
    std::map<std::string, std::int64_t, std::less<>> claims;
    for (const auto& entry : heartbeat.owned) {
        claims[entry.target] = entry.epoch;
    }
    replace_claims(record, std::move(claims));
    if (heartbeat.is_stopping) {
        record.last_heartbeat_at.reset();
    }
}

void peer_table::replace_claims(peer& record,
                                std::map<std::string, std::int64_t, std::less<>> claims) {
    if (claims == record.claimed) {
        return;
    }
    for (const auto& [target, epoch] : record.claimed) {
        const auto found = claimants_.find(target);
        std::erase(found->second, record.name);
        if (found->second.empty()) {
            claimants_.erase(found);
        }
    }
    record.claimed = std::move(claims);
    for (const auto& [target, epoch] : record.claimed) {
        claimants_[target].push_back(record.name);
    }
}

void peer_table::remove_expired(clock::time_point now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
        auto& record = it->second;
        const bool is_silent =
            !record.last_heartbeat_at || now - *record.last_heartbeat_at >= peer_retention;
        if (record.is_listed || !is_silent) {
            ++it;
            continue;
        }
        replace_claims(record, {});
        it = peers_.erase(it);
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
    const auto* record = find(name);
    return record != nullptr && is_live(*record, now);
}

std::vector<std::string> peer_table::eligible_owners(std::string_view zone,
                                                     clock::time_point now) const {
    std::vector<std::string> result;
    if (zone == zone_ && is_self_eligible_) {
        result.push_back(self_);
    }
    for (const auto& [name, record] : peers_) {
        if (record.zone == zone && !record.is_leaving && is_live(record, now)) {
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
        const auto* record = find(name);
        if (!is_live(*record, now)) {
            continue;
        }
        const auto epoch = record->claimed.find(target)->second;
        if (best.claimant == nullptr ||
            supersedes(epoch, record->name, best.epoch, best.claimant->name)) {
            best = {.claimant = record, .epoch = epoch};
        }
    }
    return best;
}

bool peer_table::holds_lease(clock::time_point now) const {
    return std::ranges::all_of(peers_, [&](const auto& entry) {
        const auto& record = entry.second;
        return record.zone != zone_ || !is_live(record, now) ||
               now - record.echoed_sent_at < owner_lease;
    });
}

}  // namespace bramleytrack::membership
