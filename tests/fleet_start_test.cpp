// Fleet: how a fleet receives its state after a restart, simulated with the real classes.
#include <gtest/gtest.h>

#include <map>

#include "fleet_start_experiment.h"

namespace bramleytrack {
namespace {

using experiments::fleet_start_features;
using experiments::fleet_start_pattern;

std::map<std::string, double> figures(const fleet_start_pattern& pattern,
                                      const fleet_start_features& features = {}) {
    std::map<std::string, double> result;
    for (const auto& each : experiments::simulate_fleet_start(pattern, features, 1)) {
        result[each.name] = each.value;
    }
    return result;
}

// A fifth of the planned fleet at a fifth of the store's link.
const fleet_start_pattern all_through_a_narrow_link{
    .name = "narrow", .instances = 200, .restarted_fraction = 1, .store_link_mbps = 200};

TEST(fleet_start, ends_although_a_page_takes_longer_than_its_timeout) {
    // Guards against a fleet that never serves again after a power loss: the reads of all fill the
    // store's link, each page misses its timeout, and every read begins anew.
    EXPECT_EQ(figures(all_through_a_narrow_link)["ready"], 200);
}

TEST(fleet_start, takes_copies_from_peers_instead_of_reading_the_store_by_each) {
    // Guards against a start whose duration is the state times the number of instances through the
    // store's link. The limit is a fifth of what all reads together take.
    const auto with_copies = figures(all_through_a_narrow_link);
    const auto without = figures(all_through_a_narrow_link, {.copies_from_peers = false});
    EXPECT_EQ(with_copies.at("ready"), 200);
    EXPECT_LT(with_copies.at("store_mb"), without.at("store_mb") / 2);
    EXPECT_LT(with_copies.at("all_s"), 3);
}

TEST(fleet_start, of_a_few_restarted_instances_takes_the_state_from_running_peers) {
    auto pattern = all_through_a_narrow_link;
    pattern.restarted_fraction = 0.05;
    const auto result = figures(pattern);
    EXPECT_EQ(result.at("ready"), 10);
    EXPECT_LT(result.at("all_s"), 1);
}

}  // namespace
}  // namespace bramleytrack
