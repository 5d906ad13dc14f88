// standin_flow_target: a target of the users' platform.
#include "flow_target/flow_target.h"
#include "settings/command_line.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    standins::flow_target_options options;
    settings::command_line{"[OPTIONS]"}
        .option("id", options.id, "id of the target, ends in hex digits")
        .option("service", options.service, "service of the target")
        .option("zone", options.zone, "availability zone of the target")
        .option("address", options.address, "ip:port, UDP and TCP")
        .option("advertise", options.advertised,
                "ip:port published to instances, if it is another than --address")
        .option("cold-ms", options.cold_ms, "how long it reports itself as cold after its start")
        .option("store", options.store, "ip:port of the store")
        .option("caller-port", options.caller_port, "UDP port of all callers")
        .option("slots", options.slots, "number of requests that run concurrently")
        .option("service-ms", options.service_ms, "time that one request takes")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::flow_target process{loop, options};
    loop.run();
    return 0;
}
