// standin_link: forwards connections from one address to another. Ending the process cuts them.
#include "settings/command_line.h"
#include "soak/link.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string listen_address;
    std::string upstream;
    settings::command_line{"--near ADDRESS --far ADDRESS"}
        .option("near", listen_address, "ip:port where connections are accepted")
        .option("far", upstream, "ip:port that they are forwarded to")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::stream_link link{loop, listen_address, upstream};
    loop.run();
    return 0;
}
