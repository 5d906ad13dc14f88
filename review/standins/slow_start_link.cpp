// slow_start_link: stands before a host that has just started. Passes datagrams on to it late until
// --for-ms after its own start, and at once from then on; connections pass at once.
#include "../../standins/soak/link.h"
#include "settings/command_line.h"

namespace {

using bramleytrack::standins::datagram_link;

void end_delay(ev::timer& watcher, int /*events*/) {
    static_cast<datagram_link*>(watcher.data)->set({});
}

}  // namespace

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    constexpr double milliseconds_per_second = 1000;
    std::string near_address;
    std::string far_address;
    int delay_ms = 0;
    int for_ms = 0;
    settings::command_line{"--near ADDRESS --far ADDRESS"}
        .option("near", near_address, "ip:port that the host publishes, UDP and TCP")
        .option("far", far_address, "ip:port of the host")
        .option("delay-ms", delay_ms, "how late datagrams are passed on")
        .option("for-ms", for_ms, "until when, from the start of this process")
        .parse(argc, argv);
    ev::default_loop loop;
    std::mt19937_64 random;  // of losses, of which there are none
    datagram_link datagrams{loop, near_address, far_address, random};
    const standins::stream_link connections{loop, near_address, far_address};
    datagrams.set({.delay = clock::duration{delay_ms}});
    ev::timer timer{loop};
    timer.set<&end_delay>(&datagrams);
    timer.start(for_ms / milliseconds_per_second);
    loop.run();
    return 0;
}
