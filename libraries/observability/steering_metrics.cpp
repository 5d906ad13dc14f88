#include "observability/steering_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>

#include "observability/gauges.h"

namespace bramleytrack::observability {
namespace {

constexpr double milliseconds_per_second = 1000.0;

// From an answer within the zone to the longest time that a caller waits.
const prometheus::Histogram::BucketBoundaries& bucket_boundaries() {
    static const prometheus::Histogram::BucketBoundaries seconds{
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0};
    return seconds;
}

template <auto member>
double read_member(const steering_gauges& state) {
    return static_cast<double>(state.*member);
}

constexpr std::array gauges{
    gauge_description<steering_gauges>{"bramleytrack_configuration_version", "version in force",
                                       &read_member<&steering_gauges::catalogue_version>},
    gauge_description<steering_gauges>{"bramleytrack_known_revision",
                                       "newest revision of the store that is known",
                                       &read_member<&steering_gauges::known_revision>},
    gauge_description<steering_gauges>{
        "bramleytrack_confirmed_ms_ago",
        "age of the newest word that what is known is still true; -1 is never",
        &read_member<&steering_gauges::confirmed_ms_ago>},
    gauge_description<steering_gauges>{"bramleytrack_targets",
                                       "targets known, with those that ended lately",
                                       &read_member<&steering_gauges::targets>},
    gauge_description<steering_gauges>{"bramleytrack_zones_out", "availability zones taken out",
                                       &read_member<&steering_gauges::zones_out>},
    gauge_description<steering_gauges>{"bramleytrack_peers", "instances registered",
                                       &read_member<&steering_gauges::peers>},
    gauge_description<steering_gauges>{"bramleytrack_flows", "flows seen here and not closed",
                                       &read_member<&steering_gauges::flows>},
    gauge_description<steering_gauges>{"bramleytrack_store_calls", "calls made to the store",
                                       &read_member<&steering_gauges::store_calls>},
    gauge_description<steering_gauges>{"bramleytrack_lost_log_lines",
                                       "lines left out: the output wasn't read",
                                       &read_member<&steering_gauges::lost_log_lines>},
    gauge_description<steering_gauges>{"bramleytrack_malformed_datagrams",
                                       "datagrams that couldn't be decoded",
                                       &read_member<&steering_gauges::malformed_datagrams>},
    gauge_description<steering_gauges>{"bramleytrack_rejected_peer_messages",
                                       "messages of peers that weren't authentic or readable",
                                       &read_member<&steering_gauges::rejected_peer_messages>},
    gauge_description<steering_gauges>{"bramleytrack_dropped_sends",
                                       "datagrams that the system didn't take",
                                       &read_member<&steering_gauges::dropped_sends>},
    gauge_description<steering_gauges>{"bramleytrack_target_probes",
                                       "connections made to see whether a target lives",
                                       &read_member<&steering_gauges::target_probes>},
    gauge_description<steering_gauges>{"bramleytrack_targets_found_dead",
                                       "targets found dead by this instance and its peers",
                                       &read_member<&steering_gauges::targets_found_dead>},
    gauge_description<steering_gauges>{"bramleytrack_store_reachable", "1 while the store answers",
                                       &read_member<&steering_gauges::is_store_reachable>},
    gauge_description<steering_gauges>{"bramleytrack_ready", "1 while new flows are wanted here",
                                       &read_member<&steering_gauges::is_ready>},
};

std::string outcome_of(const steering::decision& made) {
    if (const auto* refused = std::get_if<steering::refuse>(&made)) {
        return "refused_" + std::string{name_of(refused->reason)};
    }
    const auto* dropped = std::get_if<steering::drop>(&made);
    return dropped == nullptr ? "forwarded" : "dropped_" + std::string{name_of(dropped->reason)};
}

}  // namespace

struct steering_metrics::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& opening_times =
        prometheus::BuildHistogram()
            .Name("bramleytrack_opening_seconds")
            .Help("time from the first opening packet seen here to the caller's next, by service")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& answer_times =
        prometheus::BuildHistogram()
            .Name("bramleytrack_answer_seconds")
            .Help("time from a request's first byte to the first of its answer, by service")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& decisions =
        prometheus::BuildCounter()
            .Name("bramleytrack_openings_total")
            .Help("what became of opening packets, and of later packets that weren't forwarded")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& slots =
        prometheus::BuildGauge()
            .Name("bramleytrack_service_slots")
            .Help("slots of the service's targets that take flows")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& open =
        prometheus::BuildGauge()
            .Name("bramleytrack_service_open_requests")
            .Help("requests open on those targets, through this instance and through the others")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& wanted =
        prometheus::BuildGauge()
            .Name("bramleytrack_service_wanted")
            .Help("requests and openings of about the last half second")
            .Register(registry);
    // Looking a series up by its labels costs more than the packet itself.
    std::map<std::string, prometheus::Histogram*, std::less<>> openings_by_service;
    std::map<std::string, prometheus::Histogram*, std::less<>> answers_by_service;

    static prometheus::Histogram& find(
        std::map<std::string, prometheus::Histogram*, std::less<>>& cache,
        prometheus::Family<prometheus::Histogram>& family, const std::string& service) {
        auto& known = cache[service];
        if (known == nullptr) {
            known = &family.Add({{"service", service}}, bucket_boundaries());
        }
        return *known;
    }
};

steering_metrics::steering_metrics() : implementation_{std::make_unique<implementation>()} {}
steering_metrics::~steering_metrics() = default;

void steering_metrics::on_opening_answered(const discovery::target& by, clock::duration took) {
    auto& self = *implementation_;
    implementation::find(self.openings_by_service, self.opening_times, by.entry.service)
        .Observe(static_cast<double>(took.count()) / milliseconds_per_second);
}

void steering_metrics::on_answer(const discovery::target& by, clock::duration took) {
    auto& self = *implementation_;
    implementation::find(self.answers_by_service, self.answer_times, by.entry.service)
        .Observe(static_cast<double>(took.count()) / milliseconds_per_second);
}

void steering_metrics::on_decision(std::string_view service, const steering::decision& made) {
    implementation_->decisions
        .Add({{"service", std::string{service}}, {"outcome", outcome_of(made)}})
        .Increment();
}

std::string steering_metrics::render(const steering_gauges& state,
                                     std::span<const service_gauges> services) {
    auto& self = *implementation_;
    for (const auto& each : services) {
        const auto set = [&each](prometheus::Family<prometheus::Gauge>& family, double value,
                                 const std::string& through) {
            family.Add({{"service", each.service}, {"through", through}}).Set(value);
        };
        self.slots.Add({{"service", each.service}}).Set(each.slots);
        set(self.open, each.open_local, "this");
        set(self.open, each.open_remote, "others");
        set(self.wanted, each.demand_local, "this");
        set(self.wanted, each.demand_remote, "others");
    }
    return render_registry<steering_gauges>(self.registry, gauges, state);
}

}  // namespace bramleytrack::observability
