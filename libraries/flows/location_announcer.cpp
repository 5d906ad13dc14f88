#include "flows/location_announcer.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace bramleytrack::flows {
namespace {

constexpr clock::duration retransmit_interval{500};
// After this many lost transmissions the flows are left to lookups.
constexpr int max_transmissions = 5;
constexpr std::size_t max_outstanding = 16;

std::string home_of(const location_announcer::shared_state& shared, std::string_view service,
                    routing::flow_key key, clock::time_point now) {
    const auto targets = routing::candidates_of(shared.configuration, service, key);
    return targets.empty() ? std::string{}
                           : shared.ownership.owner_of(*targets.front(), shared.peers, now);
}

std::uint32_t id_of(const location_announcer::shared_state& shared, const std::string& home) {
    if (home.empty()) {
        return 0;
    }
    const auto* peer = shared.peers.find(home);
    const auto incarnation = peer == nullptr ? shared.self.incarnation : peer->incarnation;
    const auto hash = hash_of(hash_of(home), static_cast<std::uint64_t>(incarnation));
    return static_cast<std::uint32_t>(hash) | 1U;
}

}  // namespace

std::uint32_t home_id_of(const location_announcer::shared_state& shared, std::string_view service,
                         routing::flow_key key, clock::time_point now) {
    return id_of(shared, home_of(shared, service, key, now));
}

void location_announcer::on_tick(clock::time_point now) {
    // A running scan is completed before the next one starts: with a change every few seconds the
    // scan would otherwise never reach its end.
    if (is_scan_pending_ && unscanned_keys_.empty()) {
        is_scan_pending_ = false;
        unscanned_keys_.reserve(shared_.flows.size());
        for (const auto& [key, each] : shared_.flows.all()) {
            unscanned_keys_.push_back(key);
        }
        std::ranges::sort(unscanned_keys_);  // deterministic order
    }
    resend_due(now);
    scan(now);
}

void location_announcer::scan(clock::time_point now) {
    if (outstanding_.size() >= max_outstanding) {
        return;
    }
    batch next;
    std::size_t keys = 0;
    std::map<std::string, std::vector<std::int64_t>> by_target;
    for (std::size_t i = 0;
         i < max_scanned_per_tick && !unscanned_keys_.empty() && keys < max_keys_per_tick; ++i) {
        const auto key = unscanned_keys_.back();
        const auto* existing = shared_.flows.find(key);
        if (existing == nullptr || shared_.ownership.find(existing->record.target) == nullptr) {
            unscanned_keys_.pop_back();
            continue;
        }
        const auto home = home_of(shared_, existing->record.service_name, key, now);
        const auto home_id = id_of(shared_, home);
        const bool is_up_to_date =
            home.empty() || home == shared_.self.name || home_id == existing->home_id;
        if (is_up_to_date) {
            unscanned_keys_.pop_back();
            continue;
        }
        if (!next.home.empty() && next.home != home) {
            break;  // one message per tick; the next one starts with this key
        }
        unscanned_keys_.pop_back();
        next.home = home;
        next.home_id = home_id;
        by_target[existing->record.target].push_back(static_cast<std::int64_t>(key));
        ++keys;
    }
    if (unscanned_keys_.empty()) {
        unscanned_keys_.shrink_to_fit();
    }
    if (keys == 0) {
        return;
    }
    for (auto& [target, target_keys] : by_target) {
        wire::flow_location_group group;
        group.target = target;
        group.keys = std::move(target_keys);
        next.content.groups.push_back(std::move(group));
    }
    next.content.batch = next_batch_++;
    send(outstanding_[next.content.batch] = std::move(next), now);
}

void location_announcer::send(batch& to_send, clock::time_point now) {
    to_send.sent = now;
    ++to_send.transmissions;
    wire::peer_message message;
    message.__set_locations(to_send.content);
    shared_.out.send_peer(to_send.home, std::move(message));
}

void location_announcer::resend_due(clock::time_point now) {
    std::erase_if(outstanding_, [&](const auto& each) {
        return each.second.transmissions >= max_transmissions &&
               now - each.second.sent >= retransmit_interval;
    });
    for (auto& [number, each] : outstanding_) {
        if (now - each.sent >= retransmit_interval) {
            send(each, now);
            return;  // one message per tick
        }
    }
}

void location_announcer::on_acknowledged(const wire::flow_locations_acknowledged& acknowledged) {
    const auto found = outstanding_.find(acknowledged.batch);
    if (found == outstanding_.end()) {
        return;
    }
    for (const auto& group : found->second.content.groups) {
        for (const auto key : group.keys) {
            auto* existing = shared_.flows.find(static_cast<routing::flow_key>(key));
            if (existing != nullptr && existing->record.target == group.target) {
                existing->home_id = found->second.home_id;
            }
        }
    }
    outstanding_.erase(found);
}

}  // namespace bramleytrack::flows
