#include "settings/steering_settings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "settings/settings_text.h"

namespace bramleytrack::settings {
namespace {

using configuration::fault;
using nlohmann::json;

constexpr double milliseconds_per_second = 1000.0;
constexpr double max_seconds = 3600.0;

struct text_key {
    std::string_view name;
    std::string steering_settings::*member;
    bool (*is_valid)(std::string_view text);
    std::string_view allowed;
};

// is_name() also rejects quotes, backslashes, slashes, tabs and newlines.
constexpr std::string_view name_allowed = "a name of at most 64 characters without spaces";
constexpr std::string_view address_allowed = "a numeric ip:port such as 10.0.0.1:7000";

constexpr std::string_view passphrase_key = "fleet_passphrase";

constexpr std::array text_keys{
    text_key{"name", &steering_settings::name, &is_name, name_allowed},
    text_key{"zone", &steering_settings::zone, &is_name, name_allowed},
    text_key{"packet_address", &steering_settings::packet_address,
             &configuration::is_numeric_address, address_allowed},
    text_key{"readiness_address", &steering_settings::readiness_address,
             &configuration::is_numeric_address, address_allowed},
    text_key{"metrics_address", &steering_settings::metrics_address,
             &configuration::is_numeric_address, address_allowed},
    text_key{"peer_address", &steering_settings::peer_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{"pull_address", &steering_settings::pull_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{"store_address", &steering_settings::store_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{passphrase_key, &steering_settings::fleet_passphrase, &is_passphrase,
             "a text of at least 12 characters"},
};

struct optional_address {
    std::string_view name;
    std::string steering_settings::*member;
    std::string steering_settings::*fallback;  // used when the key is missing
};

constexpr std::array optional_addresses{
    optional_address{"advertised_peer_address", &steering_settings::advertised_peer_address,
                     &steering_settings::peer_address},
    optional_address{"advertised_pull_address", &steering_settings::advertised_pull_address,
                     &steering_settings::pull_address},
};

struct seconds_key {
    std::string_view name;
    clock::duration steering_settings::*member;
};

constexpr std::array seconds_keys{
    seconds_key{"stop_grace_s", &steering_settings::stop_grace},
    seconds_key{"flow_lifetime_s", &steering_settings::flow_lifetime},
};

constexpr std::string_view seeds_key = "seeds";
constexpr std::string_view zones_key = "zones";
constexpr std::string_view link_rate_key = "link_mbps";
constexpr double max_link_mbps = 1e6;

constexpr std::string_view admission_key = "admission";

// An `admission` object without this key allows openings to wait; 0 switches waiting off.
constexpr std::size_t default_opening_queue_entries = 2'000;

struct admission_switch {
    std::string_view name;
    bool steering::admission_settings::*member;
};

constexpr std::array admission_switches{
    admission_switch{"capacity_shares", &steering::admission_settings::capacity_shares},
    admission_switch{"split_overflow", &steering::admission_settings::split_overflow},
    admission_switch{"zone_balance", &steering::admission_settings::zone_balance},
};

struct admission_number {
    std::string_view name;
    // Returns false, and changes nothing, if the value is not allowed.
    bool (*read)(const json& value, steering::admission_settings& result);
    std::string_view allowed;
};

bool read_lower_priority_minimum(const json& value, steering::admission_settings& result) {
    constexpr double max_minimum = 0.5;
    const double number = value.is_number() ? value.get<double>() : -1;
    if (!(number >= 0 && number <= max_minimum)) {
        return false;
    }
    result.lower_priority_minimum = number;
    return true;
}

bool read_opening_queue_entries(const json& value, steering::admission_settings& result) {
    constexpr double max_entries = 20'000;
    // Compared as a floating-point number: a conversion to std::size_t would wrap around.
    const double number = value.is_number_integer() ? value.get<double>() : -1;
    if (!(number >= 0 && number <= max_entries)) {
        return false;
    }
    result.opening_queue_entries = static_cast<std::size_t>(number);
    return true;
}

bool read_opening_wait_fraction(const json& value, steering::admission_settings& result) {
    constexpr double max_fraction = 0.5;
    const double number = value.is_number() ? value.get<double>() : 0;
    if (!(number > 0 && number <= max_fraction)) {
        return false;
    }
    result.opening_wait_fraction = number;
    return true;
}

constexpr std::array admission_numbers{
    admission_number{"lower_priority_minimum", &read_lower_priority_minimum,
                     "a number from 0 to 0.5"},
    admission_number{"opening_queue_entries", &read_opening_queue_entries,
                     "an integer from 0 to 20000"},
    admission_number{"opening_wait_fraction", &read_opening_wait_fraction,
                     "a number above 0, at most 0.5"},
};

std::string admission_path(std::string_view name) {
    return std::string{admission_key} + "." + std::string{name};
}

fault invalid_admission_value(const json& object, std::string_view name, std::string_view allowed) {
    auto result = invalid_value(object, name, allowed);
    result.path = admission_path(name);
    return result;
}

// Each key of the object is optional.
std::vector<fault> read_admission(const json& root, steering_settings& result) {
    const auto found = root.find(admission_key);
    if (found == root.end()) {
        return {};
    }
    if (!found->is_object()) {
        return {invalid_value(root, admission_key, "an object")};
    }
    std::vector<fault> faults;
    std::vector<std::string_view> names;
    result.admission.opening_queue_entries = default_opening_queue_entries;
    for (const auto& each : admission_switches) {
        names.push_back(each.name);
        const auto value = found->find(each.name);
        if (value == found->end()) {
            continue;
        }
        if (value->is_boolean()) {
            result.admission.*each.member = value->get<bool>();
        } else {
            faults.push_back(invalid_admission_value(*found, each.name, "true or false"));
        }
    }
    for (const auto& each : admission_numbers) {
        names.push_back(each.name);
        const auto value = found->find(each.name);
        if (value != found->end() && !each.read(*value, result.admission)) {
            faults.push_back(invalid_admission_value(*found, each.name, each.allowed));
        }
    }
    for (const auto& [name, value] : found->items()) {
        if (std::ranges::find(names, name) == names.end()) {
            result.ignored_keys.push_back(admission_path(name));
        }
    }
    return faults;
}

bool read_zones(const json& root, steering_settings& result) {
    const auto found = root.find(zones_key);
    if (found == root.end() || !found->is_object()) {
        return false;
    }
    for (const auto& [zone, region] : found->items()) {
        if (!region.is_string()) {
            return false;
        }
        result.zones[zone] = region.get<std::string>();
    }
    return result.zones.contains(result.zone);
}

bool read_seeds(const json& root, steering_settings& result) {
    const auto found = root.find(seeds_key);
    if (found == root.end() || !found->is_array()) {
        return false;
    }
    for (const auto& each : *found) {
        const bool is_valid = each.is_string() &&
                              configuration::is_numeric_address(each.get_ref<const std::string&>());
        if (!is_valid) {
            return false;
        }
        result.seeds.push_back(each.get<std::string>());
    }
    return true;
}

// The key is optional; null counts as missing, because the platform may not know the rate.
bool read_link_rate(const json& root, steering_settings& result) {
    const auto found = root.find(link_rate_key);
    if (found == root.end() || found->is_null()) {
        return true;
    }
    const double rate = found->is_number() ? found->get<double>() : -1;
    if (!(rate > 0 && rate <= max_link_mbps)) {
        return false;
    }
    result.link_mbps = rate;
    return true;
}

std::vector<fault> read_keys(const json& root, steering_settings& result) {
    std::vector<fault> faults;
    std::vector<std::string_view> names;
    for (const auto& each : text_keys) {
        names.push_back(each.name);
        const auto found = root.find(each.name);
        const bool is_valid = found != root.end() && found->is_string() &&
                              each.is_valid(found->get_ref<const std::string&>());
        if (is_valid) {
            result.*each.member = found->get<std::string>();
        } else {
            const bool is_secret = each.name == passphrase_key;
            faults.push_back(invalid_value(root, each.name, each.allowed,
                                           is_secret ? value_kind::secret : value_kind::plain));
        }
    }
    for (const auto& each : optional_addresses) {
        names.push_back(each.name);
        result.*each.member = result.*each.fallback;
        const auto found = root.find(each.name);
        if (found == root.end()) {
            continue;
        }
        const bool is_valid = found->is_string() && configuration::is_numeric_address(
                                                        found->get_ref<const std::string&>());
        if (is_valid) {
            result.*each.member = found->get<std::string>();
        } else {
            faults.push_back(invalid_value(root, each.name, address_allowed));
        }
    }
    for (const auto& each : seconds_keys) {
        names.push_back(each.name);
        const auto found = root.find(each.name);
        const bool is_number = found != root.end() && found->is_number();
        const double seconds = is_number ? found->get<double>() : 0;
        if (seconds > 0 && seconds <= max_seconds) {
            result.*each.member = clock::duration{std::llround(seconds * milliseconds_per_second)};
        } else {
            faults.push_back(
                invalid_value(root, each.name, "a number of seconds above 0, at most 3600"));
        }
    }
    names.emplace_back(zones_key);
    // The same message is shown when `zones` is well-formed but lacks this instance's own zone.
    if (!read_zones(root, result)) {
        faults.push_back(
            invalid_value(root, zones_key, "an object that names the region of each zone"));
    }
    names.emplace_back(seeds_key);
    if (!read_seeds(root, result)) {
        faults.push_back(
            invalid_value(root, seeds_key, "a list of numeric ip:port, which may be empty"));
    }
    names.push_back(link_rate_key);
    if (!read_link_rate(root, result)) {
        faults.push_back(invalid_value(root, link_rate_key, "a number above 0, at most 1000000"));
    }
    names.push_back(admission_key);
    std::ranges::move(read_admission(root, result), std::back_inserter(faults));
    for (const auto& [name, value] : root.items()) {
        if (std::ranges::find(names, name) == names.end()) {
            result.ignored_keys.push_back(name);
        }
    }
    return faults;
}

}  // namespace

steering_settings_result parse_steering_settings(std::string_view text) {
    steering_settings result;
    auto faults =
        read_settings_text(text, [&result](const json& root) { return read_keys(root, result); });
    if (!faults.empty()) {
        return faults;
    }
    return result;
}

}  // namespace bramleytrack::settings
