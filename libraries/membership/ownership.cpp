#include "membership/ownership.h"

#include <algorithm>

#include "records/request_table.h"
#include "routing/candidates.h"

namespace bramleytrack::membership {

ownership::ownership(std::string self, std::string zone, clock::time_point started)
    : self_{std::move(self)}, zone_{std::move(zone)}, listening_since_{started} {}

ownership_change ownership::reconcile(const configuration::configuration& configuration,
                                      const peer_table& peers, clock::time_point now) {
    ownership_change change;
    reconcile_owned(configuration, peers, now, change);
    if (!peers.is_self_eligible()) {
        listening_since_ = now;
        return change;
    }
    // An instance that has just started or resumed has not yet received the claims of its peers. If
    // it took over a target that a peer owns, a request could run on behalf of both owners and be
    // answered twice. The claim of every live peer arrives within dead_after, so it waits that
    // long.
    if (now - listening_since_ < dead_after) {
        return change;
    }
    const auto eligible = peers.eligible_owners(zone_, now);
    for (const auto& target : configuration.targets) {
        const bool is_owned_or_moved = owned_.contains(target.name) || moved_.contains(target.name);
        if (target.zone != zone_ || is_owned_or_moved ||
            routing::rendezvous_winner(eligible, target.name) != self_) {
            continue;
        }
        if (peers.claim_of(target.name, now).claimant != nullptr) {
            change.to_request.push_back(target.name);
            continue;
        }
        acquire(target.name, {.acquired_by = origin::taken_over,
                              .since = now,
                              .epoch = next_epoch(target.name),
                              .fence_until = now + records::max_request_lifetime});
        change.taken_over.push_back(target.name);
    }
    return change;
}

void ownership::reconcile_owned(const configuration::configuration& configuration,
                                const peer_table& peers, clock::time_point now,
                                ownership_change& change) const {
    for (const auto& [name, owned] : owned_) {
        if (configuration.find_target(name) == nullptr) {
            change.unconfigured.push_back(name);
            continue;
        }
        const auto peer_claim = peers.claim_of(name, now);
        if (peer_claim.claimant != nullptr &&
            supersedes(peer_claim.epoch, peer_claim.claimant->name, owned.epoch, self_)) {
            change.superseded.push_back(name);
        }
    }
}

void ownership::acquire(std::string_view target, const owned_target& record) {
    owned_[std::string{target}] = record;
    erase_move(target);
    observe_epoch(target, record.epoch);
}

void ownership::release(std::string_view target) {
    const auto found = owned_.find(target);
    if (found != owned_.end()) {
        owned_.erase(found);
    }
}

std::int64_t ownership::begin_move(std::string_view target, const peer& receiver,
                                   clock::time_point now) {
    const auto epoch = next_epoch(target);
    observe_epoch(target, epoch);
    release(target);
    moved_[std::string{target}] = {.receiver = receiver.name,
                                   .receiver_incarnation = receiver.incarnation,
                                   .epoch = epoch,
                                   .since = now,
                                   .is_complete = false};
    return epoch;
}

void ownership::relinquish(std::string_view target, const claim& peer_claim) {
    observe_epoch(target, peer_claim.epoch);
    release(target);
}

void ownership::complete_move(std::string_view target) {
    const auto found = moved_.find(target);
    if (found != moved_.end()) {
        found->second.is_complete = true;
    }
}

void ownership::erase_move(std::string_view target) {
    const auto found = moved_.find(target);
    if (found != moved_.end()) {
        moved_.erase(found);
    }
}

void ownership::delay_takeovers(clock::time_point now, clock::duration delay) {
    listening_since_ = std::max(listening_since_, now + delay - dead_after);
}

void ownership::drop_all(clock::time_point now) {
    owned_.clear();
    moved_.clear();
    listening_since_ = now;
}

std::int64_t ownership::next_epoch(std::string_view target) const {
    const auto found = epochs_.find(target);
    return found == epochs_.end() ? 1 : found->second + 1;
}

void ownership::observe_epoch(std::string_view target, std::int64_t epoch) {
    auto& highest = epochs_[std::string{target}];
    highest = std::max(highest, epoch);
}

const owned_target* ownership::find(std::string_view target) const {
    const auto found = owned_.find(target);
    return found == owned_.end() ? nullptr : &found->second;
}

const moved_target* ownership::find_move(std::string_view target) const {
    const auto found = moved_.find(target);
    return found == moved_.end() ? nullptr : &found->second;
}

bool ownership::is_moving(std::string_view target) const {
    const auto* move = find_move(target);
    return move != nullptr && !move->is_complete;
}

std::string ownership::owner_of(const configuration::target& target, const peer_table& peers,
                                clock::time_point now) const {
    if (owned_.contains(target.name)) {
        return self_;
    }
    const auto current_claim = peers.claim_of(target.name, now);
    // A former owner claims a moved target until every part is acknowledged. From then until the
    // receiver's first heartbeat arrives no instance claims it, and packets that still reach the
    // former owner would be dropped as unreachable. The former owner forwards them to the receiver
    // until it receives a claim whose epoch is not lower than that of the move.
    if (const auto* move = find_move(target.name)) {
        if (current_claim.claimant == nullptr || current_claim.epoch < move->epoch) {
            return move->receiver;
        }
    }
    return current_claim.claimant == nullptr ? std::string{} : current_claim.claimant->name;
}

}  // namespace bramleytrack::membership
