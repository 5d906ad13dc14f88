// Time of the look-ups that are made for each packet, by number of targets.
#include <benchmark/benchmark.h>

#include "configuration/configuration.h"
#include "routing/candidates.h"

namespace bramleytrack {
namespace {

configuration::configuration make_configuration(std::size_t count) {
    configuration::configuration result;
    result.zones = {{.name = "north"}, {.name = "south"}, {.name = "west"}};
    result.services = {{.name = "board", .address = "10.0.0.1:443", .depends_on = {}}};
    for (std::size_t i = 0; i < count; ++i) {
        configuration::target added;
        added.name = "board-" + std::to_string(i);
        added.zone = result.zones[i % result.zones.size()].name;
        added.service = "board";
        added.address = "10.1.0.1:" + std::to_string(i);
        result.targets.push_back(std::move(added));
    }
    result.build_indexes();
    return result;
}

void candidates_of(benchmark::State& state) {
    const auto configuration = make_configuration(static_cast<std::size_t>(state.range(0)));
    routing::flow_key key = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(routing::candidates_of(configuration, "board", ++key));
    }
}

void find_target_by_address(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto configuration = make_configuration(count);
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 1) % count;
        benchmark::DoNotOptimize(
            configuration.find_target_by_address(configuration.targets[next].address));
    }
}

constexpr std::int64_t small_fleet_targets = 14;
constexpr std::int64_t large_service_targets = 100;
constexpr std::int64_t planned_fleet_targets = 4'700;

BENCHMARK(candidates_of)
    ->Arg(small_fleet_targets)
    ->Arg(large_service_targets)
    ->Arg(planned_fleet_targets);
BENCHMARK(find_target_by_address)
    ->Arg(small_fleet_targets)
    ->Arg(large_service_targets)
    ->Arg(planned_fleet_targets);

}  // namespace
}  // namespace bramleytrack
