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

// Covers the range from a response within the zone to the maximum time that a caller waits.
const prometheus::Histogram::BucketBoundaries& bucket_boundaries() {
    static const prometheus::Histogram::BucketBoundaries seconds{
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0};
    return seconds;
}

template <auto field>
double read_field(const steering_gauges& state) {
    return static_cast<double>(state.*field);
}

constexpr std::array gauges{
    gauge_description<steering_gauges>{"bramleytrack_configuration_version", "version in force",
                                       &read_field<&steering_gauges::configuration_version>},
    gauge_description<steering_gauges>{"bramleytrack_known_revision",
                                       "newest revision of the store that is known",
                                       &read_field<&steering_gauges::known_revision>},
    gauge_description<steering_gauges>{
        "bramleytrack_confirmed_ms_ago",
        "age of the newest word that what is known is still true; -1 is never",
        &read_field<&steering_gauges::confirmation_age_ms>},
    gauge_description<steering_gauges>{"bramleytrack_targets",
                                       "targets known, with those that ended lately",
                                       &read_field<&steering_gauges::targets>},
    gauge_description<steering_gauges>{"bramleytrack_zones_out", "availability zones taken out",
                                       &read_field<&steering_gauges::zones_out>},
    gauge_description<steering_gauges>{"bramleytrack_peers", "instances registered",
                                       &read_field<&steering_gauges::peers>},
    gauge_description<steering_gauges>{"bramleytrack_flows", "flows seen here and not closed",
                                       &read_field<&steering_gauges::flows>},
    gauge_description<steering_gauges>{"bramleytrack_store_calls", "calls made to the store",
                                       &read_field<&steering_gauges::store_calls>},
    gauge_description<steering_gauges>{"bramleytrack_lost_log_lines",
                                       "lines left out: the output wasn't read",
                                       &read_field<&steering_gauges::dropped_log_lines>},
    gauge_description<steering_gauges>{"bramleytrack_malformed_datagrams",
                                       "datagrams that couldn't be decoded",
                                       &read_field<&steering_gauges::malformed_datagrams>},
    gauge_description<steering_gauges>{"bramleytrack_rejected_peer_messages",
                                       "messages of peers that weren't authentic or readable",
                                       &read_field<&steering_gauges::rejected_peer_messages>},
    gauge_description<steering_gauges>{"bramleytrack_dropped_sends",
                                       "datagrams that the system didn't take",
                                       &read_field<&steering_gauges::dropped_sends>},
    gauge_description<steering_gauges>{"bramleytrack_target_probes",
                                       "connections made to see whether a target lives",
                                       &read_field<&steering_gauges::target_probes>},
    gauge_description<steering_gauges>{"bramleytrack_targets_found_dead",
                                       "targets found dead by this instance and its peers",
                                       &read_field<&steering_gauges::targets_found_dead>},
    gauge_description<steering_gauges>{"bramleytrack_store_reachable", "1 while the store answers",
                                       &read_field<&steering_gauges::is_store_reachable>},
    gauge_description<steering_gauges>{"bramleytrack_ready", "1 while new flows are wanted here",
                                       &read_field<&steering_gauges::is_ready>},
};

std::string outcome_label(const steering::decision& decision) {
    if (const auto* refused = std::get_if<steering::refuse>(&decision)) {
        return "refused_" + std::string{name_of(refused->reason)};
    }
    const auto* dropped = std::get_if<steering::drop>(&decision);
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
    prometheus::Family<prometheus::Gauge>& demand =
        prometheus::BuildGauge()
            .Name("bramleytrack_service_wanted")
            .Help("requests and openings of about the last half second")
            .Register(registry);
    // Caches the series per service: looking one up by its labels costs more than handling a
    // packet.
    std::map<std::string, prometheus::Histogram*, std::less<>> opening_histograms;
    std::map<std::string, prometheus::Histogram*, std::less<>> answer_histograms;

    static prometheus::Histogram& find(
        std::map<std::string, prometheus::Histogram*, std::less<>>& cache,
        prometheus::Family<prometheus::Histogram>& family, const std::string& service) {
        auto& histogram = cache[service];
        if (histogram == nullptr) {
            histogram = &family.Add({{"service", service}}, bucket_boundaries());
        }
        return *histogram;
    }
};

steering_metrics::steering_metrics() : implementation_{std::make_unique<implementation>()} {}
steering_metrics::~steering_metrics() = default;

void steering_metrics::on_opening_answered(const discovery::target& answered_by,
                                           clock::duration elapsed) {
    auto& self = *implementation_;
    implementation::find(self.opening_histograms, self.opening_times, answered_by.entry.service)
        .Observe(static_cast<double>(elapsed.count()) / milliseconds_per_second);
}

void steering_metrics::on_answer(const discovery::target& answered_by, clock::duration elapsed) {
    auto& self = *implementation_;
    implementation::find(self.answer_histograms, self.answer_times, answered_by.entry.service)
        .Observe(static_cast<double>(elapsed.count()) / milliseconds_per_second);
}

void steering_metrics::on_decision(std::string_view service, const steering::decision& decision) {
    implementation_->decisions
        .Add({{"service", std::string{service}}, {"outcome", outcome_label(decision)}})
        .Increment();
}

std::string steering_metrics::render(const steering_gauges& state,
                                     std::span<const service_gauges> services) {
    auto& self = *implementation_;
    for (const auto& each : services) {
        const auto set_gauge = [&each](prometheus::Family<prometheus::Gauge>& family, double value,
                                       const std::string& through) {
            family.Add({{"service", each.service}, {"through", through}}).Set(value);
        };
        self.slots.Add({{"service", each.service}}).Set(each.slots);
        set_gauge(self.open, each.open_local, "this");
        set_gauge(self.open, each.open_remote, "others");
        set_gauge(self.demand, each.demand_local, "this");
        set_gauge(self.demand, each.demand_remote, "others");
    }
    return render_registry<steering_gauges>(self.registry, gauges, state);
}

}  // namespace bramleytrack::observability
