#include "observability/metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <set>

#include "observability/gauges.h"

namespace bramleytrack::observability {
namespace {

using labels = std::map<std::string, std::string>;

constexpr double milliseconds_per_second = 1000.0;

// Covers the range from one forwarding hop to the maximum lifetime of a request.
const prometheus::Histogram::BucketBoundaries& bucket_boundaries() {
    static const prometheus::Histogram::BucketBoundaries seconds{0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                                 0.5,   1.0,  2.0,  5.0,  10.0};
    return seconds;
}

std::string_view name_of_outcome(wire::packet_kind outcome) {
    switch (outcome) {
        case wire::packet_kind::answer:
            return "answer";
        case wire::packet_kind::refused:
            return "not_run";
        default:
            return "unknown";
    }
}

double as_double(std::int64_t value) {
    return static_cast<double>(value);
}

constexpr std::array gauges{
    gauge_description<context>{
        "bramleytrack_packets_from_callers", "packets that the fabric handed to this instance",
        [](const context& state) { return as_double(state.counts.packets_from_callers); }},
    gauge_description<context>{
        "bramleytrack_packets_forwarded", "packets passed on to another instance",
        [](const context& state) { return as_double(state.counts.packets_forwarded); }},
    gauge_description<context>{
        "bramleytrack_packets_from_targets", "packets that targets sent to this instance",
        [](const context& state) { return as_double(state.counts.packets_from_targets); }},
    gauge_description<context>{
        "bramleytrack_packets_dropped", "packets dropped; the log gives the result code",
        [](const context& state) { return as_double(state.counts.dropped); }},
    gauge_description<context>{
        "bramleytrack_flows_recovered", "flows found again after a crash of their owner",
        [](const context& state) { return as_double(state.counts.flows_recovered); }},
    gauge_description<context>{
        "bramleytrack_targets_owned", "targets that this instance owns",
        [](const context& state) { return static_cast<double>(state.ownership.owned().size()); }},
    gauge_description<context>{
        "bramleytrack_flows", "flow records held",
        [](const context& state) { return static_cast<double>(state.flows.size()); }},
    gauge_description<context>{
        "bramleytrack_requests", "request records held",
        [](const context& state) { return static_cast<double>(state.requests.size()); }},
    gauge_description<context>{
        "bramleytrack_configuration_version", "version of the configuration in force",
        [](const context& state) { return as_double(state.configuration.version); }},
};

}  // namespace

struct metrics::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& by_member =
        prometheus::BuildHistogram()
            .Name("bramleytrack_member_request_seconds")
            .Help("time from the first copy of a request to its final outcome, by member")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& by_service =
        prometheus::BuildHistogram()
            .Name("bramleytrack_service_request_seconds")
            .Help("time from the first copy of a request to its final outcome, by service")
            .Register(registry);
    std::set<std::string> members;

    std::string member_label(const std::string& member) {
        if (members.contains(member) || members.size() < max_members) {
            members.insert(member);
            return member;
        }
        return "other";
    }
};

metrics::metrics() : implementation_{std::make_unique<implementation>()} {}
metrics::~metrics() = default;

void metrics::observe(const request_ended& event) {
    auto& self = *implementation_;
    const double seconds = as_double(event.elapsed.count()) / milliseconds_per_second;
    const std::string outcome{name_of_outcome(event.outcome)};
    self.by_member
        .Add(labels{{"member", self.member_label(event.member)}, {"outcome", outcome}},
             bucket_boundaries())
        .Observe(seconds);
    self.by_service
        .Add(labels{{"service", event.service}, {"outcome", outcome}}, bucket_boundaries())
        .Observe(seconds);
}

std::string metrics::render(const context& state) {
    auto& self = *implementation_;
    return render_registry<context>(self.registry, gauges, state);
}

}  // namespace bramleytrack::observability
