// standin_fleet: writes the settings of a fleet with free loopback ports, and registers instances
// and sets faults at the platform stand-in. The processes are started by meta/bramleytrack.sh.
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/read_file.h"
#include "configuration/parse.h"
#include "net/http_client.h"
#include "net/udp_endpoint.h"
#include "port_source.h"
#include "settings/command_line.h"

namespace bramleytrack::standins {
namespace {

using json = nlohmann::ordered_json;

constexpr clock::duration http_timeout{2'000};

void write(const std::string& path, const std::string& text) {
    std::ofstream{path} << text << '\n';
}

int create(const std::string& text_path, const std::string& directory, int instances) {
    const auto text = read_file(text_path);
    const auto parsed = configuration::parse_configuration(text.value_or(""), 1);
    if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
        for (const auto& fault : *faults) {
            std::fprintf(stderr, "%s: %s\n", text_path.c_str(), to_string(fault).c_str());
        }
        return 1;
    }
    const auto& fleet = std::get<configuration::configuration>(parsed);
    port_source ports;
    auto root = json::parse(*text, nullptr, false, true);
    json targets = json::array();
    for (auto& target : root["targets"]) {
        target["address"] = ports.take();
        targets.push_back(target);
        targets.back()["admin_address"] = ports.take();
    }
    const auto platform = ports.take();
    const auto fabric = ports.take();
    json entries = json::array();
    std::string store_links;
    for (int i = 0; i < instances; ++i) {
        const auto& zone = fleet.zones[static_cast<std::size_t>(i) % fleet.zones.size()].name;
        const auto name = zone + "-" + std::to_string(1 + i / static_cast<int>(fleet.zones.size()));
        json entry{{"name", name},
                   {"zone", zone},
                   {"peer_address", ports.take()},
                   {"caller_address", ports.take()},
                   {"admin_address", ports.take()},
                   {"state", "live"}};
        json settings = entry;
        settings.erase("state");
        settings["target_address"] = ports.take();
        // Each instance reaches the store through its own link, so that scripts can cut it.
        settings["store_address"] = ports.take();
        settings["instance_list_url"] = "http://" + platform + "/v1/instances";
        settings["fleet_passphrase"] = "stand-in fleet";
        write(directory + "/" + name + ".json", settings.dump(2));
        store_links += name + "\t" + settings["store_address"].get<std::string>() + "\n";
        entries.push_back(entry);
    }
    write(directory + "/text.json", root.dump(2));
    write(directory + "/fleet.json", json{{"platform", platform},
                                          {"fabric", fabric},
                                          {"targets", targets},
                                          {"instances", entries}}
                                         .dump(2));
    std::string targets_table;
    for (const auto& target : targets) {
        targets_table += target["name"].get<std::string>() + "\t" +
                         target["address"].get<std::string>() + "\t" +
                         target["admin_address"].get<std::string>() + "\t" +
                         std::to_string(target.value("slots", 1)) + "\t" +
                         std::to_string(target.value("connections", 1)) + "\t" +
                         std::to_string(target.value("cold_connections", 1)) + "\n";
    }
    std::string instances_table;
    for (const auto& entry : entries) {
        instances_table += entry["name"].get<std::string>() + "\n";
    }
    std::ofstream{directory + "/store_links.tsv"} << store_links;
    std::ofstream{directory + "/targets.tsv"} << targets_table;
    std::ofstream{directory + "/instances.tsv"} << instances_table;
    std::ofstream{directory + "/addresses.tsv"} << platform << "\t" << fabric << "\n";
    return 0;
}

// Prints ports that are free on 127.0.0.1 for both UDP and TCP.
void print_ports(int count) {
    port_source ports;
    for (int i = 0; i < count; ++i) {
        const auto address = ports.take();
        std::printf("%s\n", address.substr(address.rfind(':') + 1).c_str());
    }
}

int put(const std::string& url, const std::string& body) {
    ev::default_loop loop;
    net::http_client client{loop};
    int status = 0;
    client.put(url, body, http_timeout, [&](const net::http_result& answer) {
        status = answer.status;
        loop.break_loop(ev::ALL);
    });
    loop.run();
    constexpr int http_ok = 200;
    return status == http_ok ? 0 : 1;
}

int register_instance(const std::string& directory, const std::string& name,
                      const std::string& state) {
    const auto fleet = json::parse(read_file(directory + "/fleet.json").value_or("{}"));
    const auto url =
        "http://" + fleet["platform"].get<std::string>() + "/v1/instances?name=" + name;
    for (auto entry : fleet["instances"]) {
        if (entry["name"] == name) {
            entry["state"] = state;
            return put(url, state == "gone" ? std::string{} : entry.dump());
        }
    }
    return 1;
}

int set_fault(const std::string& directory, const std::string& query) {
    const auto fleet = json::parse(read_file(directory + "/fleet.json").value_or("{}"));
    return put("http://" + fleet["platform"].get<std::string>() + "/fault?" + query, "");
}

}  // namespace
}  // namespace bramleytrack::standins

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    int instances = 9;
    const auto arguments =
        settings::command_line{
            "[--count N] create TEXT DIRECTORY | register DIRECTORY INSTANCE live|leaving|gone | "
            "fault DIRECTORY QUERY | ports"}
            .option("count", instances, "number of balancer instances")
            .parse(argc, argv);
    const std::string command = arguments.empty() ? "" : arguments.front();
    if (command == "ports") {
        standins::print_ports(instances);
        return 0;
    }
    if (command == "create" && arguments.size() == 3) {
        return standins::create(arguments[1], arguments[2], instances);
    }
    if (command == "register" && arguments.size() == 4) {
        return standins::register_instance(arguments[1], arguments[2], arguments[3]);
    }
    if (command == "fault" && arguments.size() == 3) {
        return standins::set_fault(arguments[1], arguments[2]);
    }
    std::fprintf(stderr, "standin_fleet: see --help\n");
    return 2;
}
