#include "steering/opening_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace bramleytrack::steering {
namespace {

// Over how long releases are averaged. Demand changes within seconds, and half a second covers
// several releases of any service that is worth waiting for.
constexpr double rate_window_ms = 500;
// After this long without waiting openings the release rate is forgotten: a rate from an earlier
// overload would refuse the openings of the next one before any release is seen.
constexpr clock::duration max_history_age{1'000};
// Releases are tried every 10 ms while openings wait. In a longer gap the process was frozen, and
// time without a chance of a release must not lower the release rate.
constexpr clock::duration max_release_gap{100};
constexpr clock::duration max_expected_wait{60'000};
// The work of a route is 0 until it was measured; at no cost its callers would always come first.
constexpr double min_cost_ms = 1;
// What callers without openings were charged is kept for so many of them at each level.
constexpr std::size_t max_idle_callers = 2'000;

}  // namespace

void opening_queue::release_history::advance(clock::time_point now) {
    const auto elapsed = std::clamp(now - updated_at, clock::duration{0}, max_release_gap);
    const double kept = std::exp(-static_cast<double>(elapsed.count()) / rate_window_ms);
    released *= kept;
    busy_ms = busy_ms * kept + rate_window_ms * (1 - kept);
    updated_at = now;
}

queue_outcome opening_queue::push(waiting_opening opening, clock::time_point now) {
    const auto flow = opening.packet.flow;
    if (openings_.contains(flow)) {
        return queue_outcome::queued;
    }
    if (expected_wait(opening.service, opening.priority, now) > opening.refuse_at - now) {
        return queue_outcome::wait_too_long;
    }
    if (openings_.size() >= limits_.max_entries && !evict_for(opening)) {
        return queue_outcome::full;
    }
    begin_busy_period(opening.service, now);
    auto& service = services_.find(opening.service)->second;
    auto& route =
        service.routes
            .try_emplace(opening.route,
                         route_count{.id = static_cast<std::uint32_t>(service.routes.size())})
            .first->second;
    opening.datagram.shrink_to_fit();  // it may have been read into a larger buffer
    auto& added = openings_[flow];
    added = {.opening = std::move(opening),
             .arrival = next_arrival_++,
             .service = &service,
             .position = {}};
    added.position = service.levels[added.opening.priority].push(
        {.member = flow.caller.address,
         .kind = route.id,
         .cost = std::max(min_cost_ms, added.opening.work_ms),
         .rank = added.arrival,
         .opening = &added});
    ++route.waiting;
    ++service.size;
    by_end_.emplace(added.opening.refuse_at, added.arrival, &added);
    by_priority_.emplace(added.opening.priority, added.arrival, &added);
    by_caller_.emplace(flow.caller.address, added.arrival, &added);
    count(flow, true);
    return queue_outcome::queued;
}

bool opening_queue::evict_for(const waiting_opening& opening) {
    // The limit for those that ended bounds memory if take_expired() is not called for long.
    if (openings_.empty() || limits_.max_entries == 0 || ended_.size() >= limits_.max_entries) {
        return false;
    }
    const auto& [priority, arrival, least_urgent] = *by_priority_.rbegin();
    if (priority > opening.priority) {
        ended_.push_back(take(*least_urgent, false));
        return true;
    }
    const auto own = entries_by_caller_.find(opening.packet.flow.caller.address);
    const std::size_t count_with_new = 1 + (own == entries_by_caller_.end() ? 0 : own->second);
    const auto [entries, caller] = *callers_by_entries_.rbegin();
    if (entries <= count_with_new) {
        return false;
    }
    const auto after_newest =
        by_caller_.lower_bound({caller, std::numeric_limits<std::uint64_t>::max(), nullptr});
    ended_.push_back(take(*std::get<waiting*>(*std::prev(after_newest)), false));
    return true;
}

// The release history covers only the time in which openings wait.
void opening_queue::begin_busy_period(std::string_view service, clock::time_point now) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        // The services of the catalogue may change; those without openings are dropped here.
        std::erase_if(services_, [now](const auto& each) {
            return each.second.size == 0 && now - each.second.history.updated_at > max_history_age;
        });
        found = services_.try_emplace(std::string{service}).first;
    }
    auto& [name, queue] = *found;
    if (queue.size > 0) {
        return;
    }
    queue.routes.clear();
    if (now - queue.history.updated_at > max_history_age) {
        queue.history = {};
    }
    queue.history.updated_at = now;
}

void opening_queue::count(const flow_key& flow, bool is_added) {
    const auto caller = flow.caller.address;
    auto& entries = entries_by_caller_[caller];
    callers_by_entries_.erase({entries, caller});
    is_added ? ++entries : --entries;
    if (entries > 0) {
        callers_by_entries_.emplace(entries, caller);
    } else {
        entries_by_caller_.erase(caller);
    }
}

bool opening_queue::contains(const flow_key& flow) const {
    return openings_.contains(flow);
}

std::optional<waiting_opening> opening_queue::remove(const flow_key& flow) {
    const auto found = openings_.find(flow);
    if (found == openings_.end()) {
        return std::nullopt;
    }
    return take(found->second, false);
}

waiting_opening opening_queue::take(waiting& taken, bool is_dispatched) {
    auto& service = *taken.service;
    auto opening = std::move(taken.opening);
    const auto flow = opening.packet.flow;
    auto& openings = service.levels.at(opening.priority);
    if (is_dispatched) {
        openings.dispatch(taken.position);
        openings.limit_idle_members(max_idle_callers);
    } else {
        openings.remove(taken.position);
    }
    --service.routes.find(opening.route)->second.waiting;
    --service.size;
    by_end_.erase({opening.refuse_at, taken.arrival, &taken});
    by_priority_.erase({opening.priority, taken.arrival, &taken});
    by_caller_.erase({flow.caller.address, taken.arrival, &taken});
    count(flow, false);
    openings_.erase(flow);
    return opening;
}

void opening_queue::release(std::string_view service, clock::time_point now, const placer& place) {
    end_expired(now);
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.size == 0) {
        return;
    }
    auto& queue = found->second;
    queue.history.advance(now);
    std::set<std::uint32_t> skipped;
    for (auto& [priority, openings] : queue.levels) {
        release_level(openings, place, skipped, queue.history);
    }
}

void opening_queue::release_level(level& openings, const placer& place,
                                  std::set<std::uint32_t>& skipped, release_history& history) {
    const auto is_skipped = [&skipped](std::uint32_t route) { return skipped.contains(route); };
    while (const auto next = openings.next(is_skipped)) {
        const auto& entry = **next;
        if (place(entry.opening->opening)) {
            take(*entry.opening, true);
            ++history.released;
        } else {
            skipped.insert(entry.kind);
        }
    }
}

void opening_queue::end_expired(clock::time_point now) {
    while (!by_end_.empty() && std::get<clock::time_point>(*by_end_.begin()) <= now) {
        ended_.push_back(take(*std::get<waiting*>(*by_end_.begin()), false));
    }
}

std::vector<waiting_opening> opening_queue::take_expired(clock::time_point now) {
    end_expired(now);
    return std::exchange(ended_, {});
}

std::vector<waiting_opening> opening_queue::take_all() {
    std::vector<waiting_opening> taken;
    taken.reserve(openings_.size());
    for (auto& [name, service] : services_) {
        for (auto& [priority, openings] : service.levels) {
            while (const auto next = openings.next()) {
                taken.push_back(take(*(*next)->opening, true));
            }
        }
    }
    return taken;
}

clock::duration opening_queue::expected_wait(std::string_view service, int priority,
                                             clock::time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return clock::duration{0};
    }
    std::size_t ahead = 0;
    for (const auto& [each, openings] : found->second.levels) {
        ahead += each <= priority ? openings.size() : 0;
    }
    auto history = found->second.history;
    history.advance(now);
    if (ahead == 0 || history.released == 0) {
        return clock::duration{0};  // without a release so far, waiting is worth a try
    }
    const double wait_ms = static_cast<double>(ahead) * history.busy_ms / history.released;
    return wait_ms >= static_cast<double>(max_expected_wait.count())
               ? max_expected_wait
               : clock::duration{static_cast<clock::rep>(wait_ms)};
}

std::size_t opening_queue::size() const {
    return openings_.size();
}

std::size_t opening_queue::size_of(std::string_view service, std::string_view route) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    const auto counted = found->second.routes.find(route);
    return counted == found->second.routes.end() ? 0 : counted->second.waiting;
}

std::vector<std::string> opening_queue::services() const {
    std::vector<std::string> names;
    for (const auto& [name, service] : services_) {
        if (service.size > 0) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace bramleytrack::steering
