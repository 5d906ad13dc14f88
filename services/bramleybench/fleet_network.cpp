#include "fleet_network.h"

#include <algorithm>
#include <utility>

namespace bramleytrack::experiments {
namespace {

constexpr double bytes_per_megabit_millisecond = 125;
constexpr clock::time_point start = to_time_point(1'000'000);

}  // namespace

fleet_network::fleet_network(const std::vector<double>& link_mbps) : now_{start} {
    for (const double mbps : link_mbps) {
        nodes_.emplace_back().bytes_per_step =
            mbps * bytes_per_megabit_millisecond * static_cast<double>(step.count());
    }
}

void fleet_network::schedule(clock::time_point at, event_callback callback) {
    events_.push(
        {.at = std::max(at, now_), .sequence = ++last_sequence_, .callback = std::move(callback)});
}

void fleet_network::send(const transfer_request& request, transfer_callback done) {
    transfers_.push_back({.request = request,
                          .done = std::move(done),
                          .bytes_left = static_cast<double>(request.bytes),
                          .sending_from = now_ + request.latency,
                          .given_up_at = now_ + request.timeout});
}

void fleet_network::run(clock::time_point end, const std::function<bool()>& is_over) {
    while (now_ < end && !is_over()) {
        run_due_events();
        advance_transfers();
        now_ += step;
        report_ended_transfers();
    }
}

void fleet_network::run_due_events() {
    while (!events_.empty() && events_.top().at <= now_) {
        const auto callback = events_.top().callback;
        events_.pop();
        callback(now_);
    }
}

void fleet_network::advance_transfers() {
    for (auto& each : nodes_) {
        each.sending = 0;
        each.receiving = 0;
    }
    for (const auto& each : transfers_) {
        if (each.sending_from <= now_) {
            ++nodes_[each.request.from].sending;
            ++nodes_[each.request.to].receiving;
        }
    }
    for (auto& each : transfers_) {
        if (each.sending_from <= now_) {
            move_bytes(each);
        }
        each.is_over = each.is_over || each.given_up_at <= now_;
    }
}

void fleet_network::move_bytes(transfer& moved) {
    auto& sender = nodes_[moved.request.from];
    auto& receiver = nodes_[moved.request.to];
    const double share = std::min(sender.bytes_per_step / sender.sending,
                                  receiver.bytes_per_step / receiver.receiving);
    const double bytes = std::min(share, moved.bytes_left);
    moved.bytes_left -= bytes;
    sender.bytes_sent += static_cast<std::int64_t>(bytes);
    receiver.last_received_at = now_;
    if (moved.request.restarts_timeout) {
        moved.given_up_at = now_ + moved.request.timeout;
    }
    moved.is_over = moved.bytes_left <= 0;
}

// Callbacks may start new transfers, so the ended ones are taken out of the list first.
void fleet_network::report_ended_transfers() {
    const auto first_ended = std::stable_partition(transfers_.begin(), transfers_.end(),
                                                   [](const auto& each) { return !each.is_over; });
    std::vector<transfer> ended{std::make_move_iterator(first_ended),
                                std::make_move_iterator(transfers_.end())};
    transfers_.erase(first_ended, transfers_.end());
    for (const auto& each : ended) {
        each.done(each.bytes_left <= 0, now_);
    }
}

}  // namespace bramleytrack::experiments
