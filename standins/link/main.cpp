// standin_link: passes connections on from one address to another. To end the process cuts what
// leads through it.
#include "settings/command_line.h"
#include "soak/link.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string near;
    std::string far;
    settings::command_line{"--near ADDRESS --far ADDRESS"}
        .option("near", near, "ip:port where connections are taken")
        .option("far", far, "ip:port where they lead")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::stream_link link{loop, near, far};
    loop.run();
    return 0;
}
