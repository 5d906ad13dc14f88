#include "membership/ownership.h"

#include <algorithm>

#include "records/request_table.h"
#include "routing/candidates.h"

namespace bramleytrack::membership {

ownership::ownership(std::string self, std::string zone, clock::time_point started)
    : self_{std::move(self)}, zone_{std::move(zone)}, listening_since_{started} {}

ownership_change ownership::review(const configuration::configuration& configuration,
                                   const peer_table& peers, clock::time_point now) {
    ownership_change change;
    review_owned(configuration, peers, now, change);
    if (!peers.is_self_eligible()) {
        listening_since_ = now;
        return change;
    }
    // Failure: a fresh or woken instance hasn't heard the claims of its peers yet and would own a
    // target twice. It shows as two answers to one request. Every live peer's claim arrives within
    // dead_after, so waiting that long rules it out.
    if (now - listening_since_ < dead_after) {
        return change;
    }
    const auto eligible = peers.eligible_owners(zone_, now);
    for (const auto& target : configuration.targets) {
        const bool is_ours = owned_.contains(target.name) || moved_.contains(target.name);
        if (target.zone != zone_ || is_ours ||
            routing::rendezvous_winner(eligible, target.name) != self_) {
            continue;
        }
        if (peers.claim_of(target.name, now).by != nullptr) {
            change.wanted.push_back(target.name);
            continue;
        }
        receive(target.name, {.how = origin::taken_over,
                              .since = now,
                              .epoch = next_epoch(target.name),
                              .fence_until = now + records::max_request_lifetime});
        change.taken_over.push_back(target.name);
    }
    return change;
}

void ownership::review_owned(const configuration::configuration& configuration,
                             const peer_table& peers, clock::time_point now,
                             ownership_change& change) const {
    for (const auto& [name, owned] : owned_) {
        if (configuration.find_target(name) == nullptr) {
            change.to_withdraw.push_back(name);
            continue;
        }
        const auto other = peers.claim_of(name, now);
        if (other.by != nullptr && supersedes(other.epoch, other.by->name, owned.epoch, self_)) {
            change.to_yield.push_back(name);
        }
    }
}

void ownership::receive(std::string_view target, const owned_target& how) {
    owned_[std::string{target}] = how;
    forget_move(target);
    note_epoch(target, how.epoch);
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
    note_epoch(target, epoch);
    release(target);
    moved_[std::string{target}] = {.receiver = receiver.name,
                                   .receiver_incarnation = receiver.incarnation,
                                   .epoch = epoch,
                                   .since = now,
                                   .is_complete = false};
    return epoch;
}

void ownership::yield(std::string_view target, const claim& valid) {
    note_epoch(target, valid.epoch);
    release(target);
}

void ownership::complete_move(std::string_view target) {
    const auto found = moved_.find(target);
    if (found != moved_.end()) {
        found->second.is_complete = true;
    }
}

void ownership::forget_move(std::string_view target) {
    const auto found = moved_.find(target);
    if (found != moved_.end()) {
        moved_.erase(found);
    }
}

void ownership::hold_takeovers(clock::time_point now, clock::duration time) {
    listening_since_ = std::max(listening_since_, now + time - dead_after);
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

void ownership::note_epoch(std::string_view target, std::int64_t epoch) {
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
    const auto known = peers.claim_of(target.name, now);
    // Failure: between the release and the receiver's first heartbeat nobody claims the target, and
    // packets that still come here are dropped as unreachable. The releasing instance knows the
    // receiver, so it forwards to it until a claim at least as late as the move is heard.
    if (const auto* move = find_move(target.name)) {
        if (known.by == nullptr || known.epoch < move->epoch) {
            return move->receiver;
        }
    }
    return known.by == nullptr ? std::string{} : known.by->name;
}

}  // namespace bramleytrack::membership
