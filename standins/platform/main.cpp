// standin_platform: serves the platform's store and instance list over HTTP.
#include "instance_directory.h"
#include "revisioned_store.h"
#include "settings/command_line.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string address = "127.0.0.1:0";
    int lag_ms = 1000;
    settings::command_line{"[OPTIONS]"}
        .option("address", address, "ip:port of the HTTP service")
        .option("list-lag-ms", lag_ms, "how late the instance list shows changes, in ms")
        .parse(argc, argv);
    ev::default_loop loop;
    standins::revisioned_store store{loop};
    standins::instance_directory directory{clock::duration{lag_ms}};
    const net::http_server server{
        loop, address, [&](const net::http_request& request, const net::http_responder& respond) {
            if (standins::revisioned_store::handles(request.path)) {
                store.handle(request, respond);
            } else if (request.path == "/v1/instances") {
                directory.handle(request, respond);
            } else {
                respond({.status = 404, .body = "{}", .content_type = "application/json"});
            }
        }};
    loop.run();
    return 0;
}
