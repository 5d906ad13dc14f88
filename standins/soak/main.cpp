// standin_soak: plays one seed of the soak with the real programs. Exit status 0: every promise
// held. The seed decides the faults and their order; times follow the machine.
#include <cstdio>
#include <filesystem>

#include "settings/command_line.h"
#include "soak/soak.h"

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    standins::soak_options options;
    options.programs = std::filesystem::path{argv[0]}.parent_path().string();
    int seed = 1;
    int rounds = 1;
    int storm_seconds = 10;
    settings::command_line{"[OPTIONS]"}
        .option("programs", options.programs, "folder of the built programs")
        .option("workspace", options.workspace, "folder for settings and logs")
        .option("seed", seed, "of the faults and their order")
        .option("rounds", rounds, "of a storm and a calm each")
        .option("storm-seconds", storm_seconds, "length of each storm")
        .option("instances", options.instances, "number of instances")
        .option("targets", options.targets, "number of targets")
        .parse(argc, argv);
    options.seed = static_cast<std::uint64_t>(seed);
    if (options.workspace.empty()) {
        std::fprintf(stderr, "standin_soak: --workspace is missing\n");
        return 2;
    }
    std::filesystem::create_directories(options.workspace);
    // The default loop would take the exit statuses of the processes that are started here.
    ev::dynamic_loop loop;
    standins::soak run{loop, options};
    for (int i = 0; i < rounds; ++i) {
        run.play_round(clock::duration{storm_seconds * 1'000});
    }
    const auto result = run.finish();
    std::string played;
    for (const auto& [name, count] : result.played) {
        played += " " + name + "=" + std::to_string(count);
    }
    std::printf(
        "seed %d: asked %d, answered %d, lost %d, opened %d, refused %d, taken twice %d, "
        "violations %zu;%s\n",
        seed, result.tally.asked, result.tally.answered, result.tally.late_or_lost,
        result.tally.opened, result.tally.refused, result.taken_twice, result.violations.size(),
        played.c_str());
    for (const auto& each : result.violations) {
        std::printf("  %s\n", each.c_str());
    }
    return result.violations.empty() ? 0 : 1;
}
