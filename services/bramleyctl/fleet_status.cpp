#include "fleet_status.h"

#include <array>
#include <cstdio>

#include "membership/instance_list.h"

namespace bramleytrack::ctl {
namespace {

constexpr int http_ok = 200;

std::int64_t integer_or_zero(const nlohmann::json& root, const char* key) {
    return root.contains(key) && root[key].is_number_integer() ? root[key].get<std::int64_t>() : 0;
}

}  // namespace

void parse_status(std::string_view body, instance_status& status) {
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object()) {
        return;
    }
    status.is_reachable = true;
    status.incarnation = integer_or_zero(root, "incarnation");
    status.version = integer_or_zero(root, "configuration_version");
    status.flows = integer_or_zero(root, "flows");
    if (!root.contains("targets") || !root["targets"].is_array()) {
        return;
    }
    for (const auto& each : root["targets"]) {
        if (each.is_string()) {
            status.targets.push_back(each.get<std::string>());
        }
    }
}

std::optional<std::vector<instance_status>> query_instances(store_session& session,
                                                            const std::string& list_url) {
    const auto list = session.get(list_url);
    if (list.status != http_ok) {
        return std::nullopt;
    }
    std::vector<instance_status> result;
    for (const auto& each : membership::parse_instance_list(list.body)) {
        instance_status status;
        status.name = each.name;
        status.zone = each.zone;
        status.is_leaving = each.is_leaving;
        parse_status(session.get("http://" + each.admin_address + "/status").body, status);
        result.push_back(std::move(status));
    }
    return result;
}

std::vector<std::string> instances_not_in_force(const std::vector<instance_status>& instances,
                                                std::int64_t version) {
    std::vector<std::string> pending;
    for (const auto& each : instances) {
        if (!each.is_leaving && each.version < version) {
            pending.push_back(each.is_reachable ? each.name : each.name + " (unreachable)");
        }
    }
    return pending;
}

nlohmann::ordered_json to_json(const std::vector<instance_status>& instances) {
    auto rows = nlohmann::ordered_json::array();
    for (const auto& each : instances) {
        rows.push_back({{"instance", each.name},
                        {"zone", each.zone},
                        {"is_reachable", each.is_reachable},
                        {"is_leaving", each.is_leaving},
                        {"incarnation", each.incarnation},
                        {"configuration_version", each.version},
                        {"flows", each.flows},
                        {"targets", each.targets}});
    }
    return rows;
}

std::string to_table(const std::vector<instance_status>& instances) {
    constexpr std::size_t max_line_length = 160;
    std::array<char, max_line_length> line{};
    const auto* row_format = "%-20s %-14s %-12s %10s %14s %8s %8s\n";
    std::snprintf(line.data(), line.size(), row_format, "instance", "zone", "state", "version",
                  "incarnation", "flows", "targets");
    std::string table = line.data();
    for (const auto& each : instances) {
        const auto* state = !each.is_reachable ? "unreachable"
                            : each.is_leaving  ? "leaving"
                                               : "live";
        std::snprintf(line.data(), line.size(), row_format, each.name.c_str(), each.zone.c_str(),
                      state, std::to_string(each.version).c_str(),
                      std::to_string(each.incarnation).c_str(), std::to_string(each.flows).c_str(),
                      std::to_string(each.targets.size()).c_str());
        table += line.data();
    }
    return table;
}

}  // namespace bramleytrack::ctl
