#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "settings/settings_text.h"

namespace bramleytrack::settings {
namespace {

using configuration::fault;
using json = nlohmann::json;

bool is_url(std::string_view text) {
    return (text.starts_with("http://") || text.starts_with("https://")) &&
           text.find_first_of(" \"\\\n\t") == std::string_view::npos && text.find('.') != 0 &&
           text.size() > std::string_view{"https://"}.size();
}

struct text_key {
    std::string_view name;
    std::string instance_settings::*member;
    bool (*is_valid)(std::string_view text);
    std::string_view allowed;
};

constexpr std::string_view name_allowed = "a name of at most 64 characters without spaces";
constexpr std::string_view address_allowed = "a numeric ip:port such as 10.0.0.1:7000";
constexpr std::string_view url_allowed = "a URL that begins with http:// or https://";

constexpr std::array text_keys{
    text_key{"name", &instance_settings::name, &is_name, name_allowed},
    text_key{"zone", &instance_settings::zone, &is_name, name_allowed},
    text_key{"peer_address", &instance_settings::peer_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{"caller_address", &instance_settings::caller_address,
             &configuration::is_numeric_address, address_allowed},
    text_key{"target_address", &instance_settings::target_address,
             &configuration::is_numeric_address, address_allowed},
    text_key{"admin_address", &instance_settings::admin_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{"store_address", &instance_settings::store_address, &configuration::is_numeric_address,
             address_allowed},
    text_key{"instance_list_url", &instance_settings::instance_list_url, &is_url, url_allowed},
    text_key{"fleet_passphrase", &instance_settings::fleet_passphrase, &is_passphrase,
             "a text of at least 12 characters"},
};

std::vector<fault> read_keys(const json& root, instance_settings& result) {
    std::vector<fault> faults;
    for (const auto& each : text_keys) {
        const std::string name{each.name};
        const bool is_non_empty_text = root.contains(name) && root[name].is_string() &&
                                       !root[name].get_ref<const std::string&>().empty();
        if (is_non_empty_text && each.is_valid(root[name].get_ref<const std::string&>())) {
            result.*each.member = root[name].get<std::string>();
        } else {
            const bool is_secret = each.member == &instance_settings::fleet_passphrase;
            faults.push_back(invalid_value(root, each.name, each.allowed,
                                           is_secret ? value_kind::secret : value_kind::plain));
        }
    }
    std::vector<std::string_view> names;
    std::ranges::transform(text_keys, std::back_inserter(names), &text_key::name);
    std::ranges::move(unknown_keys(root, names), std::back_inserter(faults));
    return faults;
}

}  // namespace

settings_result parse_settings(std::string_view text) {
    instance_settings result;
    auto faults =
        read_settings_text(text, [&result](const json& root) { return read_keys(root, result); });
    if (!faults.empty()) {
        return faults;
    }
    return result;
}

}  // namespace bramleytrack::settings
