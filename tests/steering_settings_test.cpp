// Settings of an instance that routes by token: every fault is named in one pass.
#include "settings/steering_settings.h"

#include <gtest/gtest.h>

namespace bramleytrack {
namespace {

using settings::parse_steering_settings;
using settings::steering_settings;

const std::string whole = R"({
    // comments are allowed
    "name": "a", "zone": "north", "zones": {"north": "island"},
    "packet_address": "10.0.0.1:1", "readiness_address": "10.0.0.1:2",
    "metrics_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4", "pull_address": "10.0.0.1:5",
    "seeds": ["10.0.0.2:5"], "store_address": "10.0.0.9:6",
    "fleet_passphrase": "a long passphrase", "stop_grace_s": 6, "flow_lifetime_s": 60.5 })";

std::string with(const std::string& from, const std::string& to) {
    auto text = whole;
    return text.replace(text.find(from), from.size(), to);
}

std::vector<configuration::fault> faults_of(const std::string& text) {
    const auto parsed = parse_steering_settings(text);
    const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed);
    return faults == nullptr ? std::vector<configuration::fault>{} : *faults;
}

TEST(steering_settings, reads_all_of_them) {
    const auto parsed = parse_steering_settings(whole);
    ASSERT_TRUE(std::holds_alternative<steering_settings>(parsed));
    const auto& read = std::get<steering_settings>(parsed);
    EXPECT_EQ(read.seeds.size(), 1U);
    EXPECT_EQ(read.zones.at("north"), "island");
    EXPECT_EQ(read.flow_lifetime, clock::duration{60'500});
}

TEST(steering_settings, names_each_fault_with_its_place) {
    EXPECT_EQ(faults_of(with("\"a\"", "\"a b\"")).front().path, "/name");
    EXPECT_EQ(faults_of(with("10.0.0.1:1", "host:1")).front().path, "/packet_address");
    EXPECT_EQ(faults_of(with("\"stop_grace_s\": 6", "\"stop_grace_s\": 0")).front().path,
              "/stop_grace_s");
    EXPECT_EQ(faults_of(with("\"10.0.0.2:5\"", "7")).front().path, "/seeds");
    EXPECT_EQ(faults_of(with("\"island\"", "1")).front().path, "/zones");
    EXPECT_EQ(faults_of(with("{\"north\"", "{\"south\"")).front().path, "/zones");
    EXPECT_EQ(faults_of(with("a long passphrase", "short")).front().path, "/fleet_passphrase");
    EXPECT_EQ(faults_of("[]").size(), 1U);
    EXPECT_FALSE(faults_of("{").empty());
}

// The platform adds a field to its template before the program knows it, and every instance refuses
// to start. Fields that aren't known are named, once, and change nothing else; a slip of the finger
// still shows, since the field that was meant is then missing.
TEST(steering_settings, leaves_unknown_fields_aside_and_names_them) {
    const auto parsed = parse_steering_settings(with("\"name\"", R"("nam": {"b": [1]}, "name")"));
    ASSERT_TRUE(std::holds_alternative<steering_settings>(parsed));
    auto read = std::get<steering_settings>(parsed);
    EXPECT_EQ(read.ignored_keys, std::vector<std::string>{"nam"});
    read.ignored_keys.clear();
    EXPECT_EQ(read, std::get<steering_settings>(parse_steering_settings(whole)));
    EXPECT_EQ(faults_of(with("\"name\"", "\"nam\"")).front().path, "/name");
}

TEST(steering_settings, names_the_field_and_the_value_that_was_found) {
    EXPECT_EQ(faults_of(with("10.0.0.1:1", "host:1")).front().message,
              "expected a numeric ip:port such as 10.0.0.1:7000, found \"host:1\"");
    EXPECT_EQ(faults_of(with("\"stop_grace_s\": 6", "\"stop_grace_s\": -1")).front().message,
              "expected a number of seconds above 0, at most 3600, found -1");
    EXPECT_EQ(faults_of(with("\"zone\": \"north\", ", "")).front().message,
              "expected a name of at most 64 characters without spaces, found nothing");
    const auto long_value = std::string(5'000, 'x');
    EXPECT_LT(faults_of(with("10.0.0.1:1", long_value)).front().message.size(), 200U);
}

TEST(steering_settings, a_value_that_is_not_utf8_is_reported) {
    EXPECT_FALSE(faults_of(with("10.0.0.1:1", "\xff\xfe")).empty());
}

TEST(steering_settings, peers_may_reach_an_instance_elsewhere_than_it_listens) {
    const auto own = std::get<steering_settings>(parse_steering_settings(whole));
    EXPECT_EQ(own.advertised_peer_address, own.peer_address);
    const auto other = std::get<steering_settings>(parse_steering_settings(
        with("\"name\"", R"("advertised_pull_address": "10.9.0.1:5", "name")")));
    EXPECT_EQ(other.advertised_pull_address, "10.9.0.1:5");
    EXPECT_EQ(other.pull_address, own.pull_address);
    EXPECT_EQ(faults_of(with("\"name\"", "\"advertised_peer_address\": 1, \"name\"")).front().path,
              "/advertised_peer_address");
}

TEST(steering_settings, does_not_print_the_passphrase) {
    for (const auto& fault : faults_of(with("a long passphrase", "short"))) {
        EXPECT_EQ(to_string(fault).find("\"short\""), std::string::npos);
    }
}

}  // namespace
}  // namespace bramleytrack
