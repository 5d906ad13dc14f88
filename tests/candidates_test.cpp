// Routing: the candidate targets of a flow.
#include "routing/candidates.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "configuration/parse.h"

namespace bramleytrack {
namespace {

configuration::configuration ten_targets() {
    configuration::configuration result;
    result.zones = {{.name = "north"}, {.name = "south"}};
    result.services = {{.name = "board", .address = "10.0.0.1:443", .depends_on = {}}};
    for (int i = 0; i < 10; ++i) {
        configuration::target added;
        added.name = "board-" + std::to_string(i);
        added.zone = i % 2 == 0 ? "north" : "south";
        added.service = "board";
        result.targets.push_back(added);
    }
    result.build_indexes();
    return result;
}

TEST(candidates, drain_moves_no_home) {
    // While an operator drains a target, its flows must still be found at the same home. A
    // candidate list that leaves draining targets out would lose them.
    auto before = ten_targets();
    auto after = before;
    after.targets[3].state = configuration::target_state::draining;
    after.build_indexes();
    for (routing::flow_key key = 0; key < 1000; ++key) {
        EXPECT_EQ(routing::candidates_of(before, "board", key).front()->name,
                  routing::candidates_of(after, "board", key).front()->name);
    }
}

TEST(candidates, removed_target_moves_only_its_own_flows) {
    const auto before = ten_targets();
    auto after = before;
    after.targets.erase(after.targets.begin() + 3);
    after.build_indexes();
    for (routing::flow_key key = 0; key < 1000; ++key) {
        const auto* first = routing::candidates_of(before, "board", key).front();
        if (first->name != "board-3") {
            EXPECT_EQ(first->name, routing::candidates_of(after, "board", key).front()->name);
        }
    }
}

TEST(candidates, zone_that_is_out_has_no_candidates) {
    auto configuration = ten_targets();
    configuration.zones[0].state = configuration::zone_state::out;
    configuration.build_indexes();
    for (routing::flow_key key = 0; key < 100; ++key) {
        for (const auto* each : routing::candidates_of(configuration, "board", key)) {
            EXPECT_EQ(each->zone, "south");
        }
    }
}

// Reference implementation of the order, without an index, that candidates_of must agree with.
std::vector<std::string> reference_candidates(const configuration::configuration& configuration,
                                              std::string_view service, routing::flow_key key) {
    std::vector<std::pair<double, std::string>> all;
    for (const auto& each : configuration.targets) {
        const bool is_in = std::ranges::any_of(configuration.zones, [&](const auto& zone) {
            return zone.name == each.zone && zone.state == configuration::zone_state::in;
        });
        if (each.service == service && is_in) {
            const auto hash = hash_of(hash_of(each.name), key);
            const double uniform = std::ldexp(static_cast<double>(hash >> 11) + 0.5, -53);
            all.emplace_back(-each.weight / std::log(uniform), each.name);
        }
    }
    std::ranges::sort(all, std::greater<>{}, &std::pair<double, std::string>::first);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(all.size(), routing::max_candidates); ++i) {
        names.push_back(all[i].second);
    }
    return names;
}

RC_GTEST_PROP(candidates, agree_with_the_reference_implementation,
              (const std::vector<std::uint8_t>& picks)) {
    configuration::configuration configuration;
    configuration.zones = {{.name = "north"},
                           {.name = "south", .state = configuration::zone_state::out}};
    configuration.services = {{.name = "board", .address = "10.0.0.1:443", .depends_on = {}},
                              {.name = "vault", .address = "10.0.0.2:443", .depends_on = {}}};
    for (std::size_t i = 0; i < picks.size(); ++i) {
        configuration::target added;
        added.name = "target-" + std::to_string(i);
        added.zone = picks[i] % 4 == 0 ? "south" : "north";
        added.service = picks[i] % 3 == 0 ? "vault" : "board";
        added.weight = 1.0 + picks[i] % 5;
        configuration.targets.push_back(std::move(added));
    }
    configuration.build_indexes();
    const auto finished = std::move(configuration);
    for (routing::flow_key key = 0; key < 20; ++key) {
        std::vector<std::string> names;
        for (const auto* each : routing::candidates_of(finished, "board", key)) {
            names.push_back(each->name);
        }
        RC_ASSERT(names == reference_candidates(finished, "board", key));
    }
}

}  // namespace
}  // namespace bramleytrack
