#include "load/cold_start.h"

namespace bramleytrack::load {
namespace {

// A report stays valid for three intervals: reports are requested every second.
constexpr clock::duration report_validity{3'000};
// A target may close a single flow on its own; two lost flows within this time mean a restart,
// which loses all flows. With some hundred flows that send data, the second loss follows within
// milliseconds.
constexpr clock::duration lost_flows_window{1'000};

}  // namespace

bool cold_start::begin(clock::time_point now) {
    const bool was_warm = !is_cold(now);
    observed_until_ = now + cold_start_duration;
    return was_warm;
}

bool cold_start::on_report(bool is_cold_now, clock::time_point now) {
    const bool was_warm = !is_cold(now);
    if (is_cold_now) {
        reported_until_ = now + report_validity;
        return was_warm;
    }
    reported_until_ = std::min(reported_until_, now);
    return false;
}

bool cold_start::on_shed(clock::time_point now) {
    return begin(now);
}

bool cold_start::on_lost_flow(clock::time_point now) {
    const bool is_second = now - last_lost_flow_ <= lost_flows_window;
    last_lost_flow_ = now;
    return is_second && begin(now);
}

int cold_start::connection_bound(const configuration::target& target, clock::time_point now) const {
    const auto since_end = now - ends();
    if (since_end >= cold_start_ramp) {
        return target.connections;
    }
    const auto elapsed = std::max(clock::duration{0}, since_end);
    const auto growth =
        (target.connections - target.cold_connections) * elapsed.count() / cold_start_ramp.count();
    return target.cold_connections + static_cast<int>(growth);
}

int cold_start::slot_bound(const configuration::target& target, clock::time_point now) const {
    return is_cold(now) ? 1 : target.slots;
}

}  // namespace bramleytrack::load
