// Measures the per-unit costs in docs/CAPACITY-OWNERS.md: CPU time, memory and traffic of one
// instance by the number of peers, targets, flows and the size of configurations, each at several
// sizes. Covers the core and the codec, without sockets.
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>

#include "configuration/parse.h"
#include "instance/instance.h"
#include "settings/command_line.h"
#include "support/fleet_text.h"
#include "wire/codec.h"

namespace bramleytrack {
namespace {

constexpr double bytes_per_kilobyte = 1024;

// CPU time of this process.
double processor_ms() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double resident_kilobytes() {
    std::ifstream file{"/proc/self/statm"};
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
           bytes_per_kilobyte;
}

std::string peer_name(int index) {
    return "zone-0-instance-" + std::to_string(index);
}

std::string peer_address(int index) {
    return "10.9.0.1:" + std::to_string(10'000 + index);
}

std::unique_ptr<instance> make_core(const std::string& text, int peers, clock::time_point now) {
    auto core = std::make_unique<instance>(identity{.name = "self",
                                                    .zone = "zone-0",
                                                    .peer_address = "10.9.0.1:9999",
                                                    .incarnation = 1,
                                                    .started = now});
    core->on_configuration(text, 1, now);
    std::vector<membership::listed_instance> listed;
    listed.reserve(static_cast<std::size_t>(peers));
    for (int i = 0; i < peers; ++i) {
        listed.push_back({.name = peer_name(i),
                          .zone = "zone-" + std::to_string(i % 6),
                          .address = peer_address(i),
                          .is_leaving = false});
    }
    core->on_instance_list(listed);
    return core;
}

wire::peer_message heartbeat_of(int peer, int owned, const instance& core, clock::time_point now) {
    wire::peer_message message;
    message.sender = peer_name(peer);
    message.incarnation = 1;
    wire::heartbeat beat;
    beat.zone = "zone-" + std::to_string(peer % 6);
    beat.address = peer_address(peer);
    beat.configuration_version = 1;
    beat.configuration_digest = static_cast<std::int64_t>(core.state().configuration.digest);
    beat.stamp = to_milliseconds(now);
    beat.echo = to_milliseconds(now);
    for (int i = 0; i < owned; ++i) {
        wire::target_load load;
        load.target = "target-" + std::to_string(peer * owned + i);
        load.connections = 2'000;
        load.slots_in_use = 2;
        load.bound = 2'000;
        load.epoch = to_milliseconds(now);
        beat.owned.push_back(load);
    }
    message.__set_beat(beat);
    return message;
}

// Measures one instance in a full mesh of N peers that sends and receives heartbeats for ten
// seconds.
void measure_peers() {
    constexpr std::array sizes{9, 50, 102, 610};
    constexpr int seconds = 10;
    std::printf("peers: bytes a heartbeat, bytes sent a second, processor share, by N\n");
    for (const int peers : sizes) {
        // Eight targets per instance, as in the planned deployment.
        const int targets = peers * 8;
        auto now = to_time_point(1'000'000'000);
        const auto text = testing::fleet_text({.zones = 6, .services = 10, .targets = targets});
        auto core = make_core(text, peers, now);
        const auto key = wire::derive_fleet_key("capacity");
        wire::encoder encoder;
        const auto heartbeat_bytes = encoder.encode(heartbeat_of(1, 8, *core, now), key).size();
        std::int64_t sent = 0;
        double cpu_ms = 0;
        const auto end = now + std::chrono::seconds{seconds};
        for (; now < end; now += tick_interval) {
            // Heartbeats of the peers. Encoding them is not part of this instance's cost.
            std::vector<std::vector<std::uint8_t>> received;
            if (to_milliseconds(now) % 500 == 0) {
                for (int i = 0; i < peers; ++i) {
                    const auto bytes = encoder.encode(heartbeat_of(i, 8, *core, now), key);
                    received.emplace_back(bytes.begin(), bytes.end());
                }
            }
            const auto before = processor_ms();
            for (const auto& each : received) {
                const auto decoded = wire::decode_peer_message(each, key);
                core->on_peer_message(std::get<wire::peer_message>(decoded), now);
            }
            core->on_tick(now);
            for (const auto& each : core->take_actions()) {
                if (const auto* message = std::get_if<send_to_peer>(&each)) {
                    sent += static_cast<std::int64_t>(encoder.encode(message->content, key).size());
                }
            }
            cpu_ms += processor_ms() - before;
        }
        std::printf(
            "  %4d peers: %5zu bytes received each, %9.0f bytes/s sent, %6.2f%% of a core\n", peers,
            heartbeat_bytes, static_cast<double>(sent) / seconds,
            cpu_ms / (seconds * 1000.0) * 100);
    }
}

void measure_flows() {
    std::printf("flows: resident memory and processor time of idle ticks, by open flows\n");
    constexpr std::array sizes{20'000, 100'000, 300'000};
    for (const int flows : sizes) {
        auto now = to_time_point(1'000'000'000);
        auto core =
            make_core(testing::fleet_text({.zones = 1, .services = 1, .targets = 14}), 0, now);
        for (int i = 0; i < 150; ++i, now += tick_interval) {
            core->on_tick(now);
            core->take_actions();
        }
        const auto before = resident_kilobytes();
        for (int i = 0; i < flows; ++i) {
            wire::packet open;
            open.kind = wire::packet_kind::open;
            open.service_address = testing::service_address(0);
            open.caller =
                "10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":5000";
            open.flow = i;
            open.member = "member-" + std::to_string(i % 40);
            core->on_caller_packet(std::move(open), now);
            core->take_actions();
        }
        const auto added_kilobytes = resident_kilobytes() - before;
        const auto open_flows = core->state().flows.size();
        // All flows were opened at once here. Waits until the work that follows an opening for
        // some seconds has finished.
        constexpr int settling_ticks = 100;
        for (int i = 0; i < settling_ticks; ++i, now += tick_interval) {
            core->on_tick(now);
            core->take_actions();
        }
        constexpr int ticks = 600;  // one minute, so that each periodic scan runs once
        const auto started_at = processor_ms();
        for (int i = 0; i < ticks; ++i, now += tick_interval) {
            core->on_tick(now);
            core->take_actions();
        }
        std::printf("  %6zu flows: %7.0f KB, %4.0f bytes each; a tick %6.3f ms\n", open_flows,
                    added_kilobytes,
                    added_kilobytes * bytes_per_kilobyte / static_cast<double>(open_flows),
                    (processor_ms() - started_at) / ticks);
    }
}

void measure_configurations() {
    std::printf("texts: size, time to check and to put in force, memory\n");
    struct size {
        int services;
        int targets;
    };
    constexpr std::array sizes{size{2, 18}, size{100, 470}, size{1'400, 4'700}};
    for (const auto& each : sizes) {
        const auto text =
            testing::fleet_text({.zones = 6, .services = each.services, .targets = each.targets});
        const auto memory = resident_kilobytes();
        const auto started_at = processor_ms();
        const auto parsed = configuration::parse_configuration(text, 1);
        const auto cpu_ms = processor_ms() - started_at;
        std::printf(
            "  %4d services, %4d targets: %7zu bytes, %7.2f ms, %6.0f KB, %s\n", each.services,
            each.targets, text.size(), cpu_ms, resident_kilobytes() - memory,
            std::holds_alternative<configuration::configuration>(parsed) ? "valid" : "refused");
    }
}

}  // namespace
}  // namespace bramleytrack

int main(int argc, const char** argv) {
    bramleytrack::settings::command_line{""}.parse(argc, argv);
    bramleytrack::measure_configurations();
    bramleytrack::measure_flows();
    bramleytrack::measure_peers();
    return 0;
}
