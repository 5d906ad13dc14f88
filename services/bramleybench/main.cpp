// bramleybench: plays patterns of load against the decisions, with and without each of them.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <sstream>

#include "baselines.h"
#include "cold_experiment.h"
#include "load/placement.h"
#include "overload_experiment.h"
#include "placement_experiment.h"
#include "settings/command_line.h"
#include "summary.h"

namespace {

using namespace bramleytrack::experiments;  // NOLINT(google-build-using-namespace): the program

constexpr int usage_exit_status = 2;

struct options {
    std::string scenario = "all";
    std::string without;
    int seeds = 5;
    bool as_csv = false;
    double threshold = bramleytrack::load::second_choice_threshold;
};

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

void print(const options& wanted, std::string_view name, std::string_view plays,
           const std::vector<figure>& figures) {
    std::string without = wanted.without.empty() ? "-" : wanted.without;
    std::ranges::replace(without, ',', '+');  // one field of the CSV
    if (!wanted.as_csv) {
        std::printf("%s, %d seeds, without %s: %s\n", std::string{name}.c_str(), wanted.seeds,
                    without.c_str(), std::string{plays}.c_str());
    }
    for (const auto& each : figures) {
        if (wanted.as_csv) {
            std::printf("%s,%s,%d,%s,%.4f\n", std::string{name}.c_str(), without.c_str(),
                        wanted.seeds, each.name.c_str(), each.value);
        } else {
            std::printf("  %-16s %10.4f\n", each.name.c_str(), each.value);
        }
    }
}

bool is_wanted(const options& wanted, std::string_view name) {
    return wanted.scenario == "all" || wanted.scenario == name;
}

void run_requests(const options& wanted) {
    const auto table = strategies_without(split(wanted.without));
    for (const auto& pattern : all_scenarios()) {
        if (!is_wanted(wanted, pattern.name)) {
            continue;
        }
        std::vector<request_result> results;
        for (int seed = 1; seed <= wanted.seeds; ++seed) {
            results.push_back(simulate_requests(pattern, table, static_cast<std::uint64_t>(seed)));
        }
        print(wanted, pattern.name, pattern.description, figures_of(merge(results)));
    }
}

template <typename player>
std::vector<figure> mean_of(int seeds, player play_one) {
    std::vector<figure> sums;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto figures = play_one(static_cast<std::uint64_t>(seed));
        sums.resize(figures.size());
        for (std::size_t i = 0; i < figures.size(); ++i) {
            sums[i].name = figures[i].name;
            sums[i].value += figures[i].value / seeds;
        }
    }
    return sums;
}

// Decisions about flows have names of their own.
placement_features choice_without(const options& wanted, const std::vector<std::string>& names) {
    placement_features choice;
    choice.threshold = wanted.threshold;
    for (const auto& name : names) {
        choice.uses_first_candidate = choice.uses_first_candidate || name == "second_candidate";
        choice.counts_own_placements = choice.counts_own_placements && name != "own_placements";
        choice.threshold = name == "threshold" ? 0 : choice.threshold;
    }
    return choice;
}

void run_placements(const options& wanted) {
    const auto choice = choice_without(wanted, split(wanted.without));
    for (const auto& pattern : all_placement_patterns()) {
        if (!is_wanted(wanted, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(wanted.seeds, [&](std::uint64_t seed) {
            return simulate_placement(pattern, choice, seed);
        });
        print(wanted, pattern.name, "flows opened and closed by several homes", figures);
    }
}

void run_cold_starts(const options& wanted) {
    cold_start_features choice;
    for (const auto& name : split(wanted.without)) {
        choice.uses_own_observation = choice.uses_own_observation && name != "cold_observation";
        choice.has_ramp = choice.has_ramp && name != "cold_start";
    }
    for (const auto& pattern : all_cold_start_patterns()) {
        if (!is_wanted(wanted, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(wanted.seeds, [&](std::uint64_t seed) {
            return simulate_cold_start(pattern, choice, seed);
        });
        print(wanted, pattern.name, pattern.description, figures);
    }
}

void run_overloads(const options& wanted) {
    overload_features choice;
    for (const auto& name : split(wanted.without)) {
        choice.limits_open_requests = choice.limits_open_requests && name != "open_request_limit";
        choice.shares_loads = choice.shares_loads && name != "shared_loads";
        choice.shares_demands = choice.shares_demands && name != "shared_demands";
        choice.identifies_callers = choice.identifies_callers && name != "caller_shares";
        choice.probes_targets = choice.probes_targets && name != "target_checks";
        choice.handles_opening_copies = choice.handles_opening_copies && name != "opening_copies";
        choice.resets_dead_flows = choice.resets_dead_flows && name != "dead_flows";
    }
    for (const auto& pattern : all_overload_patterns()) {
        if (!is_wanted(wanted, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(wanted.seeds, [&](std::uint64_t seed) {
            return simulate_overload(pattern, choice, seed);
        });
        print(wanted, pattern.name, pattern.description, figures);
    }
}

}  // namespace

int main(int argc, const char** argv) {
    options wanted;
    bramleytrack::settings::command_line line{"[OPTION...]"};
    line.option("scenario", wanted.scenario, "the pattern to play, or all")
        .option("without", wanted.without, "decisions to replace by their baseline: a,b,...")
        .option("seeds", wanted.seeds, "how many seeds to run, from 1 on")
        .option("threshold", wanted.threshold, "of the second candidate, see load/placement.h")
        .flag("csv", wanted.as_csv, "lines of scenario,without,seeds,figure,value");
    line.parse(argc, argv);
    try {
        run_requests(wanted);
        run_placements(wanted);
        run_cold_starts(wanted);
        run_overloads(wanted);
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return usage_exit_status;
    }
    return 0;
}
