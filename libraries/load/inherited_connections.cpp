#include "load/inherited_connections.h"

#include <algorithm>

namespace bramleytrack::load {
namespace {

// Maximum age of the state that a report shows.
constexpr clock::duration report_lag{3'000};
// If no report arrives within this time, flows are admitted by the heartbeat count alone.
constexpr clock::duration max_report_wait{3'000};
// Live flows send packets and are recovered within this time; then the heartbeat count is dropped.
constexpr clock::duration heartbeat_validity{10'000};

}  // namespace

void inherited_connections::begin(std::optional<int> heartbeat_count, clock::time_point now) {
    *this = {};
    is_active_ = true;
    heartbeat_count_ = heartbeat_count.value_or(0);
    heartbeat_valid_until_ = now + heartbeat_validity;
    report_awaited_until_ = heartbeat_count ? now + max_report_wait : now;
}

void inherited_connections::on_report(int connections, int local_connections,
                                      clock::time_point now) {
    if (!is_active_) {
        return;
    }
    local_counts_.push_back({now, local_connections});
    while (local_counts_.front().at < now - report_lag) {
        local_counts_.pop_front();
    }
    const auto min_local_connections =
        std::ranges::min_element(local_counts_, {}, &local_count::local_connections)
            ->local_connections;
    reported_inherited_ = std::max(0, connections - min_local_connections);
    report_awaited_until_ = now;
    is_active_ = reported_inherited_ > 0 || now < heartbeat_valid_until_;
}

void inherited_connections::on_recovered() {
    heartbeat_count_ = std::max(0, heartbeat_count_ - 1);
    reported_inherited_ = std::max(0, reported_inherited_ - 1);
}

int inherited_connections::assumed(clock::time_point now) const {
    return std::max(reported_inherited_, now < heartbeat_valid_until_ ? heartbeat_count_ : 0);
}

}  // namespace bramleytrack::load
