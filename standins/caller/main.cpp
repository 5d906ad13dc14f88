// standin_caller: generates a mixed load for some seconds, prints the results of the callers, and
// checks the guarantees that the run exercised. Exit status 0: all held.
#include <algorithm>
#include <cstdio>

#include "base/read_file.h"
#include "caller.h"
#include "observer.h"
#include "settings/command_line.h"

namespace bramleytrack::standins {
namespace {

using json = nlohmann::json;

std::int64_t percentile(std::vector<std::int64_t> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

// Prints the verdict on one guarantee and returns whether it held.
bool print_verdict(const char* guarantee, std::int64_t violations) {
    std::printf("%-62s %s (%lld)\n", guarantee, violations == 0 ? "held" : "BROKEN",
                static_cast<long long>(violations));
    return violations == 0;
}

void print_results(const caller::tallies& results) {
    std::printf("%-13s %-13s %6s %8s %7s %7s %6s %6s %6s %6s %5s %5s\n", "service", "member",
                "asked", "answered", "not run", "unknown", "flows", "denied", "broken", "by zone",
                "p50", "p99");
    for (const auto& [key, each] : results) {
        std::printf("%-13s %-13s %6d %8d %7d %7d %6d %6d %6d %6d %5lld %5lld\n", key.first.c_str(),
                    key.second.c_str(), each.requests_sent, each.answered, each.not_run,
                    each.unknown, each.flows_opened, each.opens_refused, each.flows_broken,
                    each.flows_broken_by_zone,
                    static_cast<long long>(percentile(each.latencies_ms, 0.5)),
                    static_cast<long long>(percentile(each.latencies_ms, 0.99)));
    }
}

void print_imbalance(const observer& watched) {
    std::map<std::string, std::vector<int>> by_service;
    for (const auto& [target, count] : watched.peak_connections()) {
        by_service[watched.service_of_target().at(target)].push_back(count);
    }
    for (const auto& [service, counts] : by_service) {
        double total = 0;
        for (const int each : counts) {
            total += each;
        }
        const double mean = total / static_cast<double>(counts.size());
        std::printf("imbalance of %s: most loaded target %d, mean %.1f, ratio %.2f\n",
                    service.c_str(), std::ranges::max(counts), mean,
                    mean > 0 ? std::ranges::max(counts) / mean : 0.0);
    }
}

bool print_verdicts(const caller& callers, const observer& watched, const observation& observed) {
    tally sum;
    for (const auto& [key, each] : callers.results()) {
        sum.requests_sent += each.requests_sent;
        sum.answered += each.answered;
        sum.no_outcome += each.no_outcome;
        sum.wrong_answers += each.wrong_answers;
        sum.flows_broken += each.flows_broken;
    }
    const auto run_twice =
        std::ranges::count_if(observed.runs, [](const auto& entry) { return entry.second > 1; });
    const auto false_refusals = std::ranges::count_if(
        callers.refused_payloads(),
        [&](const std::string& payload) { return observed.runs.contains(payload); });
    print_results(callers.results());
    print_imbalance(watched);
    bool all_held = print_verdict("flows broken, but for zones taken out", sum.flows_broken);
    all_held &= print_verdict("work that may not be repeated, run twice", run_twice);
    all_held &= print_verdict("refusals as not run that were not true", false_refusals);
    all_held &= print_verdict("requests without a final outcome", sum.no_outcome);
    all_held &=
        print_verdict("answers that were another request's or not whole", sum.wrong_answers);
    all_held &=
        print_verdict("packets for one service that reached another", observed.misdelivered);
    all_held &=
        print_verdict("targets given more than they bear at that moment", observed.overloads);
    all_held &= print_verdict("packets to zones out for 3 s", observed.packets_to_zones_out);
    all_held &= print_verdict("nothing answered at all", sum.answered == 0 ? 1 : 0);
    return all_held;
}

}  // namespace
}  // namespace bramleytrack::standins

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string directory;
    std::string members = "alpha,beta,gamma";
    int seconds = 30;
    standins::caller_options options;
    settings::command_line{"[OPTIONS]"}
        .option("fleet", directory, "directory that standin_fleet created")
        .option("members", members, "names of the members, separated by commas")
        .option("seconds", seconds, "duration of the load in seconds")
        .option("flows", options.flows_per_member, "flows of each member to each service")
        .option("interval-ms", options.request_interval_ms, "pause between requests of a flow")
        .option("seed", options.seed, "seed of all random choices")
        .parse(argc, argv);
    const auto fleet = nlohmann::json::parse(read_file(directory + "/fleet.json").value_or("{}"));
    const auto text = nlohmann::json::parse(read_file(directory + "/text.json").value_or("{}"));
    options.fabric_address = fleet["fabric"].get<std::string>();
    for (std::size_t begin = 0; begin <= members.size();) {
        const auto end = std::min(members.find(',', begin), members.size());
        options.members.push_back(members.substr(begin, end - begin));
        begin = end + 1;
    }
    std::vector<standins::called_service> services;
    for (const auto& each : text["services"]) {
        services.push_back({each["name"].get<std::string>(), each["address"].get<std::string>()});
    }
    ev::default_loop loop;
    standins::caller callers{loop, options, services};
    standins::observer watched{loop, fleet};
    bool all_held = false;
    callers.set_exemption([&](const std::string& target, clock::time_point broken_at) {
        return watched.was_out(target, broken_at);
    });
    struct timer_callback {
        std::function<void()> call;
        // Not const: ev++ accepts only non-const member functions as callbacks.
        void fire(ev::timer& /*watcher*/, int /*events*/) {  // NOLINT(*-member-function-const)
            call();
        }
    };
    constexpr double settle_seconds = 6;
    timer_callback stop_callback{[&] { callers.stop_requests(); }};
    ev::timer stop{loop};
    stop.set<timer_callback, &timer_callback::fire>(&stop_callback);
    stop.start(seconds);
    timer_callback end_callback{[&] {
        watched.collect([&](const standins::observation& observed) {
            all_held = standins::print_verdicts(callers, watched, observed);
            loop.break_loop(ev::ALL);
        });
    }};
    ev::timer end{loop};
    end.set<timer_callback, &timer_callback::fire>(&end_callback);
    end.start(seconds + settle_seconds);
    loop.run();
    return all_held ? 0 : 1;
}
