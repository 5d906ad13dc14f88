// standin_soak: runs one seed of the soak test with the real programs. Exit status 0: no violation.
// The seed determines the faults and their order; their timing depends on the machine.
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
    int fault_phase_seconds = 10;
    settings::command_line{"[OPTIONS]"}
        .option("programs", options.programs, "folder of the built programs")
        .option("workspace", options.workspace, "folder for settings and logs")
        .option("seed", seed, "seed of the faults and their order")
        .option("rounds", rounds, "number of rounds, each a fault phase and a steady phase")
        .option("storm-seconds", fault_phase_seconds, "length of each fault phase in seconds")
        .option("instances", options.instances, "number of instances")
        .option("targets", options.targets, "number of targets")
        .parse(argc, argv);
    options.seed = static_cast<std::uint64_t>(seed);
    if (options.workspace.empty()) {
        std::fprintf(stderr, "standin_soak: --workspace is missing\n");
        return 2;
    }
    std::filesystem::create_directories(options.workspace);
    // Not the default loop: it reaps child processes, so their exit statuses would be lost.
    ev::dynamic_loop loop;
    standins::soak run{loop, options};
    for (int i = 0; i < rounds; ++i) {
        run.run_round(clock::duration{fault_phase_seconds * 1'000});
    }
    const auto result = run.finish();
    std::string fault_counts;
    for (const auto& [name, count] : result.fault_counts) {
        fault_counts += " " + name + "=" + std::to_string(count);
    }
    std::printf(
        "seed %d: asked %d, answered %d, lost %d, opened %d, refused %d, taken twice %d, "
        "violations %zu;%s\n",
        seed, result.tally.requests_sent, result.tally.answered, result.tally.unanswered,
        result.tally.opened, result.tally.refused, result.accepted_twice, result.violations.size(),
        fault_counts.c_str());
    for (const auto& each : result.violations) {
        std::printf("  %s\n", each.c_str());
    }
    return result.violations.empty() ? 0 : 1;
}
