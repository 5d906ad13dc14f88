// Measures the cost of each planned change and each failure in broken flows, forwards per packet
// and control bytes, compared with plain hashing as the baseline. Prints the table of
// docs/MEASUREMENTS.md.
#include <cstdio>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "settings/command_line.h"
#include "support/session.h"

namespace bramleytrack {
namespace {

constexpr int zones = 3;
constexpr int instances_per_zone = 3;
constexpr int targets_of_board = 14;
constexpr int targets_of_plans = 4;

// Script line that makes each flow send one packet.
constexpr std::string_view traffic_line = "traffic";

struct change {
    const char* name;
    std::vector<std::string> script;
    int excused_zone = -1;  // flows of this zone may break, as operators took it out of service
};

std::string zone_name(int index) {
    return "zone-" + std::to_string(index);
}

std::string target_name(const std::string& service, int index) {
    return service + "-" + std::to_string(index);
}

std::vector<std::string> instance_names() {
    constexpr int count = zones * instances_per_zone;
    std::vector<std::string> names;
    names.reserve(count);
    for (int i = 0; i < count; ++i) {
        names.push_back("i" + std::to_string(i));
    }
    return names;
}

void set_up(testing::session& session) {
    for (int i = 0; i < zones; ++i) {
        session.run("zone " + zone_name(i));
    }
    session.run("service board 10.0.0.1:443");
    session.run("service plans 10.0.0.2:443");
    for (int i = 0; i < targets_of_board; ++i) {
        session.run("target " + target_name("board", i) + " " + zone_name(i % zones) +
                    " board slots=2 connections=2000");
    }
    for (int i = 0; i < targets_of_plans; ++i) {
        session.run("target " + target_name("plans", i) + " " + zone_name(i % zones) +
                    " plans slots=2 connections=2000");
    }
    int index = 0;
    for (const auto& name : instance_names()) {
        session.run("instance " + name + " " + zone_name(index++ % zones));
    }
    session.run("apply");
    session.run("advance 15000");
}

std::vector<std::string> rolling_restart() {
    std::vector<std::string> script;
    for (const auto& name : instance_names()) {
        script.push_back("leave " + name);
        script.emplace_back("advance 3000");
        script.push_back("restart " + name);
        script.emplace_back("advance 4000");
    }
    return script;
}

std::vector<change> all_changes() {
    return {
        {.name = "target drained",
         .script = {"set target board-3 draining", "apply", "advance 1000"}},
        {.name = "target added",
         .script = {"target board-99 zone-1 board slots=2 connections=2000", "apply",
                    "advance 4000"}},
        {.name = "instance retired",
         .script = {"set instance i4 retired", "apply", "advance 3000"}},
        {.name = "instance joins", .script = {"instance i9 zone-0", "advance 5000"}},
        {.name = "instance killed", .script = {"kill i4", "advance 4000"}},
        {.name = "two killed at once", .script = {"kill i4", "kill i5", "advance 4000"}},
        {.name = "instance paused 5 s",
         .script = {"pause i4", "advance 5000", "resume i4", "advance 4000"}},
        {.name = "zone out and back",
         .script = {"set zone zone-1 out", "apply", "advance 5000", std::string{traffic_line},
                    "set zone zone-1 in", "apply", "advance 5000"},
         .excused_zone = 1},
        {.name = "rolling restart", .script = rolling_restart()},
    };
}

struct result {
    int broken = 0;
    int excused = 0;
    double forwards_per_packet = 0;
    double idle_bytes = 0;    // control bytes per instance and second, before the change
    double change_bytes = 0;  // the same, during the change
};

// Sends one packet of each flow through the instances in turn, and records the targets that the
// packets of each flow reach.
class traffic {
public:
    traffic(testing::session& session, int flows)
        : session_{session},
          reached_targets_(static_cast<std::size_t>(flows)),
          arrivals_(static_cast<std::size_t>(flows)) {}

    void open() { send("open"); }

    void send(const std::string& kind) {
        const auto via = instance_names();
        for (std::size_t i = 0; i < reached_targets_.size(); ++i) {
            const auto flow = std::to_string(i + 1);
            const std::string service = i % 5 == 0 ? "plans" : "board";
            session_.run(kind + " flow=" + flow + " service=" + service +
                         " via=" + via[(i + shift_) % via.size()]);
        }
        ++shift_;
        record_arrivals();
    }

    // Parses the transcript for the targets that each flow's packets reached.
    void record_arrivals() {
        for (const auto& line : session_.take_transcript()) {
            const auto arrow = line.find("-> ");
            const auto colon = line.find(": ", arrow);
            const auto flow = line.find(" flow=", colon);
            const bool is_to_target =
                line.find("-> board-") == arrow || line.find("-> plans-") == arrow;
            const bool is_caller_packet =
                line.find(": open ") == colon || line.find(": data ") == colon;
            if (!is_to_target || !is_caller_packet || flow == std::string::npos) {
                continue;
            }
            const auto index = static_cast<std::size_t>(std::stoi(line.substr(flow + 6))) - 1;
            reached_targets_[index].insert(line.substr(arrow + 3, colon - arrow - 3));
            ++arrivals_[index];
        }
    }

    const std::vector<std::set<std::string>>& reached_targets() const { return reached_targets_; }
    const std::vector<int>& arrivals() const { return arrivals_; }

private:
    testing::session& session_;
    std::vector<std::set<std::string>> reached_targets_;
    std::vector<int> arrivals_;
    std::size_t shift_ = 0;
};

result measure(const change& planned_change, routing_strategy strategy, int flows) {
    testing::session session;
    session.set_strategy(strategy);
    set_up(session);
    traffic generator{session, flows};
    generator.open();
    result measured;
    constexpr int idle_seconds = 10;
    const double instances = zones * instances_per_zone;
    const auto before_idle = session.control_bytes();
    session.run("advance 10000");
    measured.idle_bytes =
        static_cast<double>(session.control_bytes() - before_idle) / idle_seconds / instances;
    const auto before_change = session.control_bytes();
    const auto change_begins = session.now();
    for (const auto& line : planned_change.script) {
        if (line == traffic_line) {
            generator.send("data");
        } else {
            session.run(line);
        }
    }
    const auto seconds = static_cast<double>((session.now() - change_begins).count()) / 1000;
    measured.change_bytes =
        static_cast<double>(session.control_bytes() - before_change) / seconds / instances;
    session.take_transcript();
    const auto arrivals_before = generator.arrivals();
    const auto forwards_before = session.forwards();
    // A caller without a response retransmits half a second later. Two of the four copies may be
    // sent to dead instances.
    constexpr int copies = 4;
    for (int i = 0; i < copies; ++i) {
        generator.send("data");
        session.run("advance 500");
        generator.record_arrivals();
    }
    measured.forwards_per_packet = static_cast<double>(session.forwards() - forwards_before) /
                                   (static_cast<double>(copies) * flows);
    for (std::size_t i = 0; i < generator.reached_targets().size(); ++i) {
        const auto& reached_targets = generator.reached_targets()[i];
        const bool is_intact =
            reached_targets.size() == 1 && generator.arrivals()[i] > arrivals_before[i];
        if (is_intact) {
            continue;
        }
        bool is_excused = false;
        for (const auto& target : reached_targets) {
            const auto number = std::stoi(target.substr(target.find('-') + 1));
            is_excused = is_excused || number % zones == planned_change.excused_zone;
        }
        ++(is_excused ? measured.excused : measured.broken);
    }
    return measured;
}

}  // namespace
}  // namespace bramleytrack

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    int flows = 1000;
    settings::command_line{"[--flows N]"}
        .option("flows", flows, "flows that are open during each change")
        .parse(argc, argv);
    std::printf("%-22s %8s %8s %10s | %8s %8s %9s %12s %12s\n", "change", "baseline", "excused",
                "forwards", "broken", "excused", "forwards", "idle B/s", "change B/s");
    for (const auto& each : all_changes()) {
        const auto plain = measure(each, routing_strategy::plain_hashing, flows);
        const auto owners = measure(each, routing_strategy::owners, flows);
        std::printf("%-22s %8d %8d %10.2f | %8d %8d %9.2f %12.0f %12.0f\n", each.name, plain.broken,
                    plain.excused, plain.forwards_per_packet, owners.broken, owners.excused,
                    owners.forwards_per_packet, owners.idle_bytes, owners.change_bytes);
    }
    return 0;
}
