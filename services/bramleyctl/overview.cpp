#include "overview.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "metrics_fetch.h"

namespace bramleytrack::ctl {
namespace {

constexpr int usage_status = 2;
constexpr int inconsistent_status = 6;

struct column {
    const char* heading;
    const char* gauge;
};

constexpr std::array columns{
    column{"ready", "bramleytrack_ready"},
    column{"version", "bramleytrack_configuration_version"},
    column{"revision", "bramleytrack_known_revision"},
    column{"confirmed_ms_ago", "bramleytrack_confirmed_ms_ago"},
    column{"store", "bramleytrack_store_reachable"},
    column{"targets", "bramleytrack_targets"},
    column{"zones_out", "bramleytrack_zones_out"},
    column{"peers", "bramleytrack_peers"},
    column{"flows", "bramleytrack_flows"},
};

}  // namespace

std::map<std::string, double> parse_gauges(std::string_view text) {
    std::map<std::string, double> result;
    std::istringstream lines{std::string{text}};
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.find(' ');
        const bool has_no_labels = !line.starts_with('#') && line.find('{') == std::string::npos &&
                                   space != std::string::npos;
        if (has_no_labels) {
            result[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
        }
    }
    return result;
}

int overview(const options& options, std::span<const std::string> arguments) {
    if (arguments.size() < 2) {
        std::fprintf(stderr, "bramleyctl: overview ADDRESS..., metrics addresses as ip:port\n");
        return usage_status;
    }
    auto rows = nlohmann::ordered_json::array();
    std::set<double> versions;
    bool have_all_responded = true;
    const auto addresses = arguments.subspan(1);
    const auto texts = fetch_metrics(addresses, clock::duration{options.timeout_ms});
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto gauges = parse_gauges(texts[i]);
        nlohmann::ordered_json row{{"instance", addresses[i]}, {"reachable", !gauges.empty()}};
        have_all_responded = have_all_responded && !gauges.empty();
        for (const auto& each : columns) {
            const auto found = gauges.find(each.gauge);
            row[each.heading] = found == gauges.end()
                                    ? nlohmann::ordered_json{}
                                    : nlohmann::ordered_json(std::llround(found->second));
        }
        if (!gauges.empty()) {
            versions.insert(gauges.at(columns[1].gauge));
        }
        rows.push_back(row);
    }
    if (options.is_json) {
        std::printf("%s\n", rows.dump(2).c_str());
    } else {
        for (const auto& row : rows) {
            std::printf("%s", row["instance"].get<std::string>().c_str());
            for (const auto& each : columns) {
                std::printf(" %s=%s", each.heading, row[each.heading].dump().c_str());
            }
            std::printf("\n");
        }
    }
    return have_all_responded && versions.size() == 1 ? 0 : inconsistent_status;
}

}  // namespace bramleytrack::ctl
