#include "discovery/directory.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace bramleytrack::discovery {
namespace {

// Operators change a few routes at a time; beyond this many the memory of dropped ones starts anew.
constexpr std::size_t max_dropped_routes = 10'000;

}  // namespace

std::string to_string(const endpoint& address) {
    constexpr std::array<int, 4> shifts{24, 16, 8, 0};
    std::string text;
    for (const int shift : shifts) {
        text += (text.empty() ? "" : ".") + std::to_string((address.address >> shift) & 0xFFU);
    }
    return text + ":" + std::to_string(address.port);
}

routing_token token_of(std::string_view id) {
    const auto token = static_cast<routing_token>(hash_of(id));
    return token == 0 ? 1 : token;
}

change directory::apply(const record& subject, std::int64_t revision, bool had_recent_store_outage,
                        clock::time_point now) {
    if (const auto* text = std::get_if<catalogue>(&subject)) {
        return take(*text, now);
    }
    if (const auto* entry = std::get_if<target_entry>(&subject)) {
        return take(*entry, revision, now);
    }
    if (const auto* removed = std::get_if<target_removed>(&subject)) {
        return remove_target(removed->id, revision, had_recent_store_outage, now);
    }
    if (const auto* zone = std::get_if<zone_out>(&subject)) {
        const bool is_changed =
            zone->is_out ? zones_out_.insert(zone->zone).second : zones_out_.erase(zone->zone) > 0;
        return is_changed ? change::applied : change::none;
    }
    if (const auto* peer = std::get_if<peer_entry>(&subject)) {
        peers_[peer->name] = {.entry = *peer, .registered_at = now};
        departed_peers_.erase(peer->name);
        return change::applied;
    }
    if (const auto* removed = std::get_if<peer_removed>(&subject)) {
        if (peers_.erase(removed->name) == 0) {
            return change::none;
        }
        departed_peers_[removed->name] = now;
        return change::applied;
    }
    if (const auto* garbled = std::get_if<unreadable>(&subject)) {
        // An entry that can't be read names no target, whatever stood there before.
        remove_target(garbled->target_id, revision, had_recent_store_outage, now);
        return change::refused;
    }
    return change::none;
}

const route* directory::find_route(const endpoint& address) const {
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : found->second;
}

std::optional<clock::time_point> directory::dropped_at(const endpoint& address) const {
    const auto found = dropped_.find(address);
    return found == dropped_.end() ? std::nullopt : std::optional{found->second};
}

const pool* directory::find_pool(std::string_view service) const {
    if (are_pools_stale_) {
        rebuild_pools();
    }
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : &found->second;
}

const target* directory::find_target(routing_token token) const {
    const auto found = by_token_.find(token);
    return found == by_token_.end() ? nullptr : found->second.front();
}

void directory::for_each_target(const std::function<void(const target&)>& visit) const {
    for (const auto& [id, known] : targets_) {
        visit(*known);
    }
}

void directory::expire(clock::time_point now) {
    std::erase_if(departed_peers_, [this, now](const auto& each) {
        return now - each.second >= limits_.departure_memory;
    });
    std::vector<std::string> expired;
    for (const auto& [id, known] : targets_) {
        if (!known->is_listed() && now - known->changed_at >= limits_.flow_lifetime) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        const auto found = targets_.find(id);
        const auto token = found->second->token;
        std::erase(by_token_[token], found->second.get());
        if (by_token_[token].empty()) {
            by_token_.erase(token);
        } else {
            settle_token(token);
        }
        targets_.erase(found);
    }
    if (!expired.empty()) {
        are_pools_stale_ = true;
    }
}

change directory::take(const catalogue& offered, clock::time_point now) {
    if (offered.version <= catalogue_.version) {
        return change::none;
    }
    std::set<endpoint> kept;
    for (const auto& each : offered.routes) {
        kept.insert(each.address);
        dropped_.erase(each.address);
    }
    if (dropped_.size() > max_dropped_routes) {
        dropped_.clear();
    }
    for (const auto& each : catalogue_.routes) {
        if (!kept.contains(each.address)) {
            dropped_.emplace(each.address, now);
        }
    }
    catalogue_ = offered;
    routes_.clear();
    for (const auto& each : catalogue_.routes) {
        routes_.emplace(each.address, &each);
    }
    are_pools_stale_ = true;
    return change::applied;
}

change directory::take(const target_entry& offered, std::int64_t revision, clock::time_point now) {
    auto found = targets_.find(offered.id);
    if (found == targets_.end()) {
        if (targets_.size() >= limits_.max_targets) {
            return change::refused;
        }
        found = targets_.emplace(offered.id, std::make_unique<target>()).first;
        found->second->token = token_of(offered.id);
        by_token_[found->second->token].push_back(found->second.get());
    }
    auto& known = *found->second;
    known.entry = offered;
    known.gone = absence::none;
    known.presumed_alive_until.reset();
    known.changed_at = now;
    known.revision = revision;
    // The rest of the cold time counts from when the target wrote it, which was earlier: what is
    // assumed here is too long, never too short.
    known.cold_until = now + offered.cold_for;
    settle_token(known.token);
    are_pools_stale_ = true;
    return change::applied;
}

change directory::remove_target(std::string_view id, std::int64_t revision,
                                bool had_recent_store_outage, clock::time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || !found->second->is_listed()) {
        return change::none;
    }
    auto& known = *found->second;
    const bool has_drained = known.entry.state == target_state::draining;
    known.gone = has_drained ? absence::left : absence::vanished;
    known.changed_at = now;
    known.revision = revision;
    if (had_recent_store_outage && !has_drained) {
        known.presumed_alive_until = now + limits_.return_grace;
    }
    presume_alive_if_many(known.entry.service, now);
    settle_token(known.token);
    are_pools_stale_ = true;
    return change::applied;
}

// Failure: the store is silent for so short a time that no call fails, the entries of all targets
// lapse meanwhile, and a service that is well refuses its callers until they are back. Half of a
// service doesn't die within a second; its entries do.
void directory::presume_alive_if_many(const std::string& service, clock::time_point now) {
    std::vector<target*> vanished;
    std::size_t listed = 0;
    for (const auto& [id, known] : targets_) {
        if (known->entry.service != service) {
            continue;
        }
        listed += known->is_listed() ? 1 : 0;
        if (known->gone == absence::vanished && now - known->changed_at <= limits_.joint_removal) {
            vanished.push_back(known.get());
        }
    }
    constexpr std::size_t least = 2;
    if (vanished.size() < least || vanished.size() < listed) {
        return;
    }
    for (auto* each : vanished) {
        if (!each->presumed_alive_until.has_value()) {
            each->presumed_alive_until = each->changed_at + limits_.return_grace;
        }
    }
}

// Failure: two ids have the same token, and instances that chose differently between them would
// send a flow's packets to the wrong target, which resets it. All choose alike without talking:
// listed before gone, then the smaller id; the other gets no new flows. At 4,700 targets a pair is
// there once in 400 such fleets.
void directory::settle_token(routing_token token) {
    auto& sharing = by_token_[token];
    std::ranges::sort(sharing, [](const target* left, const target* right) {
        const bool is_left_listed = left->is_listed();
        const bool is_right_listed = right->is_listed();
        return is_left_listed != is_right_listed ? is_left_listed
                                                 : left->entry.id < right->entry.id;
    });
    for (auto* each : sharing) {
        each->has_token_conflict = each != sharing.front();
    }
}

void directory::rebuild_pools() const {
    are_pools_stale_ = false;
    pools_.clear();
    for (const auto& each : catalogue_.services) {
        pools_[each.name].description = each;
    }
    for (const auto& [id, known] : targets_) {
        const auto found = pools_.find(known->entry.service);
        if (found != pools_.end() && known->gone != absence::left) {
            found->second.targets.push_back(known.get());
            found->second.by_zone[known->entry.zone].push_back(known.get());
        }
    }
}

}  // namespace bramleytrack::discovery
