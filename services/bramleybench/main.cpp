// bramleybench: simulates load patterns with the real load-balancing decisions, with all of them or
// with chosen ones replaced by their baselines, and prints the resulting figures.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <sstream>

#include "baselines.h"
#include "cold_experiment.h"
#include "fleet_start_experiment.h"
#include "load/placement.h"
#include "overload_experiment.h"
#include "placement_experiment.h"
#include "settings/command_line.h"
#include "summary.h"

namespace {

using namespace bramleytrack::experiments;  // NOLINT(google-build-using-namespace): the program

constexpr int usage_exit_status = 2;

struct benchmark_options {
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

void print_figures(const benchmark_options& options, std::string_view name,
                   std::string_view description, const std::vector<figure>& figures) {
    std::string without = options.without.empty() ? "-" : options.without;
    std::ranges::replace(without, ',', '+');  // must stay a single CSV field
    if (!options.as_csv) {
        std::printf("%s, %d seeds, without %s: %s\n", std::string{name}.c_str(), options.seeds,
                    without.c_str(), std::string{description}.c_str());
    }
    for (const auto& each : figures) {
        if (options.as_csv) {
            std::printf("%s,%s,%d,%s,%.4f\n", std::string{name}.c_str(), without.c_str(),
                        options.seeds, each.name.c_str(), each.value);
        } else {
            std::printf("  %-16s %10.4f\n", each.name.c_str(), each.value);
        }
    }
}

bool is_selected(const benchmark_options& options, std::string_view name) {
    return options.scenario == "all" || options.scenario == name;
}

void run_requests(const benchmark_options& options) {
    const auto table = strategies_without(split(options.without));
    for (const auto& pattern : all_scenarios()) {
        if (!is_selected(options, pattern.name)) {
            continue;
        }
        std::vector<request_result> results;
        for (int seed = 1; seed <= options.seeds; ++seed) {
            results.push_back(simulate_requests(pattern, table, static_cast<std::uint64_t>(seed)));
        }
        print_figures(options, pattern.name, pattern.description, figures_of(merge(results)));
    }
}

template <typename simulation>
std::vector<figure> mean_of(int seeds, simulation simulate_one) {
    std::vector<figure> sums;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto figures = simulate_one(static_cast<std::uint64_t>(seed));
        sums.resize(figures.size());
        for (std::size_t i = 0; i < figures.size(); ++i) {
            sums[i].name = figures[i].name;
            sums[i].value += figures[i].value / seeds;
        }
    }
    return sums;
}

// Placement decisions are no entries of load::strategies, so their names are handled here.
placement_features placement_features_without(const benchmark_options& options,
                                              const std::vector<std::string>& names) {
    placement_features features;
    features.threshold = options.threshold;
    for (const auto& name : names) {
        features.uses_first_candidate = features.uses_first_candidate || name == "second_candidate";
        features.counts_own_placements = features.counts_own_placements && name != "own_placements";
        features.threshold = name == "threshold" ? 0 : features.threshold;
    }
    return features;
}

void run_placements(const benchmark_options& options) {
    const auto features = placement_features_without(options, split(options.without));
    for (const auto& pattern : all_placement_patterns()) {
        if (!is_selected(options, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(options.seeds, [&](std::uint64_t seed) {
            return simulate_placement(pattern, features, seed);
        });
        print_figures(options, pattern.name, "flows opened and closed by several homes", figures);
    }
}

void run_cold_starts(const benchmark_options& options) {
    cold_start_features features;
    for (const auto& name : split(options.without)) {
        features.uses_own_observation = features.uses_own_observation && name != "cold_observation";
        features.has_ramp = features.has_ramp && name != "cold_start";
    }
    for (const auto& pattern : all_cold_start_patterns()) {
        if (!is_selected(options, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(options.seeds, [&](std::uint64_t seed) {
            return simulate_cold_start(pattern, features, seed);
        });
        print_figures(options, pattern.name, pattern.description, figures);
    }
}

void run_overloads(const benchmark_options& options) {
    overload_features features;
    for (const auto& name : split(options.without)) {
        features.limits_open_requests =
            features.limits_open_requests && name != "open_request_limit";
        features.shares_loads = features.shares_loads && name != "shared_loads";
        features.shares_demands = features.shares_demands && name != "shared_demands";
        features.identifies_callers = features.identifies_callers && name != "caller_shares";
        features.probes_targets = features.probes_targets && name != "target_checks";
        features.handles_opening_copies =
            features.handles_opening_copies && name != "opening_copies";
        features.resets_dead_flows = features.resets_dead_flows && name != "dead_flows";
    }
    for (const auto& pattern : all_overload_patterns()) {
        if (!is_selected(options, pattern.name)) {
            continue;
        }
        const auto figures = mean_of(options.seeds, [&](std::uint64_t seed) {
            return simulate_overload(pattern, features, seed);
        });
        print_figures(options, pattern.name, pattern.description, figures);
    }
}

void run_fleet_starts(const benchmark_options& options) {
    fleet_start_features features;
    for (const auto& name : split(options.without)) {
        features.has_progress_timeouts =
            features.has_progress_timeouts && name != "progress_timeouts";
        features.copies_from_peers = features.copies_from_peers && name != "peer_copies";
    }
    for (const auto& pattern : all_fleet_start_patterns()) {
        if (!is_selected(options, pattern.name) && options.scenario != "fleet_start") {
            continue;
        }
        const auto figures = mean_of(options.seeds, [&](std::uint64_t seed) {
            return simulate_fleet_start(pattern, features, seed);
        });
        print_figures(options, pattern.name, "instances receive their state after a restart",
                      figures);
    }
}

}  // namespace

int main(int argc, const char** argv) {
    benchmark_options options;
    bramleytrack::settings::command_line line{"[OPTION...]"};
    line.option("scenario", options.scenario,
                "the pattern to simulate, fleet_start for all of that kind, or all")
        .option("without", options.without, "decisions to replace by their baselines: a,b,...")
        .option("seeds", options.seeds, "number of seeds to run, from 1 on")
        .option("threshold", options.threshold, "of the second candidate, see load/placement.h")
        .flag("csv", options.as_csv, "print lines of scenario,without,seeds,figure,value");
    line.parse(argc, argv);
    try {
        run_requests(options);
        run_placements(options);
        run_cold_starts(options);
        run_overloads(options);
        run_fleet_starts(options);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return usage_exit_status;
    }
    return 0;
}
