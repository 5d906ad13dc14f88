// silent_link: forwards connections from one address to another. At SIGUSR1, the connections that
// are open then go silent for good, without a reset; new ones work.
#include <csignal>

#include "../../standins/soak/link.h"
#include "settings/command_line.h"

namespace {

using bramleytrack::standins::stream_link;

void silence(ev::sig& watcher, int /*events*/) {
    static_cast<stream_link*>(watcher.data)->silence_all();
}

}  // namespace

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string listen_address;
    std::string upstream;
    settings::command_line{"--near ADDRESS --far ADDRESS"}
        .option("near", listen_address, "ip:port where connections are accepted")
        .option("far", upstream, "ip:port that they are forwarded to")
        .parse(argc, argv);
    ev::default_loop loop;
    stream_link link{loop, listen_address, upstream};
    ev::sig signal{loop};
    signal.set<&silence>(&link);
    signal.start(SIGUSR1);
    loop.run();
    return 0;
}
