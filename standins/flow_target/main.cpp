// standin_flow_target: one target host of the users' platform.
#include "flow_target/flow_target.h"
#include "settings/command_line.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    standins::flow_target_options options;
    settings::command_line{"[OPTIONS]"}
        .option("id", options.id, "its id, which ends in hex digits")
        .option("service", options.service, "the service that it belongs to")
        .option("zone", options.zone, "its availability zone")
        .option("address", options.address, "ip:port, UDP and TCP")
        .option("advertise", options.advertised, "ip:port where instances send, if it's another")
        .option("cold-ms", options.cold_ms, "how long it is cold after its start")
        .option("store", options.store, "ip:port of the store")
        .option("caller-port", options.caller_port, "port at which callers receive")
        .option("slots", options.slots, "requests that run at once")
        .option("service-ms", options.service_ms, "time that one request takes")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::flow_target process{loop, options};
    loop.run();
    return 0;
}
