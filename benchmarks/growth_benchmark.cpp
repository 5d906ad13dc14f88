// How the cost of a change grows with the fleet: the first argument is the number of targets, the
// second the number of changes. A cost that grows with the targets at a fixed number of changes
// binds large fleets.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "discovery/directory.h"
#include "store/mirror.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr int zones = 5;

discovery::target_entry entry_of(std::int64_t number) {
    discovery::target_entry result;
    result.id = "i-" + std::to_string(number);
    result.service = "service";
    result.zone = "zone-" + std::to_string(number % zones);
    return result;
}

discovery::directory directory_of(std::int64_t targets) {
    discovery::directory result;
    discovery::catalogue catalogue;
    catalogue.version = 1;
    catalogue.services = {{.name = "service", .cold_flows_per_second = 1}};
    result.apply(catalogue, 1, false, start);
    for (std::int64_t i = 0; i < targets; ++i) {
        result.apply(entry_of(i), 2, false, start);
    }
    benchmark::DoNotOptimize(result.find_pool("service"));
    return result;
}

store::item item_of(std::int64_t number, std::int64_t revision) {
    constexpr std::size_t entry_size = 143;
    return {.key = "targets/" + std::to_string(number),
            .value = std::string(entry_size, 'x'),
            .revision = revision};
}

store::mirror mirror_of(std::int64_t targets) {
    store::mirror result;
    for (std::int64_t i = 0; i < targets; ++i) {
        result.apply(std::vector<store::event>{item_of(i, i + 1)});
    }
    result.advance(targets);
    return result;
}

void sizes(benchmark::internal::Benchmark* subject) {
    for (const int targets : {1'000, 10'000, 20'000}) {
        for (const int changes : {10, 1'000, 10'000}) {
            if (changes <= targets) {
                subject->Args({targets, changes});
            }
        }
    }
    subject->Unit(benchmark::kMicrosecond);
}

void remove_targets(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        auto subject = directory_of(state.range(0));
        state.ResumeTiming();
        for (std::int64_t i = 0; i < state.range(1); ++i) {
            subject.apply(discovery::target_removed{entry_of(i).id}, 3, false, start);
        }
        benchmark::DoNotOptimize(subject.find_pool("service"));
        state.PauseTiming();
        subject = discovery::directory{};
        state.ResumeTiming();
    }
}
BENCHMARK(remove_targets)->Apply(sizes);

void write_targets_again(benchmark::State& state) {
    auto subject = directory_of(state.range(0));
    for (auto _ : state) {
        for (std::int64_t i = 0; i < state.range(1); ++i) {
            subject.apply(entry_of(i), 3, false, start);
        }
        benchmark::DoNotOptimize(subject.find_pool("service"));
    }
}
BENCHMARK(write_targets_again)->Apply(sizes);

void expire_targets(benchmark::State& state) {
    auto subject = directory_of(state.range(0));
    for (auto _ : state) {
        subject.expire(start);
    }
}
BENCHMARK(expire_targets)->Arg(1'000)->Arg(10'000)->Arg(20'000);

void changes_for_a_peer(benchmark::State& state) {
    const auto subject = mirror_of(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(subject.changes_since(subject.revision() - state.range(1)));
    }
}
BENCHMARK(changes_for_a_peer)->Apply(sizes);

void replace_by_a_whole_read(benchmark::State& state) {
    const auto items = mirror_of(state.range(0)).items();
    for (auto _ : state) {
        store::mirror subject;
        benchmark::DoNotOptimize(subject.replace(items, state.range(0)));
    }
}
BENCHMARK(replace_by_a_whole_read)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(20'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bramleytrack
