// standin_target: a target host.
#include "settings/command_line.h"
#include "target.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    standins::target_options options;
    settings::command_line{"[OPTIONS]"}
        .option("name", options.name, "the target's name in the text of the configuration")
        .option("address", options.address, "ip:port (UDP) of the service")
        .option("admin", options.admin_address, "ip:port (HTTP) of /stats, /runs and /cold")
        .option("slots", options.slots, "number of requests that run concurrently")
        .option("connections", options.connections, "number of flows that may be open concurrently")
        .option("cold-connections", options.cold_connections,
                "limit of open flows during cold start")
        .option("service-ms", options.service_ms, "time that one request takes")
        .option("push-interval-ms", options.push_interval_ms,
                "interval between pushes to a flow; 0: no pushes")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::target process{loop, options};
    loop.run();
    return 0;
}
