// Cost of the load decisions: admission of a request at a busy target, and placement of a flow.
#include <benchmark/benchmark.h>

#include <array>

#include "load/admission.h"
#include "load/placement.h"

namespace bramleytrack {
namespace {

constexpr int members = 8;
constexpr std::array<std::string_view, members> names{"a", "b", "c", "d", "e", "f", "g", "h"};

// One request arrives and one ends, at a target whose slots are busy and whose queue is three
// quarters full with requests of eight members.
void admit_at_a_busy_target(benchmark::State& state) {
    configuration::target target;
    target.slots = 2;
    load::target_load load;
    auto now = to_time_point(1'000'000);
    std::int64_t number = 0;
    const auto next_work = [&] {
        ++number;
        return load::work{.id = {.flow = static_cast<std::uint64_t>(number), .number = number},
                          .member = names[static_cast<std::size_t>(number) % members],
                          .kind = 0,
                          .deadline = now + clock::duration{3'000}};
    };
    for (const auto& name : names) {
        load.times.record(name, 0, clock::duration{20}, now);
    }
    load.slots_in_use = target.slots;
    for (int i = 0; i < target.slots * load::max_queued_per_slot * 3 / 4; ++i) {
        load::admit_request(target, load, next_work(), now);
    }
    for (auto _ : state) {
        now += clock::duration{10};
        const auto request = next_work();
        benchmark::DoNotOptimize(load::admit_request(target, load, request, now));
        benchmark::DoNotOptimize(load::take_infeasible(target, load, now));
        --load.slots_in_use;
        const auto next = load::take_next(target, load, now);
        ++load.slots_in_use;
        auto dispatched = request;
        dispatched.id = next.value_or(request.id);
        load::record_dispatch(load, dispatched, now);
        load::record_end(load, dispatched.id, load::run_outcome::answered,
                         now + clock::duration{20});
    }
    state.counters["waiting"] = static_cast<double>(load.queue.size());
}
BENCHMARK(admit_at_a_busy_target);

void order_two_candidates(benchmark::State& state) {
    const std::array candidates{load::candidate{.is_eligible = true, .relative_load = 1'000},
                                load::candidate{.is_eligible = true, .relative_load = 900}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(load::order_candidates(candidates));
    }
}
BENCHMARK(order_two_candidates);

void size_of_a_waiting_request(benchmark::State& state) {
    for (auto _ : state) {
        benchmark::DoNotOptimize(state.iterations());
    }
    state.counters["bytes"] = sizeof(load::waiting_request);
    state.counters["bytes_running"] = sizeof(load::running_request) + sizeof(records::request_id);
    state.counters["bytes_per_target"] = sizeof(load::target_load);
}
BENCHMARK(size_of_a_waiting_request);

}  // namespace
}  // namespace bramleytrack
