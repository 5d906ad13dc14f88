#include "fleet/startup_plan.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "discovery/peer_shard.h"

namespace bramleytrack::fleet {
namespace {

// The rate that a link without a known rate counts with: the smallest of the planned machines.
constexpr double min_link_mbps = 10;

}  // namespace

startup_plan::startup_plan(std::string self, double link_mbps, std::vector<std::string> seeds,
                           std::uint64_t seed, startup_limits limits)
    : self_{std::move(self)},
      own_shard_{discovery::peer_shard(self_)},
      link_mbps_{link_mbps},
      seeds_{std::move(seeds)},
      random_{static_cast<std::minstd_rand::result_type>(seed)},
      limits_{limits},
      next_shard_{own_shard_},
      listing_retry_{limits.listing_retry} {}

std::optional<std::size_t> startup_plan::next_listing(clock::time_point last_received_at,
                                                      clock::time_point now) {
    const auto last_progress = std::max(listing_requested_at_, last_received_at);
    const bool is_lost = is_listing_pending_ && now - last_progress >= listing_retry_;
    if (now < next_listing_at_ || (is_listing_pending_ && !is_lost)) {
        return std::nullopt;
    }
    listing_retry_ = is_lost ? next_listing_retry() : limits_.listing_retry;
    is_listing_pending_ = true;
    listing_requested_at_ = now;
    return next_shard_;
}

// With a jitter of half to the whole of it, so that the instances of a fleet that started together
// don't repeat their listings together.
clock::duration startup_plan::next_listing_retry() {
    const auto longest = std::min(2 * listing_retry_, limits_.max_listing_retry);
    std::uniform_int_distribution<std::int64_t> jitter{longest.count() / 2, longest.count()};
    return std::max(limits_.listing_retry, clock::duration{jitter(random_)});
}

void startup_plan::on_listed(std::size_t shard, std::span<const discovery::peer_entry> members,
                             clock::time_point now) {
    for (const auto& each : members) {
        if (each.name != self_) {
            candidates_[each.name] = {.pull_address = each.pull_address,
                                      .link_mbps = std::max(min_link_mbps, each.link_mbps)};
        }
    }
    // A response to a repeated listing has no further effect.
    if (shard != next_shard_ || !is_listing_pending_) {
        return;
    }
    is_listing_pending_ = false;
    const bool is_first = !listed_at_.has_value();
    listed_at_ = listed_at_.value_or(now);
    const bool is_registered =
        std::ranges::find(members, self_, &discovery::peer_entry::name) != members.end();
    if (is_first && !is_registered) {
        next_listing_at_ = now + limits_.relisting_delay;
        return;
    }
    if (!read_at_) {
        rank_own_shard(members, now);
    }
    next_shard_ = (next_shard_ + 1) % discovery::peer_shards;
    next_listing_at_ = now + limits_.next_shard_interval;
}

void startup_plan::rank_own_shard(std::span<const discovery::peer_entry> members,
                                  clock::time_point now) {
    const auto order_of = [](const std::string& name, double link_mbps) {
        return std::pair{-std::max(min_link_mbps, link_mbps), hash_of(name)};
    };
    const auto own_order = order_of(self_, link_mbps_);
    std::vector<std::pair<std::pair<double, std::uint64_t>, std::string>> others;
    for (const auto& each : members) {
        if (each.name != self_) {
            others.emplace_back(order_of(each.name, each.link_mbps), each.name);
        }
    }
    const auto rank = static_cast<std::size_t>(
        std::ranges::count_if(others, [&](const auto& each) { return each.first < own_order; }));
    const auto readers =
        std::max<std::size_t>(1, limits_.max_readers_times_members / (others.size() + 1));
    const auto readers_before = rank < readers ? 0 : rank - readers + 1;
    read_delay_ = limits_.reader_interval * static_cast<std::int64_t>(readers_before);
    read_at_ = now + read_delay_;
    std::ranges::sort(others);
    for (const auto& each : others) {
        if (preferred_.size() < limits_.preferred_sources) {
            preferred_.push_back(each.second);
        }
    }
}

void startup_plan::on_source_expected(clock::time_point now) {
    if (!read_at_) {
        return;
    }
    next_listing_at_ = now + limits_.next_shard_interval;
    if (now < *read_at_) {
        read_at_ = now + read_delay_;
    }
}

store::read_extent startup_plan::allowed_read(clock::time_point now) const {
    if (!listed_at_) {
        return store::read_extent::nothing;
    }
    if (!read_at_) {
        return store::read_extent::first_page;
    }
    return now >= *read_at_ ? store::read_extent::everything : store::read_extent::nothing;
}

std::optional<pull_source> startup_plan::next_source() {
    const auto query = queries_++;
    last_source_.clear();
    if (candidates_.empty()) {
        return seeds_.empty() ? std::nullopt
                              : std::optional{pull_source{
                                    .peer = "seed", .address = seeds_[query % seeds_.size()]}};
    }
    constexpr std::size_t cycle = 3;
    const auto position = query % cycle;
    if (position >= preferred_.size() || position + 1 == cycle) {
        last_source_ = random_candidate();
    } else {
        const auto next = 1 + (query / cycle) % std::max<std::size_t>(1, preferred_.size() - 1);
        last_source_ = preferred_[position == 0 ? 0 : next];
    }
    return pull_source{.peer = last_source_, .address = candidates_[last_source_].pull_address};
}

void startup_plan::on_source_unreachable() {
    candidates_.erase(last_source_);
    std::erase(preferred_, last_source_);
}

// A peer with a faster link sends more copies in the same time, so it is selected more often.
std::string startup_plan::random_candidate() {
    double sum = 0;
    for (const auto& [name, each] : candidates_) {
        sum += each.link_mbps;
    }
    double position = std::uniform_real_distribution{0.0, sum}(random_);
    auto selected = candidates_.begin();
    for (auto next = selected; next != candidates_.end(); ++next) {
        selected = next;
        position -= next->second.link_mbps;
        if (position < 0) {
            break;
        }
    }
    return selected->first;
}

}  // namespace bramleytrack::fleet
