#include "steering/route_usage.h"

namespace bramleytrack::steering {
namespace {

constexpr double milliseconds_per_second = 1'000;

}  // namespace

route_usage::index route_usage::index_of(std::string_view service, std::string_view route) {
    const auto routes = by_service_.find(service);
    if (routes != by_service_.end()) {
        const auto found = routes->second.by_name.find(route);
        if (found != routes->second.by_name.end()) {
            return found->second;
        }
    }
    return entries_.size() < max_entries ? add(service, route) : shared_index();
}

route_usage::index route_usage::add(std::string_view service, std::string_view route) {
    const index added = entries_.size();
    entries_.push_back({.service = std::string{service}, .route = std::string{route}});
    measurements_.emplace_back();
    auto& routes = by_service_[entries_.back().service];
    routes.by_name.emplace(route, added);
    routes.indexes.push_back(added);
    return added;
}

route_usage::index route_usage::shared_index() {
    if (entries_.size() == max_entries) {
        entries_.emplace_back();
        measurements_.emplace_back();
    }
    return max_entries;
}

void route_usage::on_request(index subject, clock::time_point now) {
    measurements_.at(subject).requests.add(1, now);
}

void route_usage::on_begun(index subject, clock::time_point now) {
    measurements_.at(subject).begun.add(1, now);
}

double route_usage::begun_per_second(index subject, clock::time_point now) const {
    return measurements_.at(subject).begun.rate(now) * milliseconds_per_second;
}

double route_usage::requests_per_second(index subject, clock::time_point now) const {
    return measurements_.at(subject).requests.rate(now) * milliseconds_per_second;
}

void route_usage::record_answer(index subject, clock::duration answer_time, bool is_calm,
                                clock::time_point now) {
    auto& measured = measurements_.at(subject);
    const auto milliseconds = static_cast<double>(answer_time.count());
    if (is_calm) {
        measured.calm.record(milliseconds, now);
    }
    if (!measured.shortest.has_estimate() || milliseconds < measured.shortest.mean) {
        measured.shortest = {};
        measured.shortest.record(milliseconds, now);
    }
}

double route_usage::work_ms(index subject) const {
    const auto& measured = measurements_.at(subject);
    return measured.calm.has_estimate() ? measured.calm.mean : measured.shortest.mean;
}

std::span<const route_usage::index> route_usage::routes_of(std::string_view service) const {
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? std::span<const index>{} : found->second.indexes;
}

}  // namespace bramleytrack::steering
