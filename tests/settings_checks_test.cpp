// Settings validation: the reported faults, and robustness against malformed files.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "settings/settings.h"

namespace bramleytrack {
namespace {

using configuration::fault;
using settings::parse_settings;

constexpr std::string_view valid_settings = R"({
  "name": "north-1", // the instance's own name
  "zone": "north",
  "peer_address": "127.0.0.1:7001",
  "caller_address": "127.0.0.1:7002",
  "target_address": "127.0.0.1:7003",
  "admin_address": "127.0.0.1:7004",
  "store_address": "127.0.0.1:7005",
  "instance_list_url": "http://127.0.0.1:7005/v1/instances",
  "fleet_passphrase": "twelve and more"
})";

std::string modified_settings(std::string_view from, std::string_view to) {
    std::string text{valid_settings};
    return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> faults_of(std::string_view text) {
    const auto parsed = parse_settings(text);
    std::vector<std::string> lines;
    if (const auto* faults = std::get_if<std::vector<fault>>(&parsed)) {
        for (const auto& each : *faults) {
            lines.push_back(to_string(each));
        }
    }
    return lines;
}

TEST(settings_checks, report_line_path_and_allowed_values) {
    EXPECT_EQ(faults_of(valid_settings), std::vector<std::string>{});
    EXPECT_EQ(faults_of(modified_settings("peer_address", "pear_address")),
              (std::vector<std::string>{
                  "line 1 /peer_address: expected a numeric ip:port such as 10.0.0.1:7000, found "
                  "nothing",
                  "line 4 /pear_address: unknown key; did you mean \"peer_address\"?"}));
    EXPECT_EQ(faults_of(modified_settings("127.0.0.1:7004", "localhost:7004")),
              (std::vector<std::string>{
                  "line 7 /admin_address: expected a numeric ip:port such as 10.0.0.1:7000, found "
                  "\"localhost:7004\""}));
    EXPECT_EQ(
        faults_of(modified_settings("\"127.0.0.1:7005\"", "\"http://127.0.0.1:7005\"")).size(), 1);
    EXPECT_EQ(faults_of(modified_settings("http://127.0.0.1:7005/v1", "127.0.0.1:7005/v1")).size(),
              1);
}

TEST(settings_checks, do_not_print_a_rejected_passphrase) {
    const auto faults = faults_of(modified_settings("twelve and more", "secret"));
    ASSERT_EQ(faults.size(), 1);
    EXPECT_EQ(faults.front().find("secret"), std::string::npos);
}

RC_GTEST_PROP(settings_checks, report_a_fault_for_any_rejected_mutation_of_a_valid_file,
              (const std::vector<std::pair<std::uint16_t, char>>& mutations)) {
    std::string text{valid_settings};
    for (const auto& [position, value] : mutations) {
        text[position % text.size()] = value;
    }
    const auto parsed = parse_settings(text);
    const auto* faults = std::get_if<std::vector<fault>>(&parsed);
    const bool is_rejected_without_fault = faults != nullptr && faults->empty();
    RC_ASSERT_FALSE(is_rejected_without_fault);
}

}  // namespace
}  // namespace bramleytrack
