// The cost of routing by token for one instance: openings, later packets, digests and timer ticks,
// for fleets of several sizes. The arguments are the numbers of targets and instances.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "fleet/peer_digests.h"
#include "observability/steering_metrics.h"
#include "steering/steering.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr int zones = 5;
constexpr int openings_per_millisecond = 1;
// Enough that no admission limit is reached while a benchmark runs.
constexpr int ample_slots = 1'000;

std::string zone_name(int number) {
    return "zone-" + std::to_string(number % zones);
}

// One instance of a fleet, with its peers' digests.
class benchmark_instance {
public:
    benchmark_instance(std::int64_t targets, std::int64_t instances) {
        directory_.apply(testing::board_catalogue(), 1, false, start);
        for (int i = 0; i < targets; ++i) {
            const auto entry =
                testing::board_target("i-" + std::to_string(i), zone_name(i), ample_slots);
            directory_.apply(entry, i + 2, false, start);
            tokens_.push_back(discovery::token_of(entry.id));
        }
        for (int i = 0; i < instances; ++i) {
            directory_.apply(
                discovery::peer_entry{
                    .name = name_of(i), .zone = zone_name(i), .address = "", .pull_address = ""},
                i, false, start);
        }
        for (int i = 1; i < std::min<std::int64_t>(instances, 33); ++i) {
            digests_->on_digest(name_of(i), digest(), start);
        }
    }

    static std::string name_of(int number) { return "instance-" + std::to_string(number); }

    wire::digest digest() {
        wire::digest content;
        for (int i = 0; i < 10; ++i) {
            auto& report = content.loads.emplace_back();
            report.token = static_cast<std::int32_t>(tokens_[next_++ % tokens_.size()]);
            report.open_requests = 1;
        }
        return content;
    }

    void open(std::uint32_t number) {
        const auto now = start + clock::duration{number / openings_per_millisecond};
        steering::segment packet;
        packet.flow = {.caller = {.address = number, .port = 1000}, .route = testing::board_route};
        packet.sequence = number;
        packet.is_opening = true;
        benchmark::DoNotOptimize(
            steering_.on_segment(packet, {.is_complete = true, .confirmed = now}, now));
    }

    void send(std::uint32_t number) {
        steering::segment packet;
        packet.flow = {.caller = {.address = number, .port = 1000}, .route = testing::board_route};
        packet.token = tokens_[number % tokens_.size()];
        packet.sequence = next_ += 40;
        packet.length = 40;
        benchmark::DoNotOptimize(
            steering_.on_segment(packet, {.is_complete = true, .confirmed = start}, start));
    }

    void expire(clock::time_point now) {
        steering_.expire(now);
        directory_.expire(now);
    }
    fleet::peer_digests& digests() { return *digests_; }

private:
    discovery::directory directory_;
    std::vector<discovery::routing_token> tokens_;
    std::uint32_t next_ = 0;
    steering::cold_gate cold_gate_{"instance-0"};
    std::unique_ptr<fleet::peer_digests> digests_ =
        std::make_unique<fleet::peer_digests>(directory_, "instance-0", zone_name(0), 1);
    testing::null_event_log log_;
    observability::steering_metrics metrics_;
    steering::steering steering_{
        {.zone = zone_name(0), .regions = {}}, directory_, cold_gate_, *digests_, log_, metrics_};
};

void fleet_sizes(benchmark::internal::Benchmark* definition) {
    definition->Args({18, 9})->Args({300, 200})->Args({1'200, 200})->Args({4'700, 610});
}

// One opening a millisecond: the share of a small instance in 35,000 a second is a seventeenth of
// that.
void opening(benchmark::State& state) {
    benchmark_instance instance{state.range(0), state.range(1)};
    std::uint32_t number = 0;
    for (auto _ : state) {
        instance.open(++number);
    }
}
BENCHMARK(opening)->Apply(fleet_sizes)->Iterations(20'000);

void later_packet(benchmark::State& state) {
    benchmark_instance instance{state.range(0), state.range(1)};
    std::uint32_t number = 0;
    for (auto _ : state) {
        instance.send(++number % 18'000);
    }
}
BENCHMARK(later_packet)->Apply(fleet_sizes)->Iterations(200'000);

void digest_from_a_peer(benchmark::State& state) {
    benchmark_instance instance{state.range(0), state.range(1)};
    const auto content = instance.digest();
    int number = 0;
    for (auto _ : state) {
        instance.digests().on_digest(
            benchmark_instance::name_of(1 + number++ % static_cast<int>(state.range(1) - 1)),
            content, start);
    }
}
BENCHMARK(digest_from_a_peer)->Apply(fleet_sizes)->Iterations(100'000);

void tick(benchmark::State& state) {
    benchmark_instance instance{state.range(0), state.range(1)};
    for (std::uint32_t i = 0; i < 18'000; ++i) {
        instance.send(i);
    }
    auto now = start;
    for (auto _ : state) {
        now += clock::duration{1};
        instance.expire(now);
    }
}
BENCHMARK(tick)->Apply(fleet_sizes)->Iterations(2'000);

}  // namespace
}  // namespace bramleytrack
