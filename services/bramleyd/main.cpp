// bramleyd: runs one load balancer instance. See docs/OPERATIONS.md.
#include <cstdio>
#include <exception>

#include "balancer_daemon.h"
#include "base/read_file.h"
#include "discovery/peer_shard.h"
#include "net/udp_endpoint.h"
#include "observability/log.h"
#include "platform/adapter.h"
#include "settings/command_line.h"
#include "steering_daemon.h"

namespace {

using namespace bramleytrack;

constexpr int invalid_settings_exit_status = 3;
constexpr int start_failure_exit_status = 4;

int report_faults(const std::string& path, std::span<const configuration::fault> faults) {
    for (const auto& fault : faults) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), to_string(fault).c_str());
    }
    return invalid_settings_exit_status;
}

// Routes by target ownership, for callers and targets that use bramleytrack's own packet format.
int run_balancer(const std::string& path, const std::string& text) {
    auto parsed = settings::parse_settings(text);
    if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
        return report_faults(path, *faults);
    }
    auto& settings = std::get<settings::instance_settings>(parsed);
    observability::start_log(settings.name);
    ev::default_loop loop;
    platform_adapter::adapter platform{loop, *net::parse_address(settings.store_address)};
    balancer_daemon daemon{loop, std::move(settings), platform.store()};
    loop.run();
    return 0;
}

// Routes by the token in each packet, on the users' platform.
int run_steering(const std::string& path, const std::string& text) {
    auto parsed = settings::parse_steering_settings(text);
    if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
        return report_faults(path, *faults);
    }
    auto& settings = std::get<settings::steering_settings>(parsed);
    observability::start_log(settings.name, observability::log_flush::on_request);
    ev::default_loop loop;
    platform_adapter::adapter platform{loop, *net::parse_address(settings.store_address)};
    const discovery::peer_entry own_entry{.name = settings.name,
                                          .zone = settings.zone,
                                          .address = settings.advertised_peer_address,
                                          .pull_address = settings.advertised_pull_address,
                                          .link_mbps = settings.link_mbps};
    std::vector<std::string> shard_prefixes;
    for (std::size_t shard = 0; shard < discovery::peer_shards; ++shard) {
        shard_prefixes.push_back(platform_adapter::peer_shard_prefix(shard));
    }
    steering_daemon daemon{loop,
                           settings,
                           {.packets = platform.packets(),
                            .records = platform.records(),
                            .store = platform.store(),
                            .registration_key = platform_adapter::peer_key(settings.name),
                            .registration_value = platform_adapter::peer_value(own_entry),
                            .shard_prefixes = std::move(shard_prefixes)},
                           [path] { return read_file(path).value_or(""); }};
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, const char** argv) {
    std::string path = platform_adapter::settings_path();
    bool routes_by_token = false;
    settings::command_line{"[--steer] [--settings FILE]"}
        .flag("steer", routes_by_token, "route by token, on the users' platform")
        .option("settings", path, "settings of this instance, JSON with comments")
        .parse(argc, argv);
    const auto text = read_file(path);
    if (!text) {
        std::fprintf(stderr, "bramleyd: cannot read the settings file \"%s\"\n", path.c_str());
        return invalid_settings_exit_status;
    }
    try {
        return routes_by_token ? run_steering(path, *text) : run_balancer(path, *text);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "bramleyd: %s\n", error.what());
        return start_failure_exit_status;
    }
}
