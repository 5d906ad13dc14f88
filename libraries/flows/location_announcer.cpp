#include "flows/location_announcer.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace bramleytrack::flows {
namespace {

constexpr clock::duration repeat_interval{500};
// Later losses are made good by lookups.
constexpr int max_copies = 5;
constexpr std::size_t max_outstanding = 16;

std::string home_of(const location_announcer::shared_state& shared, std::string_view service,
                    routing::flow_key key, clock::time_point now) {
    const auto targets = routing::candidates_of(shared.configuration, service, key);
    return targets.empty() ? std::string{}
                           : shared.ownership.owner_of(*targets.front(), shared.peers, now);
}

std::uint32_t mark_of(const location_announcer::shared_state& shared, const std::string& home) {
    if (home.empty()) {
        return 0;
    }
    const auto* peer = shared.peers.find(home);
    const auto life = peer == nullptr ? shared.self.incarnation : peer->incarnation;
    const auto mark = hash_of(hash_of(home), static_cast<std::uint64_t>(life));
    return static_cast<std::uint32_t>(mark) | 1U;
}

}  // namespace

std::uint32_t mark_of_home(const location_announcer::shared_state& shared, std::string_view service,
                           routing::flow_key key, clock::time_point now) {
    return mark_of(shared, home_of(shared, service, key, now));
}

void location_announcer::on_tick(clock::time_point now) {
    // A scan that has begun is ended first: with a change every few seconds its end would never be
    // reached otherwise.
    if (is_scan_wanted_ && scan_.empty()) {
        is_scan_wanted_ = false;
        scan_.reserve(shared_.flows.size());
        for (const auto& [key, each] : shared_.flows.all()) {
            scan_.push_back(key);
        }
        std::ranges::sort(scan_);  // the same order on every run
    }
    repeat(now);
    scan(now);
}

void location_announcer::scan(clock::time_point now) {
    if (outstanding_.size() >= max_outstanding) {
        return;
    }
    batch next;
    std::size_t keys = 0;
    std::map<std::string, std::vector<std::int64_t>> by_target;
    for (std::size_t i = 0; i < scanned_per_tick && !scan_.empty() && keys < keys_per_tick; ++i) {
        const auto key = scan_.back();
        const auto* known = shared_.flows.find(key);
        if (known == nullptr || shared_.ownership.find(known->record.target) == nullptr) {
            scan_.pop_back();
            continue;
        }
        const auto home = home_of(shared_, known->record.service_name, key, now);
        const auto mark = mark_of(shared_, home);
        const bool is_told = home.empty() || home == shared_.self.name || mark == known->home_mark;
        if (is_told) {
            scan_.pop_back();
            continue;
        }
        if (!next.home.empty() && next.home != home) {
            break;  // one message a tick; the key stays for the next one
        }
        scan_.pop_back();
        next.home = home;
        next.home_mark = mark;
        by_target[known->record.target].push_back(static_cast<std::int64_t>(key));
        ++keys;
    }
    if (scan_.empty()) {
        scan_.shrink_to_fit();
    }
    if (keys == 0) {
        return;
    }
    for (auto& [target, listed] : by_target) {
        wire::flow_location_group group;
        group.target = target;
        group.keys = std::move(listed);
        next.content.groups.push_back(std::move(group));
    }
    next.content.batch = next_batch_++;
    send(outstanding_[next.content.batch] = std::move(next), now);
}

void location_announcer::send(batch& subject, clock::time_point now) {
    subject.sent = now;
    ++subject.copies;
    wire::peer_message message;
    message.__set_locations(subject.content);
    shared_.out.send_peer(subject.home, std::move(message));
}

void location_announcer::repeat(clock::time_point now) {
    std::erase_if(outstanding_, [&](const auto& each) {
        return each.second.copies >= max_copies && now - each.second.sent >= repeat_interval;
    });
    for (auto& [number, each] : outstanding_) {
        if (now - each.sent >= repeat_interval) {
            send(each, now);
            return;  // one message a tick
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
            auto* known = shared_.flows.find(static_cast<routing::flow_key>(key));
            if (known != nullptr && known->record.target == group.target) {
                known->home_mark = found->second.home_mark;
            }
        }
    }
    outstanding_.erase(found);
}

}  // namespace bramleytrack::flows
