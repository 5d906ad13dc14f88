#include "steering/rejection_summary.h"

namespace bramleytrack::steering {

void rejection_summary::add(std::string_view service, std::string_view decision, result_code reason,
                            bool is_over_share) {
    const std::tuple cause{std::string{service}, std::string{decision}, reason};
    if (!counts_.contains(cause) && counts_.size() >= max_causes) {
        return;
    }
    auto& totals = counts_[cause];
    ++totals.openings;
    totals.over_share += is_over_share ? 1 : 0;
}

void rejection_summary::report(event_log& log, std::string_view zone, clock::time_point now) {
    if (counts_.empty() || now - reported_at_ < interval) {
        return;
    }
    reported_at_ = now;
    for (const auto& [cause, totals] : counts_) {
        const auto& [service, decision, reason] = cause;
        log.write(log_event{"turned_away"}
                      .with("service", service)
                      .with("zone", zone)
                      .with("decision", decision)
                      .with("reason", name_of(reason))
                      .with("openings_without_line", totals.openings)
                      .with("of_callers_over_share", totals.over_share));
    }
    counts_.clear();
}

}  // namespace bramleytrack::steering
