// Memory per flow at its owner and at its home.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "flows/flow_table.h"
#include "flows/location_table.h"
#include "support/fleet_text.h"

namespace bramleytrack {
namespace {

constexpr std::int64_t many_flows = 200'000;

double allocated_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

wire::flow_record record(std::int64_t number) {
    wire::flow_record result;
    result.flow = number;
    result.caller = "10.20.30.40:5000";
    result.service_address = testing::service_address(0);
    result.service_name = "service-0";
    result.member = "member";
    result.target = "target-" + std::to_string(number % 14);
    result.key = static_cast<std::int64_t>(
        routing::key_of(result.service_address, result.caller, result.flow));
    return result;
}

void bytes_of_a_flow_at_its_owner(benchmark::State& state) {
    for (auto _ : state) {
        const auto before = allocated_bytes();
        flows::flow_table table;
        for (std::int64_t flow = 1; flow <= many_flows; ++flow) {
            table.put(record(flow), flows::flow_state::established, to_time_point(1));
        }
        state.counters["bytes"] = (allocated_bytes() - before) / static_cast<double>(many_flows);
    }
}
BENCHMARK(bytes_of_a_flow_at_its_owner)->Iterations(1)->Unit(benchmark::kMillisecond);

void bytes_of_a_flow_at_its_home(benchmark::State& state) {
    for (auto _ : state) {
        const auto before = allocated_bytes();
        flows::location_table table;
        for (std::int64_t flow = 1; flow <= many_flows; ++flow) {
            const auto each = record(flow);
            table.put(static_cast<routing::flow_key>(each.key), each.target, to_time_point(1));
        }
        state.counters["bytes"] = (allocated_bytes() - before) / static_cast<double>(many_flows);
    }
}
BENCHMARK(bytes_of_a_flow_at_its_home)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bramleytrack
