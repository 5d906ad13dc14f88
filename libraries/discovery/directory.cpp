#include "discovery/directory.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace bramleytrack::discovery {
namespace {

// Operators change a few routes at a time; beyond this number the list of dropped routes is
// cleared.
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
    if (const auto* new_catalogue = std::get_if<catalogue>(&subject)) {
        return apply_catalogue(*new_catalogue, now);
    }
    if (const auto* entry = std::get_if<target_entry>(&subject)) {
        return apply_target(*entry, revision, now);
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
        register_peer(*peer, now);
        departed_peers_.erase(peer->name);
        return change::applied;
    }
    if (const auto* removed = std::get_if<peer_removed>(&subject)) {
        if (!unregister_peer(removed->name)) {
            return change::none;
        }
        departed_peers_[removed->name] = now;
        return change::applied;
    }
    if (const auto* unreadable_entry = std::get_if<unreadable>(&subject)) {
        // An entry that can't be decoded lists no target, whatever its previous value was.
        remove_target(unreadable_entry->target_id, revision, had_recent_store_outage, now);
        return change::refused;
    }
    return change::none;
}

void directory::register_peer(const peer_entry& update, clock::time_point now) {
    unregister_peer(update.name);
    peers_[update.name] = {.entry = update, .registered_at = now};
    ++peers_by_zone_[update.zone];
}

bool directory::unregister_peer(std::string_view name) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return false;
    }
    const auto zone = peers_by_zone_.find(found->second.entry.zone);
    if (--zone->second == 0) {
        peers_by_zone_.erase(zone);
    }
    peers_.erase(found);
    return true;
}

const route* directory::find_route(const endpoint& address) const {
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : found->second;
}

const route* directory::find_route_by_name(std::string_view name) const {
    const auto found = routes_by_name_.find(name);
    return found == routes_by_name_.end() ? nullptr : found->second;
}

std::optional<clock::time_point> directory::route_dropped_at(const endpoint& address) const {
    const auto found = dropped_routes_.find(address);
    return found == dropped_routes_.end() ? std::nullopt : std::optional{found->second};
}

const pool* directory::find_pool(std::string_view service) const {
    if (are_pools_stale_) {
        rebuild_pools();
    }
    return pools_.find(service);
}

const target* directory::find_target(routing_token token) const {
    const auto found = targets_by_token_.find(token);
    return found == targets_by_token_.end() ? nullptr : found->second.front();
}

void directory::for_each_target(const std::function<void(const target&)>& visit) const {
    for (const auto& [id, held] : targets_) {
        visit(*held);
    }
}

void directory::expire(clock::time_point now) {
    std::erase_if(departed_peers_, [this, now](const auto& each) {
        return now - each.second >= limits_.departed_peer_retention;
    });
    while (!removed_targets_.empty() &&
           now - removed_targets_.front().at >= limits_.flow_lifetime) {
        expire_target(removed_targets_.front().id, removed_targets_.front().at);
        removed_targets_.pop_front();
    }
}

void directory::expire_target(std::string_view id, clock::time_point removed_at) {
    const auto found = targets_.find(id);
    const bool is_gone = found != targets_.end() && !found->second->is_listed() &&
                         found->second->changed_at == removed_at;
    if (!is_gone) {
        return;
    }
    const auto token = found->second->token;
    std::erase(targets_by_token_[token], found->second.get());
    if (targets_by_token_[token].empty()) {
        targets_by_token_.erase(token);
    } else {
        resolve_token_conflict(token);
    }
    pools_.erase(*found->second);
    targets_.erase(found);
}

change directory::apply_catalogue(const catalogue& update, clock::time_point now) {
    if (update.version <= catalogue_.version) {
        return change::none;
    }
    std::set<endpoint> kept;
    for (const auto& each : update.routes) {
        kept.insert(each.address);
        dropped_routes_.erase(each.address);
    }
    if (dropped_routes_.size() > max_dropped_routes) {
        dropped_routes_.clear();
    }
    for (const auto& each : catalogue_.routes) {
        if (!kept.contains(each.address)) {
            dropped_routes_.emplace(each.address, now);
        }
    }
    catalogue_ = update;
    routes_.clear();
    routes_by_name_.clear();
    for (const auto& each : catalogue_.routes) {
        routes_.emplace(each.address, &each);
        routes_by_name_.emplace(each.name, &each);
    }
    are_pools_stale_ = true;
    return change::applied;
}

change directory::apply_target(const target_entry& update, std::int64_t revision,
                               clock::time_point now) {
    auto found = targets_.find(update.id);
    if (found == targets_.end()) {
        if (targets_.size() >= limits_.max_targets) {
            return change::refused;
        }
        found = targets_.emplace(update.id, std::make_unique<target>()).first;
        found->second->token = token_of(update.id);
        targets_by_token_[found->second->token].push_back(found->second.get());
    }
    auto& held = *found->second;
    count_listed(held, update);
    const bool changes_pool =
        held.entry.service != update.service || held.entry.zone != update.zone || !is_pooled(held);
    if (changes_pool) {
        pools_.erase(held);
    }
    held.entry = update;
    held.removal = removal_reason::none;
    held.presumed_alive_until.reset();
    held.changed_at = now;
    held.revision = revision;
    // The rest of the cold phase counts from the time at which the target wrote it. Counting from
    // the later time of receipt makes it too long, never too short.
    held.cold_until = now + update.cold_remaining;
    resolve_token_conflict(held.token);
    if (changes_pool && !are_pools_stale_) {
        pools_.insert(held);
    }
    return change::applied;
}

bulk_removal_detector& directory::bulk_removals_of(const std::string& service) {
    return bulk_removals_.try_emplace(service, limits_.bulk_removal_window).first->second;
}

// `held` is the target before the update.
void directory::count_listed(const target& held, const target_entry& update) {
    const bool is_new = held.entry.id.empty();
    if (!is_new && held.is_listed()) {
        bulk_removals_of(held.entry.service).on_unlisted();
    } else if (held.removal == removal_reason::unexpected) {
        bulk_removals_of(held.entry.service).on_relisted(held.entry.id);
    }
    bulk_removals_of(update.service).on_listed();
}

change directory::remove_target(std::string_view id, std::int64_t revision,
                                bool had_recent_store_outage, clock::time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || !found->second->is_listed()) {
        return change::none;
    }
    auto& held = *found->second;
    const bool has_drained = held.entry.state == target_state::draining;
    held.removal = has_drained ? removal_reason::drained : removal_reason::unexpected;
    held.changed_at = now;
    held.revision = revision;
    removed_targets_.push_back({.id = held.entry.id, .at = now});
    if (had_recent_store_outage && !has_drained) {
        held.presumed_alive_until = now + limits_.reregistration_grace;
    }
    auto& removals = bulk_removals_of(held.entry.service);
    removals.on_unlisted();
    if (has_drained) {
        pools_.erase(held);
    } else {
        removals.on_unexpected_removal(held.entry.id, now);
    }
    presume_alive_on_bulk_removal(held.entry.service, now);
    resolve_token_conflict(held.token);
    return change::applied;
}

void directory::presume_alive_on_bulk_removal(const std::string& service, clock::time_point now) {
    for (const auto& id : bulk_removals_of(service).take_expired_entries(now)) {
        const auto found = targets_.find(id);
        if (found != targets_.end() && !found->second->presumed_alive_until.has_value()) {
            auto& expired = *found->second;
            expired.presumed_alive_until = expired.changed_at + limits_.reregistration_grace;
        }
    }
}

// Two ids can have the same token. Instances that chose different targets for it would send a
// flow's packets to the wrong one, which resets the flow. All choose the same target without
// coordination: listed targets come first, then the smallest id; the others get no new flows. With
// 4,700 targets, one in 400 such fleets has a pair with the same token.
void directory::resolve_token_conflict(routing_token token) {
    auto& targets_with_token = targets_by_token_[token];
    std::ranges::sort(targets_with_token, [](const target* left, const target* right) {
        const bool is_left_listed = left->is_listed();
        const bool is_right_listed = right->is_listed();
        return is_left_listed != is_right_listed ? is_left_listed
                                                 : left->entry.id < right->entry.id;
    });
    for (auto* each : targets_with_token) {
        each->has_token_conflict = each != targets_with_token.front();
    }
}

void directory::rebuild_pools() const {
    are_pools_stale_ = false;
    std::vector<target*> pooled;
    for (const auto& [id, held] : targets_) {
        if (is_pooled(*held)) {
            pooled.push_back(held.get());
        }
    }
    pools_.rebuild(catalogue_.services, pooled);
}

}  // namespace bramleytrack::discovery
