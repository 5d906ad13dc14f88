// Tables of gauges whose values are read from a state object at each scrape.
#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <span>
#include <string>

namespace bramleytrack::observability {

template <typename state_type>
struct gauge_description {
    const char* name;
    const char* help;
    double (*read)(const state_type& state);
};

// Sets all gauges of the table and returns the whole registry in the Prometheus text format.
template <typename state_type>
std::string render_registry(prometheus::Registry& registry,
                            std::span<const gauge_description<state_type>> gauges,
                            const state_type& state) {
    for (const auto& each : gauges) {
        prometheus::BuildGauge().Name(each.name).Help(each.help).Register(registry).Add({}).Set(
            each.read(state));
    }
    return prometheus::TextSerializer{}.Serialize(registry.Collect());
}

}  // namespace bramleytrack::observability
