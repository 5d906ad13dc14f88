// bramleyctl: which instances don't have a configuration version yet.
#include <gtest/gtest.h>

#include "bramleyctl/fleet_status.h"

namespace bramleytrack {
namespace {

TEST(configuration_status, a_leaving_instance_is_not_waited_for) {
    // An operator waits for a change while one instance is leaving and another has failed but is
    // still listed. The wait must report the failed one and must not wait for the leaving one.
    std::vector<ctl::instance_status> instances(3);
    instances[0].name = "live";
    ctl::parse_status(R"({"configuration_version": 7, "targets": ["t"]})", instances[0]);
    instances[1].name = "leaving";
    instances[1].is_leaving = true;
    instances[2].name = "dead";
    EXPECT_EQ(ctl::instances_not_in_force(instances, 7),
              (std::vector<std::string>{"dead (unreachable)"}));
    EXPECT_EQ(ctl::instances_not_in_force(instances, 8),
              (std::vector<std::string>{"live", "dead (unreachable)"}));
}

TEST(configuration_status, an_unexpected_response_does_not_crash) {
    ctl::instance_status status;
    ctl::parse_status(R"({"configuration_version": "7", "flows": [], "targets": [1, {}]})", status);
    EXPECT_TRUE(status.is_reachable);
    EXPECT_EQ(status.version, 0);
    ctl::parse_status("<html>", status);
    EXPECT_TRUE(status.targets.empty());
}

}  // namespace
}  // namespace bramleytrack
