#include "configuration/difference.h"

#include <cstdio>
#include <span>
#include <string_view>

namespace bramleytrack::configuration {
namespace {

// A property of an item, formatted for the operator.
template <typename Item>
struct property {
    std::string_view name;
    std::string (*read)(const Item& item);
};

std::string format_number(double value) {
    std::string text(32, '\0');
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%g", value)));
    return text;
}

std::string join_names(const std::vector<std::string>& names) {
    std::string result;
    for (const auto& each : names) {
        result += (result.empty() ? "" : ",") + each;
    }
    return result.empty() ? "none" : result;
}

const std::vector<property<zone>> zone_properties{
    {"state", [](const zone& each) { return std::string{to_string(each.state)}; }},
};
const std::vector<property<service>> service_properties{
    {"address", [](const service& each) { return each.address; }},
    {"depends_on", [](const service& each) { return join_names(each.depends_on); }},
};
const std::vector<property<target>> target_properties{
    {"zone", [](const target& each) { return each.zone; }},
    {"service", [](const target& each) { return each.service; }},
    {"address", [](const target& each) { return each.address; }},
    {"slots", [](const target& each) { return std::to_string(each.slots); }},
    {"connections", [](const target& each) { return std::to_string(each.connections); }},
    {"cold_connections", [](const target& each) { return std::to_string(each.cold_connections); }},
    {"weight", [](const target& each) { return format_number(each.weight); }},
    {"state", [](const target& each) { return std::string{to_string(each.state)}; }},
};
const std::vector<property<instance_entry>> instance_properties{
    {"state", [](const instance_entry& each) { return std::string{to_string(each.state)}; }},
};

template <typename Item>
void compare(std::string_view kind, const std::vector<Item>& before, const std::vector<Item>& after,
             std::span<const property<Item>> properties, std::vector<std::string>& lines) {
    name_index old_names;
    name_index new_names;
    old_names.build(before, &Item::name);
    new_names.build(after, &Item::name);
    for (const auto& each : before) {
        if (new_names.find(after, each.name, &Item::name) == nullptr) {
            lines.push_back(std::string{kind} + " " + each.name + ": removed");
        }
    }
    for (const auto& each : after) {
        const auto* old = old_names.find(before, each.name, &Item::name);
        if (old == nullptr) {
            lines.push_back(std::string{kind} + " " + each.name + ": added");
            continue;
        }
        for (const auto& compared : properties) {
            const auto from = compared.read(*old);
            const auto to = compared.read(each);
            if (from != to) {
                lines.push_back(std::string{kind} + " " + each.name + ": " +
                                std::string{compared.name} + " " + from + " -> " + to);
            }
        }
    }
}

}  // namespace

std::vector<std::string> differences(const configuration& before, const configuration& after) {
    std::vector<std::string> lines;
    compare<zone>("zone", before.zones, after.zones, zone_properties, lines);
    compare<service>("service", before.services, after.services, service_properties, lines);
    compare<target>("target", before.targets, after.targets, target_properties, lines);
    compare<instance_entry>("instance", before.instances, after.instances, instance_properties,
                            lines);
    return lines;
}

}  // namespace bramleytrack::configuration
