// standin_flow_caller: runs callers of the users' platform for some seconds, prints their results,
// and checks the guarantees that the run exercised. Exit status 0: all held.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/read_file.h"
#include "flow_caller/flow_caller.h"
#include "settings/command_line.h"

namespace bramleytrack::standins {
namespace {

using nlohmann::json;

constexpr clock::duration http_limit{1'000};
// Allows for the requests lost in a run with one crash of an instance and one of a target.
constexpr double min_answered_ratio = 0.97;

struct target_report {
    std::map<std::string, int> runs;
    int opened_while_draining = 0;
};

std::set<std::string> split_at_commas(const std::string& text) {
    std::istringstream stream{text};
    std::set<std::string> result;
    for (std::string each; std::getline(stream, each, ',');) {
        result.insert(each);
    }
    return result;
}

target_report fetch_target_report(ev::loop_ref loop, const std::string& address) {
    net::http_client client{loop};
    target_report result;
    client.get("http://" + address + "/runs", http_limit, [&](const net::http_result& answer) {
        const auto root = json::parse(answer.body, nullptr, false);
        if (root.is_object()) {
            result.runs = root["runs"].get<std::map<std::string, int>>();
            result.opened_while_draining = root["opened_while_draining"];
        }
        loop.break_loop(ev::ONE);
    });
    loop.run();
    return result;
}

bool print_verdict(const char* guarantee, int violations) {
    std::printf("%-66s %s (%d)\n", guarantee, violations == 0 ? "held" : "BROKEN", violations);
    return violations == 0;
}

int count_excluding(const std::map<std::string, int>& by_target,
                    const std::set<std::string>& ended) {
    int sum = 0;
    for (const auto& [target, count] : by_target) {
        sum += ended.contains(target) ? 0 : count;
    }
    return sum;
}

bool print_verdicts(const caller_tally& tally, const std::vector<target_report>& reports,
                    const std::set<std::string>& ended) {
    std::map<std::string, int> runs;
    int opened_while_draining = 0;
    for (const auto& each : reports) {
        opened_while_draining += each.opened_while_draining;
        for (const auto& [id, count] : each.runs) {
            runs[id] += count;
        }
    }
    const auto run_twice =
        std::ranges::count_if(runs, [](const auto& each) { return each.second > 1; });
    auto latencies = tally.latencies_ms;
    std::ranges::sort(latencies);
    const auto percentile = [&](double share) {
        return latencies.empty() ? 0LL
                                 : static_cast<long long>(latencies[static_cast<std::size_t>(
                                       share * static_cast<double>(latencies.size() - 1))]);
    };
    std::printf(
        "asked %d, answered %d, lost %d, flows opened %d, refused %d, not opened %d, reset before "
        "any "
        "answer %d, p50 %lld ms, p99 %lld ms\n",
        tally.requests_sent, tally.answered, tally.unanswered, tally.opened, tally.refused,
        tally.not_opened, tally.reset_before_any_answer, percentile(0.5), percentile(0.99));
    const bool are_requests_answered =
        tally.requests_sent > 0 && tally.answered >= min_answered_ratio * tally.requests_sent;
    bool all_held = print_verdict("open flows of live targets that the balancer reset",
                                  count_excluding(tally.reset_by_balancer, ended));
    all_held &= print_verdict("open flows that another target reset",
                              count_excluding(tally.reset_by_target, ended));
    // Counts only answers of another service: the callers drop an answer with another id than that
    // of the current request.
    all_held &=
        print_verdict("answers to another request or of another service", tally.wrong_answers);
    all_held &= print_verdict("requests that ran twice", static_cast<int>(run_twice));
    all_held &=
        print_verdict("flows opened at a target 3 s after it drained", opened_while_draining);
    all_held &= print_verdict("requests answered below the share that must be",
                              are_requests_answered ? 0 : 1);
    return all_held;
}

void stop_loop(ev::timer& timer, int /*events*/) {
    ev_break(timer.loop, EVBREAK_ONE);
}

int run(const std::string& path, int seconds, int flows, const std::set<std::string>& ended) {
    const auto fleet = json::parse(read_file(path).value_or("{}"));
    flow_caller_options options;
    options.address = fleet["caller_address"];
    options.flows = flows;
    std::vector<std::string> target_addresses;
    for (const auto& each : fleet["routes"]) {
        options.routes.push_back({.address = each["address"], .service = each["service"]});
    }
    for (const auto& each : fleet["targets"]) {
        options.services[each["id"]] = each["service"];
        options.targets[each["address"]] = each["id"];
        if (!ended.contains(each["id"].get<std::string>())) {
            target_addresses.push_back(each["address"]);
        }
    }
    std::vector<router::instance> instances;
    for (const auto& each : fleet["instances"]) {
        instances.push_back({.packet_address = each["packet_address"],
                             .readiness_address = each["readiness_address"]});
    }
    ev::default_loop loop;
    flow_caller callers{loop, options, instances};
    ev::timer end{loop};
    end.set<&stop_loop>();
    end.start(seconds);
    loop.run();
    callers.stop();
    constexpr double settle_seconds = 3.5;
    end.start(settle_seconds);
    loop.run();
    std::vector<target_report> reports;
    reports.reserve(target_addresses.size());
    for (const auto& each : target_addresses) {
        reports.push_back(fetch_target_report(loop, each));
    }
    return print_verdicts(callers.results(), reports, ended) ? 0 : 1;
}

}  // namespace
}  // namespace bramleytrack::standins

int main(int argc, const char** argv) {
    std::string fleet;
    std::string ended;
    int seconds = 20;
    int flows = 60;
    bramleytrack::settings::command_line{"[OPTIONS]"}
        .option("fleet", fleet, "path of the JSON file that describes the fleet")
        .option("seconds", seconds, "duration of the load in seconds")
        .option("flows", flows, "number of flows that are open at the same time")
        .option("ended", ended, "ids of targets that the run terminates, separated by commas")
        .parse(argc, argv);
    return bramleytrack::standins::run(fleet, seconds, flows,
                                       bramleytrack::standins::split_at_commas(ended));
}
