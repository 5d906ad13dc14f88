#include "observability/steering_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <utility>

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
    gauge_description<steering_gauges>{"bramleytrack_dropped_receives",
                                       "datagrams dropped for newer ones before they were handled",
                                       &read_field<&steering_gauges::dropped_receives>},
    gauge_description<steering_gauges>{"bramleytrack_target_probes",
                                       "connections made to see whether a target lives",
                                       &read_field<&steering_gauges::target_probes>},
    gauge_description<steering_gauges>{"bramleytrack_targets_found_dead",
                                       "targets found dead by this instance and its peers",
                                       &read_field<&steering_gauges::targets_found_dead>},
    gauge_description<steering_gauges>{
        "bramleytrack_initial_state_ms",
        "time from the start to the complete state; -1 while it is incomplete",
        &read_field<&steering_gauges::initial_state_ms>},
    gauge_description<steering_gauges>{"bramleytrack_startup_peer_queries",
                                       "queries of peers for a copy of the state at the start",
                                       &read_field<&steering_gauges::startup_peer_queries>},
    gauge_description<steering_gauges>{"bramleytrack_copies_sent",
                                       "copies of the complete state sent to peers",
                                       &read_field<&steering_gauges::copies_sent>},
    gauge_description<steering_gauges>{"bramleytrack_copies_refused",
                                       "copies of the complete state refused, the link being busy",
                                       &read_field<&steering_gauges::copies_refused>},
    gauge_description<steering_gauges>{"bramleytrack_copy_bytes_sent",
                                       "bytes of the copies sent to peers",
                                       &read_field<&steering_gauges::copy_bytes_sent>},
    gauge_description<steering_gauges>{"bramleytrack_flow_holders_sent",
                                       "flows that two targets may have accepted, of which the "
                                       "peers of the zone were told the holder",
                                       &read_field<&steering_gauges::flow_holders_sent>},
    gauge_description<steering_gauges>{"bramleytrack_flow_holders_dropped",
                                       "the same flows for which the link had no room",
                                       &read_field<&steering_gauges::flow_holders_dropped>},
    gauge_description<steering_gauges>{"bramleytrack_store_reachable", "1 while the store answers",
                                       &read_field<&steering_gauges::is_store_reachable>},
    gauge_description<steering_gauges>{"bramleytrack_ready", "1 while new flows are wanted here",
                                       &read_field<&steering_gauges::is_ready>},
};

std::string outcome_label(const steering::decision& decision) {
    if (const auto* refused = std::get_if<steering::refuse>(&decision)) {
        return "refused_" + std::string{name_of(refused->reason)};
    }
    if (std::holds_alternative<steering::hold>(decision)) {
        return "held";
    }
    const auto* dropped = std::get_if<steering::drop>(&decision);
    return dropped == nullptr ? "forwarded" : "dropped_" + std::string{name_of(dropped->reason)};
}

// The values of two labels.
using label_pair = std::pair<std::string, std::string>;

constexpr const char* other_label = "other";

// Returns the entry of the pair, or the shared one if the map is full.
template <typename entry_type>
auto& find_or_share(std::map<label_pair, entry_type>& entries, std::string_view first,
                    std::string_view second) {
    label_pair labels{first, second};
    if (!entries.contains(labels) && entries.size() >= max_metric_pairs) {
        labels = {other_label, other_label};
    }
    return *entries.try_emplace(std::move(labels)).first;
}

// The series of the openings of one route that waited for one service.
struct wait_series {
    prometheus::Histogram* waits = nullptr;
    std::array<prometheus::Counter*, steering::wait_outcome_count> ended{};
};

struct route_gauge_description {
    const char* name;
    const char* help;
    double route_gauges::*value;
};

constexpr std::array route_gauge_descriptions{
    route_gauge_description{"bramleytrack_route_demand_slots",
                            "slots that the requests of this instance's callers would keep busy",
                            &route_gauges::demand_slots},
    route_gauge_description{"bramleytrack_route_entitlement_slots",
                            "this instance's part of the slots that the route may use whatever "
                            "other routes have open",
                            &route_gauges::entitlement_slots},
    route_gauge_description{"bramleytrack_route_open_requests",
                            "requests of the route open through this instance",
                            &route_gauges::open},
    route_gauge_description{"bramleytrack_route_waiting_openings",
                            "openings of the route that wait at this instance",
                            &route_gauges::waiting},
};

// An idle route may still have an entitlement. Demand is a decaying average, which approaches 0
// without reaching it.
bool is_idle(const route_gauges& route) {
    constexpr double min_demand_slots = 0.001;
    return route.demand_slots < min_demand_slots && route.open == 0 && route.waiting == 0;
}

// The gauges of routes, which exist only while a route is in use.
class route_gauge_table {
public:
    explicit route_gauge_table(prometheus::Registry& registry) {
        for (std::size_t i = 0; i < families_.size(); ++i) {
            families_.at(i) = &prometheus::BuildGauge()
                                   .Name(route_gauge_descriptions.at(i).name)
                                   .Help(route_gauge_descriptions.at(i).help)
                                   .Register(registry);
        }
    }

    // Replaces all values. Series of routes that are idle now are removed: otherwise they would
    // report their last values for as long as the instance runs.
    void set(std::span<const route_gauges> routes) {
        std::map<label_pair, route_gauges> current;
        for (const auto& each : routes) {
            if (is_idle(each)) {
                continue;
            }
            auto& sum = find_or_share(current, each.service, each.route).second;
            for (const auto& description : route_gauge_descriptions) {
                sum.*description.value += each.*description.value;
            }
        }
        std::erase_if(series_, [&](const auto& each) {
            if (current.contains(each.first)) {
                return false;
            }
            for (std::size_t i = 0; i < families_.size(); ++i) {
                families_.at(i)->Remove(each.second.at(i));
            }
            return true;
        });
        for (const auto& [labels, values] : current) {
            auto& gauges_of_route = series_[labels];
            for (std::size_t i = 0; i < families_.size(); ++i) {
                auto& gauge = gauges_of_route.at(i);
                if (gauge == nullptr) {
                    gauge = &families_.at(i)->Add(
                        {{"service", labels.first}, {"route", labels.second}});
                }
                gauge->Set(values.*route_gauge_descriptions.at(i).value);
            }
        }
    }

private:
    static constexpr std::size_t count = route_gauge_descriptions.size();

    std::array<prometheus::Family<prometheus::Gauge>*, count> families_{};
    std::map<label_pair, std::array<prometheus::Gauge*, count>> series_;
};

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
    prometheus::Family<prometheus::Histogram>& wait_times =
        prometheus::BuildHistogram()
            .Name("bramleytrack_opening_wait_seconds")
            .Help("time for which openings waited here for capacity, by service and route")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& ended_waits =
        prometheus::BuildCounter()
            .Name("bramleytrack_opening_waits_total")
            .Help("openings that waited, by service, route and how their wait ended")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& overflows =
        prometheus::BuildCounter()
            .Name("bramleytrack_overflowed_openings_total")
            .Help("openings placed in another service of their split than the weights chose")
            .Register(registry);
    prometheus::Counter& token_mismatches =
        prometheus::BuildCounter()
            .Name("bramleytrack_token_mismatches_total")
            .Help("packets whose token named another target than the one that holds their flow")
            .Register(registry)
            .Add({});
    route_gauge_table routes{registry};
    // Caches the series per service: looking one up by its labels costs more than handling a
    // packet.
    std::map<std::string, prometheus::Histogram*, std::less<>> opening_histograms;
    std::map<std::string, prometheus::Histogram*, std::less<>> answer_histograms;

    std::map<label_pair, wait_series> waits;                       // by service and route
    std::map<label_pair, prometheus::Counter*> overflow_counters;  // by from and to

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

void steering_metrics::on_token_mismatch() {
    implementation_->token_mismatches.Increment();
}

void steering_metrics::on_wait_ended(std::string_view service, std::string_view route,
                                     steering::wait_outcome outcome, clock::duration waited) {
    auto& self = *implementation_;
    auto& [labels, series] = find_or_share(self.waits, service, route);
    if (series.waits == nullptr) {
        series.waits = &self.wait_times.Add({{"service", labels.first}, {"route", labels.second}},
                                            bucket_boundaries());
    }
    auto& counter = series.ended.at(static_cast<std::size_t>(outcome));
    if (counter == nullptr) {
        counter = &self.ended_waits.Add({{"service", labels.first},
                                         {"route", labels.second},
                                         {"outcome", std::string{name_of(outcome)}}});
    }
    series.waits->Observe(static_cast<double>(waited.count()) / milliseconds_per_second);
    counter->Increment();
}

void steering_metrics::on_overflow(std::string_view from, std::string_view to) {
    auto& self = *implementation_;
    auto& [labels, counter] = find_or_share(self.overflow_counters, from, to);
    if (counter == nullptr) {
        counter = &self.overflows.Add({{"from", labels.first}, {"to", labels.second}});
    }
    counter->Increment();
}

std::string steering_metrics::render(const steering_gauges& state,
                                     std::span<const service_gauges> services,
                                     std::span<const route_gauges> routes) {
    auto& self = *implementation_;
    self.routes.set(routes);
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
