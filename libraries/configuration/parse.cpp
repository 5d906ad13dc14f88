#include "configuration/parse.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "base/hash.h"
#include "configuration/json_source_map.h"
#include "configuration/patch.h"

namespace bramleytrack::configuration {
namespace {

using json = nlohmann::json;

constexpr int max_limit = 1'000'000;
constexpr double max_weight = 1'000.0;
// Names appear in logs, metrics and commands.
constexpr std::size_t max_name_length = 64;
constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

constexpr std::array<std::string_view, 4> root_keys{"zones", "services", "targets", "instances"};
constexpr std::array<std::string_view, 2> zone_keys{"name", "state"};
constexpr std::array<std::string_view, 3> service_keys{"name", "address", "depends_on"};
constexpr std::array<std::string_view, 9> target_keys{
    "name",   "zone", "service", "address", "slots", "connections", "cold_connections",
    "weight", "state"};
constexpr std::array<std::string_view, 2> instance_keys{"name", "state"};

// The value found, shortened for a message.
std::string found_value(const json& item, const std::string& key) {
    if (!item.contains(key)) {
        return ", found nothing";
    }
    constexpr std::size_t max_shown = 40;
    auto shown = item[key].dump(-1, ' ', true, json::error_handler_t::replace);
    if (shown.size() > max_shown) {
        shown = shown.substr(0, max_shown) + "...";
    }
    return ", found " + shown;
}

// Collects all errors of the document in one pass, so that an operator can correct them together.
class document_reader {
public:
    explicit document_reader(configuration& result) : result_{result} {}

    std::vector<fault> read(const json& root) {
        if (!root.is_object()) {
            report("", "expected an object with zones, services and targets");
            return std::move(faults_);
        }
        allow_only(root, "", root_keys);
        for_each_item(root, "zones",
                      [this](const json& item, const std::string& path) { zone_at(item, path); });
        for_each_item(root, "services", [this](const json& item, const std::string& path) {
            service_at(item, path);
        });
        for_each_item(root, "targets",
                      [this](const json& item, const std::string& path) { target_at(item, path); });
        if (root.contains("instances")) {
            for_each_item(root, "instances", [this](const json& item, const std::string& path) {
                instance_at(item, path);
            });
        }
        result_.build_indexes();
        check_references();
        return std::move(faults_);
    }

private:
    configuration& result_;
    std::vector<fault> faults_;
    std::set<std::string> names_;      // "kind/name" of all items read so far
    std::set<std::string> addresses_;  // of services and targets
    std::set<std::string> used_;       // "kind/name" of zones and services that have a target

    void report(const std::string& path, std::string message) {
        faults_.push_back({.line = 0, .path = path, .message = std::move(message)});
    }

    template <typename Visitor>
    void for_each_item(const json& root, const std::string& key, Visitor visit) {
        const auto path = "/" + key;
        if (!root.contains(key) || !root[key].is_array()) {
            report(path, "expected a list" + found_value(root, key));
            return;
        }
        std::size_t index = 0;
        for (const auto& item : root[key]) {
            const auto item_path = path + "/" + std::to_string(index++);
            if (item.is_object()) {
                visit(item, item_path);
            } else {
                report(item_path, "expected an object");
            }
        }
    }

    void allow_only(const json& item, const std::string& path,
                    std::span<const std::string_view> keys) {
        for (const auto& [key, value] : item.items()) {
            if (std::ranges::find(keys, key) == keys.end()) {
                report(path + "/" + key, unknown_key_message(key, keys));
            }
        }
    }

    std::string text_at(const json& item, const std::string& path, const std::string& key) {
        if (!item.contains(key) || !item[key].is_string() || item[key].get<std::string>().empty()) {
            report(path + "/" + key, "expected a text that is not empty" + found_value(item, key));
            return {};
        }
        return item[key].get<std::string>();
    }

    int limit_at(const json& item, const std::string& path, const std::string& key, int fallback) {
        if (!item.contains(key)) {
            return fallback;
        }
        // Compared as a double: a number of more than 64 bits must not wrap into the range.
        const bool is_integer = item[key].is_number_integer();
        const double value = is_integer ? item[key].get<double>() : 0;
        if (value < 1 || value > max_limit) {
            report(path + "/" + key, "expected a whole number from 1 to " +
                                         std::to_string(max_limit) + found_value(item, key));
            return fallback;
        }
        return item[key].get<int>();
    }

    template <typename State>
    State state_at(const json& item, const std::string& path, std::string_view first,
                   std::string_view second, State first_state, State second_state) {
        if (!item.contains("state") || item["state"] == first) {
            return first_state;
        }
        if (item["state"] != second) {
            report(path + "/state", "expected \"" + std::string{first} + "\" or \"" +
                                        std::string{second} + "\"" + found_value(item, "state"));
        }
        return second_state;
    }

    std::string name_at(const json& item, const std::string& path, const std::string& kind) {
        auto name = text_at(item, path, "name");
        if (name.size() > max_name_length ||
            name.find_first_not_of(name_characters) != std::string::npos) {
            report(path + "/name", "expected at most " + std::to_string(max_name_length) +
                                       " letters, digits or \"-_.\"" + found_value(item, "name"));
        }
        if (!name.empty() && !names_.insert(kind + "/" + name).second) {
            report(path + "/name", "the name \"" + name + "\" is taken by another " + kind);
        }
        return name;
    }

    std::string address_at(const json& item, const std::string& path) {
        auto address = text_at(item, path, "address");
        if (!address.empty() && !is_numeric_address(address)) {
            report(path + "/address", "expected a numeric ip:port such as 10.0.0.1:443" +
                                          found_value(item, "address"));
        } else if (!address.empty() && !addresses_.insert(address).second) {
            report(path + "/address", "the address \"" + address + "\" is taken");
        }
        return address;
    }

    void zone_at(const json& item, const std::string& path) {
        allow_only(item, path, zone_keys);
        zone read;
        read.name = name_at(item, path, "zone");
        read.state = state_at(item, path, "in", "out", zone_state::in, zone_state::out);
        result_.zones.push_back(std::move(read));
    }

    void service_at(const json& item, const std::string& path) {
        allow_only(item, path, service_keys);
        service read;
        read.name = name_at(item, path, "service");
        read.address = address_at(item, path);
        const auto dependencies = item.value("depends_on", json::array());
        const bool is_list_of_names =
            dependencies.is_array() &&
            std::ranges::all_of(dependencies, [](const json& each) { return each.is_string(); });
        if (is_list_of_names) {
            read.depends_on = dependencies.get<std::vector<std::string>>();
        } else {
            report(path + "/depends_on",
                   "expected a list of names of services" + found_value(item, "depends_on"));
        }
        result_.services.push_back(std::move(read));
    }

    void target_at(const json& item, const std::string& path) {
        allow_only(item, path, target_keys);
        target read;
        read.name = name_at(item, path, "target");
        read.zone = text_at(item, path, "zone");
        read.service = text_at(item, path, "service");
        read.address = address_at(item, path);
        read.slots = limit_at(item, path, "slots", 1);
        read.connections = limit_at(item, path, "connections", 1);
        read.cold_connections = limit_at(item, path, "cold_connections", read.connections);
        if (item.contains("weight")) {
            const double weight = item["weight"].is_number() ? item["weight"].get<double>() : 0;
            if (std::isnormal(weight) && weight > 0 && weight <= max_weight) {
                read.weight = weight;
            } else {
                report(path + "/weight",
                       "expected a number above 0, at most 1000" + found_value(item, "weight"));
            }
        }
        read.state = state_at(item, path, "active", "draining", target_state::active,
                              target_state::draining);
        result_.targets.push_back(std::move(read));
    }

    void instance_at(const json& item, const std::string& path) {
        allow_only(item, path, instance_keys);
        instance_entry read;
        read.name = name_at(item, path, "instance");
        read.state = state_at(item, path, "active", "retired", instance_state::active,
                              instance_state::retired);
        result_.instances.push_back(std::move(read));
    }

    void check_references() {
        for (std::size_t i = 0; i < result_.targets.size(); ++i) {
            const auto& read = result_.targets[i];
            const auto path = "/targets/" + std::to_string(i);
            used_.insert("zone/" + read.zone);
            used_.insert("service/" + read.service);
            if (!read.zone.empty() && result_.find_zone(read.zone) == nullptr) {
                report(path + "/zone", "there is no zone \"" + read.zone + "\"");
            }
            if (!read.service.empty() && result_.find_service(read.service) == nullptr) {
                report(path + "/service", "there is no service \"" + read.service + "\"");
            }
        }
        for (std::size_t i = 0; i < result_.services.size(); ++i) {
            check_service(result_.services[i], "/services/" + std::to_string(i));
        }
        for (std::size_t i = 0; i < result_.zones.size(); ++i) {
            const auto& name = result_.zones[i].name;
            if (!name.empty() && !used_.contains("zone/" + name)) {
                report("/zones/" + std::to_string(i), "the zone \"" + name + "\" has no target");
            }
        }
        check_cycles();
    }

    void check_service(const service& read, const std::string& path) {
        if (!read.name.empty() && !used_.contains("service/" + read.name)) {
            report(path, "the service \"" + read.name + "\" has no target");
        }
        for (std::size_t i = 0; i < read.depends_on.size(); ++i) {
            if (result_.find_service(read.depends_on[i]) == nullptr) {
                report(path + "/depends_on/" + std::to_string(i),
                       "there is no service \"" + read.depends_on[i] + "\"");
            }
        }
    }

    // Reports each cycle once. Kahn's algorithm removes the services whose dependencies are all
    // resolved; from every remaining service, unresolved dependencies lead into a cycle. Iterative,
    // since dependency chains may be thousands of services long.
    void check_cycles() {
        const auto& services = result_.services;
        std::vector<std::vector<std::size_t>> dependents(services.size());
        std::vector<std::size_t> unresolved(services.size(), 0);
        for (std::size_t i = 0; i < services.size(); ++i) {
            for (const auto& each : services[i].depends_on) {
                if (const auto* found_service = result_.find_service(each)) {
                    dependents[position_of(*found_service)].push_back(i);
                    ++unresolved[i];
                }
            }
        }
        std::vector<std::size_t> resolved;
        for (std::size_t i = 0; i < services.size(); ++i) {
            if (unresolved[i] == 0) {
                resolved.push_back(i);
            }
        }
        for (std::size_t next = 0; next < resolved.size(); ++next) {
            for (const auto each : dependents[resolved[next]]) {
                if (--unresolved[each] == 0) {
                    resolved.push_back(each);
                }
            }
        }
        std::vector<std::size_t> walk_of(services.size(), 0);  // 0: not visited
        for (std::size_t i = 0; i < services.size(); ++i) {
            if (unresolved[i] > 0 && walk_of[i] == 0) {
                report_cycle(i, unresolved, walk_of);
            }
        }
    }

    void report_cycle(std::size_t from, const std::vector<std::size_t>& unresolved,
                      std::vector<std::size_t>& walk_of) {
        const auto walk = from + 1;
        std::vector<std::size_t> path;
        auto current = from;
        while (walk_of[current] == 0) {
            walk_of[current] = walk;
            path.push_back(current);
            for (const auto& each : result_.services[current].depends_on) {
                const auto* next = result_.find_service(each);
                if (next != nullptr && unresolved[position_of(*next)] > 0) {
                    current = position_of(*next);
                    break;
                }
            }
        }
        if (walk_of[current] != walk) {
            return;  // leads into a cycle that was reported before
        }
        std::string names;
        for (auto each = std::ranges::find(path, current); each != path.end(); ++each) {
            names += result_.services[*each].name + " -> ";
        }
        report("/services/" + std::to_string(current) + "/depends_on",
               "services depend on each other: " + names + result_.services[current].name);
    }

    std::size_t position_of(const service& each) const {
        return static_cast<std::size_t>(&each - result_.services.data());
    }
};

}  // namespace

parse_result parse_configuration(std::string_view text, std::int64_t version) {
    if (text.size() > max_text_size) {
        return std::vector<fault>{{.line = 0,
                                   .path = "",
                                   .message = "the text has " + std::to_string(text.size()) +
                                              " bytes; the store holds at most " +
                                              std::to_string(max_text_size)}};
    }
    const json_source_map source_map{text};
    auto faults = source_map.faults();
    if (!source_map.is_parsable()) {
        return faults;
    }
    configuration result;
    result.version = version;
    result.digest = hash_of(text);
    result.text = text;
    for (auto& each : document_reader{result}.read(json::parse(text, nullptr, false, true))) {
        each.line = source_map.line_of(each.path);
        faults.push_back(std::move(each));
    }
    if (!faults.empty()) {
        std::ranges::stable_sort(faults, {}, &fault::line);
        return faults;
    }
    return result;
}

}  // namespace bramleytrack::configuration
