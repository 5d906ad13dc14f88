#include "service_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace bramleytrack::ctl {
namespace {

struct route_gauge {
    std::string_view name;
    double route_use::*member;
};

constexpr std::array route_gauges{
    route_gauge{"bramleytrack_route_demand_slots", &route_use::demand},
    route_gauge{"bramleytrack_route_entitlement_slots", &route_use::entitlement},
    route_gauge{"bramleytrack_route_open_requests", &route_use::open},
    route_gauge{"bramleytrack_route_waiting_openings", &route_use::waiting},
};

bool is_refusal(std::string_view wait_outcome) {
    return wait_outcome == "refused" || wait_outcome == "expired";
}

void add_route_sample(const metric_sample& sample, service_use& service) {
    const auto* gauge = std::ranges::find(route_gauges, sample.name, &route_gauge::name);
    const std::string route{sample.label("route")};
    if (gauge != route_gauges.end()) {
        service.routes[route].*gauge->member += sample.value;
        // The open requests of the service are reported on their own.
        if (gauge->member != &route_use::open) {
            service.total.*gauge->member += sample.value;
        }
    } else if (sample.name == "bramleytrack_opening_waits_total" &&
               is_refusal(sample.label("outcome"))) {
        service.routes[route].refused += sample.value;
    }
}

void add_service_sample(const metric_sample& sample, service_use& service) {
    if (sample.name == "bramleytrack_service_slots") {
        service.capacity = std::max(service.capacity, sample.value);
    } else if (sample.name == "bramleytrack_service_open_requests" &&
               sample.label("through") == "this") {
        service.total.open += sample.value;
    } else if (sample.name == "bramleytrack_openings_total" &&
               sample.label("outcome") == "refused_queue_full") {
        service.total.refused += sample.value;
    }
}

// Slots are fractions; counts have no decimals.
std::string format_slots(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string format_count(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.0f", value);
    return text.data();
}

std::string format_row(const std::string& service, const std::string& route,
                       const std::string& capacity, const std::array<std::string, 5>& values) {
    // Names are of any length: they are aligned up to this width and never cut.
    constexpr std::size_t name_width = 20;
    constexpr std::size_t value_width = 12;
    const auto pad = [](const std::string& text, std::size_t width) {
        return text + std::string(text.size() < width ? width - text.size() : 0, ' ');
    };
    const auto align_right = [](const std::string& text) {
        return std::string(text.size() < value_width ? value_width - text.size() : 1, ' ') + text;
    };
    auto row = pad(service, name_width) + " " + pad(route, name_width) + align_right(capacity);
    for (const auto& each : values) {
        row += align_right(each);
    }
    return row + "\n";
}

std::string format_use(const std::string& service, const std::string& route,
                       const std::string& capacity, const route_use& use) {
    return format_row(
        service, route, capacity,
        {format_slots(use.demand), format_slots(use.entitlement), format_count(use.open),
         format_count(use.waiting), format_count(use.refused)});
}

nlohmann::ordered_json use_to_json(const route_use& use) {
    return {{"demand_slots", use.demand},
            {"entitlement_slots", use.entitlement},
            {"open", use.open},
            {"waiting", use.waiting},
            {"refused", use.refused}};
}

}  // namespace

void service_table::add(std::span<const metric_sample> samples_of_instance) {
    ++instances_;
    for (const auto& sample : samples_of_instance) {
        const std::string name{sample.label("service")};
        // Openings of unknown routes are counted for the service "none".
        if (name.empty() || name == "none") {
            continue;
        }
        const bool is_of_use = sample.name.starts_with("bramleytrack_route_") ||
                               sample.name.starts_with("bramleytrack_service_") ||
                               sample.name == "bramleytrack_openings_total" ||
                               sample.name == "bramleytrack_opening_waits_total";
        if (!is_of_use) {
            continue;
        }
        auto& service = services_[name];
        if (sample.labels.contains("route")) {
            add_route_sample(sample, service);
        } else {
            add_service_sample(sample, service);
        }
    }
}

std::string service_table::to_text() const {
    auto text = format_row("service", "route", "capacity",
                           {"demand", "entitlement", "open", "waiting", "refused"});
    for (const auto& [name, service] : services_) {
        text += format_use(name, "(all)", format_count(service.capacity), service.total);
        for (const auto& [route, use] : service.routes) {
            text += format_use(name, route, "", use);
        }
    }
    text += std::to_string(instances_) + " instances answered\n";
    for (const auto& each : silent_instances_) {
        text += "no answer from " + each + ": its part is missing\n";
    }
    return text;
}

nlohmann::ordered_json service_table::to_json() const {
    auto services = nlohmann::ordered_json::array();
    for (const auto& [name, service] : services_) {
        auto entry = use_to_json(service.total);
        entry["service"] = name;
        entry["capacity_slots"] = service.capacity;
        entry["routes"] = nlohmann::ordered_json::array();
        for (const auto& [route, use] : service.routes) {
            auto row = use_to_json(use);
            row["route"] = route;
            entry["routes"].push_back(std::move(row));
        }
        services.push_back(std::move(entry));
    }
    return {{"services", std::move(services)},
            {"instances", instances_},
            {"not_answering", silent_instances_}};
}

}  // namespace bramleytrack::ctl
