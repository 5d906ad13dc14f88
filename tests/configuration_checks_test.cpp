// Validation of the configuration text: error messages, and robustness against malformed texts.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "configuration/parse.h"
#include "configuration/patch.h"
#include "support/fleet_text.h"

namespace bramleytrack {
namespace {

using configuration::fault;
using configuration::parse_configuration;

std::vector<std::string> faults_of(std::string_view text) {
    const auto parsed = parse_configuration(text, 1);
    std::vector<std::string> lines;
    if (const auto* faults = std::get_if<std::vector<fault>>(&parsed)) {
        for (const auto& each : *faults) {
            lines.push_back(to_string(each));
        }
    }
    return lines;
}

TEST(configuration_checks, all_errors_are_reported_in_one_pass) {
    // If only the first error were reported, or errors without their line, an operator would have
    // to correct and apply the text once for each error.
    const auto* text = R"({
  // comments are allowed
  "zones": [{"name": "north"}, {"name": "empty"}, {"name": "north"}],
  "services": [
    {"name": "board", "address": "10.0.0.1:443", "depends_on": ["vault"]},
    {"name": "vault", "address": "10.0.0.1:443", "depends_on": ["plans"]},
    {"name": "plans", "address": "10.0.0.3:443", "depends_on": ["board", "gone"]}
  ],
  "targets": [
    {"name": "t1", "zone": "north", "service": "board", "address": "host:1", "slots": 0},
    {"name": "t2", "zone": "nroth", "service": "vault", "address": "10.0.0.4:70000",
     "conections": 5, "slots": 99999999999999999999},
    {"name": "t 3", "zone": "north", "service": "plans", "address": "10.0.0.5:1", "weight": -1,
     "weight": 1e9}
  ],
  "zoens": []
})";
    EXPECT_EQ(
        faults_of(text),
        (std::vector<std::string>{
            R"(line 3 /zones/2/name: the name "north" is taken by another zone)",
            R"(line 3 /zones/1: the zone "empty" has no target)",
            R"(line 5 /services/0/depends_on: services depend on each other: board -> vault -> plans -> board)",
            R"(line 6 /services/1/address: the address "10.0.0.1:443" is taken)",
            R"(line 7 /services/2/depends_on/1: there is no service "gone")",
            R"(line 10 /targets/0/address: expected a numeric ip:port such as 10.0.0.1:443, found "host:1")",
            R"(line 10 /targets/0/slots: expected a whole number from 1 to 1000000, found 0)",
            R"(line 11 /targets/1/address: expected a numeric ip:port such as 10.0.0.1:443, found "10.0.0.4:70000")",
            R"(line 11 /targets/1/zone: there is no zone "nroth")",
            R"(line 12 /targets/1/conections: unknown key; did you mean "connections"?)",
            R"(line 12 /targets/1/slots: expected a whole number from 1 to 1000000, found 1e+20)",
            R"(line 13 /targets/2/name: expected at most 64 letters, digits or "-_.", found "t 3")",
            R"(line 13 /targets/2/weight: expected a number above 0, at most 1000, found 1000000000.0)",
            R"(line 14 /targets/2/weight: the key is given twice; first on line 13)",
            R"(line 16 /zoens: unknown key; did you mean "zones"?)",
        }));
}

TEST(configuration_checks, malformed_texts_are_rejected) {
    EXPECT_EQ(faults_of(std::string(configuration::max_text_size + 1, ' ')).size(), 1);
    EXPECT_EQ(faults_of(std::string(100'000, '[')),
              (std::vector<std::string>{"line 1 /0/0/0/0/0/0/0/0: nested too deeply"}));
    ASSERT_EQ(faults_of("{\n\"zones\": \"\xff\"}").size(), 1);
    EXPECT_TRUE(faults_of("{\n\"zones\": \"\xff\"}").front().starts_with("line 2 /zones: "));
    EXPECT_EQ(faults_of("").size(), 1);
    EXPECT_EQ(faults_of("[1e999]").size(), 1);
    EXPECT_EQ(faults_of("[]"),
              (std::vector<std::string>{
                  "line 1 /: expected an object with zones, services and targets"}));
}

TEST(configuration_checks, a_long_dependency_chain_is_not_a_cycle) {
    std::string services;
    std::string targets;
    constexpr int chain_length = 3'000;
    for (int i = 0; i < chain_length; ++i) {
        const auto number = std::to_string(i);
        services += (i == 0 ? "" : ",") + std::string{R"({"name":"s)"} + number +
                    R"(","address":"10.0.0.1:)" + std::to_string(i + 1) + "\"" +
                    (i == 0 ? "" : R"(,"depends_on":["s)" + std::to_string(i - 1) + "\"]") + "}";
        targets += (i == 0 ? "" : ",") + std::string{R"({"name":"t)"} + number +
                   R"(","zone":"z","service":"s)" + number + R"(","address":"10.0.0.2:)" +
                   std::to_string(i + 1) + "\"}";
    }
    EXPECT_EQ(faults_of(R"({"zones":[{"name":"z"}],"services":[)" + services + R"(],"targets":[)" +
                        targets + "]}"),
              std::vector<std::string>{});
}

RC_GTEST_PROP(configuration_checks, mutated_texts_are_accepted_or_rejected_with_lines,
              (const std::vector<std::pair<std::uint16_t, char>>& mutations, std::uint16_t cut)) {
    auto text = testing::fleet_text({.zones = 2, .services = 2, .targets = 4});
    for (const auto& [position, value] : mutations) {
        text[position % text.size()] = value;
    }
    text.resize(text.size() - (cut % 4 == 0 ? cut % text.size() : 0));
    const auto parsed = parse_configuration(text, 1);
    if (const auto* faults = std::get_if<std::vector<fault>>(&parsed)) {
        RC_ASSERT(!faults->empty());
        const auto lines = 1 + std::ranges::count(text, '\n');
        for (const auto& each : *faults) {
            RC_ASSERT(each.line >= 1);
            RC_ASSERT(each.line <= lines);
        }
    }
}

}  // namespace
}  // namespace bramleytrack
