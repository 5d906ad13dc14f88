// Settings of an instance that routes by token: all faults are reported at once.
#include "settings/steering_settings.h"

#include <gtest/gtest.h>

namespace bramleytrack {
namespace {

using settings::parse_steering_settings;
using settings::steering_settings;

const std::string valid_settings = R"({
    // comments are allowed
    "name": "a", "zone": "north", "zones": {"north": "island"},
    "packet_address": "10.0.0.1:1", "readiness_address": "10.0.0.1:2",
    "metrics_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4", "pull_address": "10.0.0.1:5",
    "seeds": ["10.0.0.2:5"], "store_address": "10.0.0.9:6",
    "fleet_passphrase": "a long passphrase", "stop_grace_s": 6, "flow_lifetime_s": 60.5 })";

std::string modified_settings(const std::string& from, const std::string& to) {
    auto text = valid_settings;
    return text.replace(text.find(from), from.size(), to);
}

std::vector<configuration::fault> faults_of(const std::string& text) {
    const auto parsed = parse_steering_settings(text);
    const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed);
    return faults == nullptr ? std::vector<configuration::fault>{} : *faults;
}

TEST(steering_settings, parses_all_keys) {
    const auto parsed = parse_steering_settings(valid_settings);
    ASSERT_TRUE(std::holds_alternative<steering_settings>(parsed));
    const auto& parsed_settings = std::get<steering_settings>(parsed);
    EXPECT_EQ(parsed_settings.seeds.size(), 1U);
    EXPECT_EQ(parsed_settings.zones.at("north"), "island");
    EXPECT_EQ(parsed_settings.flow_lifetime, clock::duration{60'500});
}

TEST(steering_settings, reports_each_fault_with_its_path) {
    EXPECT_EQ(faults_of(modified_settings("\"a\"", "\"a b\"")).front().path, "/name");
    EXPECT_EQ(faults_of(modified_settings("10.0.0.1:1", "host:1")).front().path, "/packet_address");
    EXPECT_EQ(
        faults_of(modified_settings("\"stop_grace_s\": 6", "\"stop_grace_s\": 0")).front().path,
        "/stop_grace_s");
    EXPECT_EQ(faults_of(modified_settings("\"10.0.0.2:5\"", "7")).front().path, "/seeds");
    EXPECT_EQ(faults_of(modified_settings("\"island\"", "1")).front().path, "/zones");
    EXPECT_EQ(faults_of(modified_settings("{\"north\"", "{\"south\"")).front().path, "/zones");
    EXPECT_EQ(faults_of(modified_settings("a long passphrase", "short")).front().path,
              "/fleet_passphrase");
    EXPECT_EQ(faults_of("[]").size(), 1U);
    EXPECT_FALSE(faults_of("{").empty());
}

// If unknown keys were faults, every instance would refuse to start when the platform adds a field
// to its template before the program supports it. Unknown keys are reported once and otherwise
// ignored. A misspelt key is still found, since the intended key is then missing.
TEST(steering_settings, ignores_unknown_keys_and_reports_them) {
    const auto parsed =
        parse_steering_settings(modified_settings("\"name\"", R"("nam": {"b": [1]}, "name")"));
    ASSERT_TRUE(std::holds_alternative<steering_settings>(parsed));
    auto parsed_settings = std::get<steering_settings>(parsed);
    EXPECT_EQ(parsed_settings.ignored_keys, std::vector<std::string>{"nam"});
    parsed_settings.ignored_keys.clear();
    EXPECT_EQ(parsed_settings,
              std::get<steering_settings>(parse_steering_settings(valid_settings)));
    EXPECT_EQ(faults_of(modified_settings("\"name\"", "\"nam\"")).front().path, "/name");
}

TEST(steering_settings, reports_the_allowed_and_the_found_value) {
    EXPECT_EQ(faults_of(modified_settings("10.0.0.1:1", "host:1")).front().message,
              "expected a numeric ip:port such as 10.0.0.1:7000, found \"host:1\"");
    EXPECT_EQ(
        faults_of(modified_settings("\"stop_grace_s\": 6", "\"stop_grace_s\": -1")).front().message,
        "expected a number of seconds above 0, at most 3600, found -1");
    EXPECT_EQ(faults_of(modified_settings("\"zone\": \"north\", ", "")).front().message,
              "expected a name of at most 64 characters without spaces, found nothing");
    const auto long_value = std::string(5'000, 'x');
    EXPECT_LT(faults_of(modified_settings("10.0.0.1:1", long_value)).front().message.size(), 200U);
}

TEST(steering_settings, reports_a_value_that_is_not_utf8) {
    EXPECT_FALSE(faults_of(modified_settings("10.0.0.1:1", "\xff\xfe")).empty());
}

TEST(steering_settings, advertised_addresses_may_differ_from_listening_addresses) {
    const auto defaults = std::get<steering_settings>(parse_steering_settings(valid_settings));
    EXPECT_EQ(defaults.advertised_peer_address, defaults.peer_address);
    const auto advertised = std::get<steering_settings>(parse_steering_settings(
        modified_settings("\"name\"", R"("advertised_pull_address": "10.9.0.1:5", "name")")));
    EXPECT_EQ(advertised.advertised_pull_address, "10.9.0.1:5");
    EXPECT_EQ(advertised.pull_address, defaults.pull_address);
    EXPECT_EQ(faults_of(modified_settings("\"name\"", "\"advertised_peer_address\": 1, \"name\""))
                  .front()
                  .path,
              "/advertised_peer_address");
}

TEST(steering_settings, does_not_print_the_passphrase) {
    for (const auto& fault : faults_of(modified_settings("a long passphrase", "short"))) {
        EXPECT_EQ(to_string(fault).find("\"short\""), std::string::npos);
    }
}

}  // namespace
}  // namespace bramleytrack
