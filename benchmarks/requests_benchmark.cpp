// Cost of one request to the owner of its target, from the caller's packet to the target's answer,
// including the ticks that expire old records. The argument is the number of records in the table.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <optional>

#include "instance/instance.h"
#include "support/fleet_text.h"

namespace bramleytrack {
namespace {

constexpr std::int64_t flows = 1'000;

wire::packet packet_of(wire::packet_kind kind, std::int64_t flow) {
    wire::packet packet;
    packet.kind = kind;
    packet.service_address = testing::service_address(0);
    packet.caller = "10.20.30.40:5000";
    packet.flow = flow;
    packet.member = "member";
    return packet;
}

// The only owner of 14 targets. Time advances at a rate that keeps about `records` records in the
// table.
class busy_owner {
public:
    explicit busy_owner(std::int64_t records)
        : step_{static_cast<double>(records::max_request_lifetime.count()) /
                static_cast<double>(records)},
          core_{identity{.name = "a",
                         .zone = "zone-0",
                         .peer_address = "127.0.0.1:1",
                         .incarnation = 1,
                         .started = now()}} {
        core_.on_configuration(testing::fleet_text({.zones = 1, .services = 1, .targets = 14}), 1,
                               now());
        constexpr std::int64_t startup_ms = 15'000;
        advance(startup_ms);
        for (std::int64_t flow = 1; flow <= flows; ++flow) {
            core_.on_caller_packet(packet_of(wire::packet_kind::open, flow), now());
        }
        core_.take_actions();
        for (std::int64_t i = 0; i < records; ++i) {
            process_request();
        }
    }

    void process_request() {
        ++requests_sent_;
        auto request = packet_of(wire::packet_kind::request, requests_sent_ % flows + 1);
        request.request = requests_sent_;
        request.may_repeat = wire::repetition::at_most_once;
        constexpr std::int64_t deadline = 3'000;
        request.deadline = to_milliseconds(now()) + deadline;
        constexpr std::size_t payload_size = 200;
        request.payload.assign(payload_size, 'x');
        core_.on_caller_packet(std::move(request), now());
        for (auto& each : core_.take_actions()) {
            if (auto* sent = std::get_if<send_to_target>(&each)) {
                sent->content.kind = wire::packet_kind::answer;
                core_.on_target_packet(sent->address, sent->content, now());
            }
        }
        core_.take_actions();
        advance(step_);
    }

    std::size_t records() const { return core_.state().requests.size(); }

private:
    clock::time_point now() const { return to_time_point(static_cast<std::int64_t>(time_)); }

    void advance(double milliseconds) {
        time_ += milliseconds;
        while (time_ >= next_tick_) {
            core_.on_tick(to_time_point(static_cast<std::int64_t>(next_tick_)));
            core_.take_actions();
            next_tick_ += static_cast<double>(tick_interval.count());
        }
    }

    double step_;
    double time_ = 1'000'000;
    double next_tick_ = time_;
    std::int64_t requests_sent_ = 0;
    instance core_;
};

void request_to_answer(benchmark::State& state) {
    const auto heap_before = mallinfo2().uordblks;
    busy_owner owner{state.range(0)};
    const auto heap = static_cast<double>(mallinfo2().uordblks - heap_before);
    state.counters["records"] = static_cast<double>(owner.records());
    state.counters["heap_bytes"] = heap;
    for (auto _ : state) {
        owner.process_request();
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request_to_answer)->Arg(1'000)->Arg(10'000)->Arg(90'000);

}  // namespace
}  // namespace bramleytrack
