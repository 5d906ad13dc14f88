// bramleyctl: the command-line tool for operators. See docs/OPERATIONS.md for each command and exit
// status.
#include "commands.h"
#include "settings/command_line.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    ctl::options options;
    const auto arguments =
        settings::command_line{
            "[OPTIONS] check FILE | diff FILE | apply FILE | show | status | zone out|in NAME | "
            "target drain|undrain NAME | instance retire|restore NAME | explain CALLER [LOG...] | "
            "overview ADDRESS... | services ADDRESS..."}
            .option("store", options.store_address, "numeric ip:port of the platform's store")
            .option("instances", options.instance_list_url, "URL of the platform's instance list")
            .option("timeout-ms", options.timeout_ms, "maximum time to wait for a response")
            .flag("json", options.is_json, "print JSON")
            .flag("wait", options.should_wait,
                  "wait until the version is in force on every instance")
            .parse(argc, argv);
    return ctl::run(options, arguments);
}
