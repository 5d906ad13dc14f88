// Cost of one packet in the core and in the codec; docs/CAPACITY-OWNERS.md uses the slopes.
#include <benchmark/benchmark.h>

#include <memory>

#include "instance/instance.h"
#include "support/fleet_text.h"
#include "wire/codec.h"

namespace bramleytrack {
namespace {

constexpr std::size_t payload_size = 200;

wire::packet data_packet(std::int64_t flow) {
    wire::packet packet;
    packet.kind = wire::packet_kind::data;
    packet.service_address = testing::service_address(0);
    packet.caller = "10.20.30.40:5000";
    packet.flow = flow;
    packet.member = "member";
    packet.payload.assign(payload_size, 'x');
    return packet;
}

// Returns one instance that owns every target of one zone, so that the whole path is inside one
// process.
std::unique_ptr<instance> sole_owner(int services, int targets) {
    const auto start = to_time_point(1'000'000);
    auto core = std::make_unique<instance>(identity{.name = "a",
                                                    .zone = "zone-0",
                                                    .peer_address = "127.0.0.1:1",
                                                    .incarnation = 1,
                                                    .started = start});
    core->on_configuration(
        testing::fleet_text({.zones = 1, .services = services, .targets = targets}), 1, start);
    constexpr clock::duration settling{15'000};
    for (auto now = start; now < start + settling; now += tick_interval) {
        core->on_tick(now);
    }
    core->take_actions();
    return core;
}

void encode_and_decode_packet(benchmark::State& state) {
    wire::encoder encoder;
    const auto packet = data_packet(1);
    for (auto _ : state) {
        auto decoded = wire::decode_packet(encoder.encode(packet));
        benchmark::DoNotOptimize(decoded);
    }
}
BENCHMARK(encode_and_decode_packet);

void encode_and_decode_forward(benchmark::State& state) {
    wire::encoder encoder;
    const auto key = wire::derive_fleet_key("benchmark");
    wire::peer_message message;
    message.sender = "instance-17";
    message.incarnation = 1'700'000'000'000;
    wire::forward forward;
    forward.content = data_packet(1);
    forward.service_name = "service-0";
    forward.role = wire::forward_role::to_home;
    message.__set_forwarded(forward);
    for (auto _ : state) {
        auto decoded = wire::decode_peer_message(encoder.encode(message, key), key);
        benchmark::DoNotOptimize(decoded);
    }
}
BENCHMARK(encode_and_decode_forward);

// Time from the arrival of a data packet to the action that sends it to its target, by number of
// targets.
void data_packet_to_target(benchmark::State& state) {
    const auto targets = static_cast<int>(state.range(0));
    auto core = sole_owner(1, targets);
    const auto now = to_time_point(1'020'000);
    auto open = data_packet(1);
    open.kind = wire::packet_kind::open;
    core->on_caller_packet(open, now);
    core->take_actions();
    const auto packet = data_packet(1);
    for (auto _ : state) {
        core->on_caller_packet(packet, now);
        auto actions = core->take_actions();
        benchmark::DoNotOptimize(actions);
    }
}
BENCHMARK(data_packet_to_target)->Arg(4)->Arg(14)->Arg(100)->Arg(1000);

// Time to open as many new flows as the argument says on an instance without flows.
void open_flows(benchmark::State& state) {
    const auto flows = state.range(0);
    const auto now = to_time_point(1'020'000);
    for (auto _ : state) {
        state.PauseTiming();
        auto core = sole_owner(1, 14);
        state.ResumeTiming();
        for (std::int64_t flow = 1; flow <= flows; ++flow) {
            auto open = data_packet(flow);
            open.kind = wire::packet_kind::open;
            core->on_caller_packet(std::move(open), now);
            core->take_actions();
        }
    }
    state.SetItemsProcessed(state.iterations() * flows);
}
BENCHMARK(open_flows)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bramleytrack
