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

TEST(steering_settings, the_rate_of_the_link_is_optional) {
    const auto rate_of = [](const std::string& addition) {
        const auto parsed = parse_steering_settings(
            modified_settings("\"stop_grace_s\"", addition + "\"stop_grace_s\""));
        return std::get<steering_settings>(parsed).link_mbps;
    };
    EXPECT_EQ(rate_of(""), 0);
    EXPECT_EQ(rate_of("\"link_mbps\": null, "), 0);
    EXPECT_EQ(rate_of("\"link_mbps\": 20.5, "), 20.5);
    EXPECT_EQ(
        faults_of(modified_settings("\"stop_grace_s\"", "\"link_mbps\": -1, \"stop_grace_s\""))
            .front()
            .path,
        "/link_mbps");
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

std::string with_admission(const std::string& value) {
    return modified_settings("\"name\"", "\"admission\": " + value + ",\n \"name\"");
}

steering::admission_settings admission_of(const std::string& text) {
    const auto parsed = parse_steering_settings(text);
    return std::get<steering_settings>(parsed).admission;
}

// Guards against features that change admission for a fleet whose file doesn't ask for them.
TEST(steering_settings, admission_is_off_without_its_object) {
    EXPECT_EQ(admission_of(valid_settings), steering::admission_settings{});
    EXPECT_EQ(admission_of(valid_settings).opening_queue_entries, 0U);
    EXPECT_FALSE(admission_of(valid_settings).capacity_shares);
}

// Guards against a key that is accepted but stored in another member, or not at all.
TEST(steering_settings, parses_all_admission_keys) {
    const auto parsed = admission_of(with_admission(
        R"({"capacity_shares": true, "lower_priority_minimum": 0.2, "opening_queue_entries": 300,
            "opening_wait_fraction": 0.4, "split_overflow": true, "zone_balance": true})"));
    EXPECT_EQ(parsed, (steering::admission_settings{.capacity_shares = true,
                                                    .lower_priority_minimum = 0.2,
                                                    .opening_queue_entries = 300,
                                                    .opening_wait_fraction = 0.4,
                                                    .split_overflow = true,
                                                    .zone_balance = true}));
    EXPECT_TRUE(admission_of(with_admission(R"({"split_overflow": true})")).split_overflow);
    EXPECT_FALSE(admission_of(with_admission(R"({"split_overflow": true})")).zone_balance);
    EXPECT_TRUE(admission_of(with_admission(R"({"zone_balance": true})")).zone_balance);
    EXPECT_FALSE(admission_of(with_admission(R"({"zone_balance": true})")).capacity_shares);
}

// Guards against a switch that is on without having been asked for, or a default that differs from
// the documentation.
TEST(steering_settings, missing_admission_keys_have_defaults) {
    EXPECT_EQ(admission_of(with_admission("{}")),
              (steering::admission_settings{.capacity_shares = false,
                                            .lower_priority_minimum = 0.1,
                                            .opening_queue_entries = 2'000,
                                            .opening_wait_fraction = 0.2,
                                            .split_overflow = false,
                                            .zone_balance = false}));
}

// Guards against a limit that excludes its own end, such as 0 entries, which switches waiting off.
TEST(steering_settings, accepts_the_ends_of_the_admission_ranges) {
    for (const auto* value :
         {R"({"lower_priority_minimum": 0})", R"({"lower_priority_minimum": 0.5})",
          R"({"opening_queue_entries": 0})", R"({"opening_queue_entries": 20000})",
          R"({"opening_wait_fraction": 0.5})", R"({"opening_wait_fraction": 0.000001})"}) {
        EXPECT_TRUE(faults_of(with_admission(value)).empty()) << value;
    }
    EXPECT_EQ(admission_of(with_admission(R"({"opening_queue_entries": 0})")).opening_queue_entries,
              0U);
}

// Guards against a value that is silently rounded, wrapped around or taken for a default.
TEST(steering_settings, reports_each_invalid_admission_value) {
    const std::map<std::string, std::vector<std::string>> invalid{
        {"capacity_shares", {"1", "0", "\"true\"", "null", "[]"}},
        {"split_overflow", {"1", "\"on\"", "{}"}},
        {"zone_balance", {"0", "\"\"", "0.5"}},
        {"lower_priority_minimum", {"-0.01", "0.51", "\"0.1\"", "true", "null", "1e300"}},
        {"opening_queue_entries",
         {"-1", "20001", "1.5", "2000.0", "18446744073709551615", "-9223372036854775808", "\"10\"",
          "false", "null", "[3]"}},
        {"opening_wait_fraction", {"0", "-0.25", "0.501", "\"0.25\"", "true", "null"}},
    };
    for (const auto& [key, values] : invalid) {
        for (const auto& value : values) {
            const auto faults = faults_of(with_admission("{\"" + key + "\": " + value + "}"));
            ASSERT_EQ(faults.size(), 1U) << key << " " << value;
            EXPECT_EQ(faults.front().path, "admission." + key) << value;
            EXPECT_NE(faults.front().message.find("found "), std::string::npos) << value;
            EXPECT_GT(faults.front().line, 0) << value;
        }
    }
    EXPECT_EQ(faults_of(with_admission(R"({"opening_queue_entries": 20001})")).front().message,
              "expected an integer from 0 to 20000, found 20001");
}

// Guards against NaN and infinity, for which all comparisons with a limit are false.
TEST(steering_settings, rejects_numbers_that_json_does_not_have) {
    for (const auto* value : {"NaN", "Infinity", "-Infinity", "1e999", "+1", "0x10"}) {
        EXPECT_FALSE(
            faults_of(with_admission(R"({"opening_wait_fraction": )" + std::string{value} + "}"))
                .empty())
            << value;
    }
}

// Guards against an operator who has to correct a file once for each of its faults.
TEST(steering_settings, reports_all_admission_faults_at_once_with_their_lines) {
    const auto text = with_admission(
        "{\n\"zone_balance\": 3,\n\"opening_queue_entries\": 1.5,\n"
        "\"opening_wait_fraction\": 0}");
    const auto faults = faults_of(text);
    ASSERT_EQ(faults.size(), 3U);
    EXPECT_EQ(faults[0].path, "admission.zone_balance");
    EXPECT_EQ(faults[1].path, "admission.opening_queue_entries");
    EXPECT_EQ(faults[2].path, "admission.opening_wait_fraction");
    EXPECT_EQ(faults[1].line, faults[0].line + 1);
    EXPECT_EQ(faults[2].line, faults[0].line + 2);
    auto with_other_fault = text;
    with_other_fault.replace(with_other_fault.find("\"stop_grace_s\": 6"), 17,
                             "\"stop_grace_s\": 0");
    EXPECT_EQ(faults_of(with_other_fault).size(), 4U);
}

// Guards against a list or a switch in the place of the object that is read as "all off".
TEST(steering_settings, admission_must_be_an_object) {
    for (const auto* value : {"true", "[]", "null", "3", "\"on\""}) {
        const auto faults = faults_of(with_admission(value));
        ASSERT_EQ(faults.size(), 1U) << value;
        EXPECT_EQ(faults.front().path, "/admission");
    }
}

// Guards against instances that refuse to start on a template with a newer key, and against a
// misspelt key that nobody is told of.
TEST(steering_settings, reports_unknown_admission_keys) {
    const auto parsed = parse_steering_settings(
        with_admission(R"({"zone_balanse": true, "capacity_shares": true})"));
    ASSERT_TRUE(std::holds_alternative<steering_settings>(parsed));
    const auto& parsed_settings = std::get<steering_settings>(parsed);
    EXPECT_EQ(parsed_settings.ignored_keys, std::vector<std::string>{"admission.zone_balanse"});
    EXPECT_TRUE(parsed_settings.admission.capacity_shares);
    EXPECT_FALSE(parsed_settings.admission.zone_balance);
}

}  // namespace
}  // namespace bramleytrack
