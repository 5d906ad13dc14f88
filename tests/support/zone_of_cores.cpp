#include "support/zone_of_cores.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "routing/candidates.h"

namespace bramleytrack::testing {

zone_of_cores::zone_of_cores(std::vector<std::string> targets)
    : target_names_{std::move(targets)} {}

std::string zone_of_cores::configuration_text() {
    using json = nlohmann::json;
    json root;
    root["zones"] = {{{"name", "north"}, {"state", "in"}}};
    root["services"] = {
        {{"name", "board"}, {"address", "10.0.0.1:443"}, {"depends_on", json::array()}}};
    root["targets"] = json::array();
    for (const auto& name : target_names_) {
        root["targets"].push_back({{"name", name},
                                   {"zone", "north"},
                                   {"service", "board"},
                                   {"address", addresses_.address_of(name)},
                                   {"slots", 2},
                                   {"connections", 1'000'000},
                                   {"state", "active"}});
    }
    root["instances"] = json::array();
    for (const auto& [name, is_retired] : retired_) {
        root["instances"].push_back({{"name", name}, {"state", is_retired ? "retired" : "active"}});
    }
    return root.dump();
}

void zone_of_cores::start(const std::string& name, std::int64_t clock_offset) {
    auto& added = cores_[name];
    added = {};
    added.core =
        std::make_unique<instance>(identity{.name = name,
                                            .zone = "north",
                                            .peer_address = name,
                                            .incarnation = to_milliseconds(now_) + clock_offset,
                                            .started = now_});
    added.core->on_configuration(configuration_text(), version_, now_);
    std::vector<membership::listed_instance> listed;
    for (const auto& [other, core] : cores_) {
        listed.push_back({.name = other, .zone = "north", .address = other, .is_leaving = false});
    }
    for (auto& [other, each] : cores_) {
        each.core->on_instance_list(listed);
    }
    collect(name);
}

void zone_of_cores::kill(const std::string& name) {
    cores_.at(name).is_dead = true;
    std::erase_if(in_flight_, [&](const delivery& each) { return each.receiver == name; });
}

void zone_of_cores::resume(const std::string& name) {
    auto& resumed = cores_.at(name);
    resumed.is_paused = false;
    std::ranges::move(std::exchange(resumed.held_messages, {}), std::back_inserter(in_flight_));
}

void zone_of_cores::retire(const std::string& name, bool is_retired) {
    retired_[name] = is_retired;
    apply();
}

void zone_of_cores::remove_target(const std::string& target) {
    std::erase(target_names_, target);
    apply();
}

void zone_of_cores::apply() {
    ++version_;
    for (auto& [name, each] : cores_) {
        if (is_running(name)) {
            each.core->on_configuration(configuration_text(), version_, now_);
            collect(name);
        }
    }
}

void zone_of_cores::deliver(std::size_t index) {
    auto next = std::move(in_flight_.at(index));
    drop(index);
    const auto found = cores_.find(next.receiver);
    if (found == cores_.end() || found->second.is_dead) {
        return;
    }
    if (found->second.is_paused) {
        found->second.held_messages.push_back(std::move(next));
        return;
    }
    found->second.core->on_peer_message(next.content, now_);
    collect(next.receiver);
}

void zone_of_cores::drop(std::size_t index) {
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
}

void zone_of_cores::deliver_all() {
    while (!in_flight_.empty()) {
        deliver(0);
    }
}

void zone_of_cores::tick(const std::string& name) {
    if (is_running(name)) {
        cores_.at(name).core->on_tick(now_);
        collect(name);
        if (cores_.at(name).core->may_stop()) {
            kill(name);
        }
    }
}

void zone_of_cores::advance(clock::duration time) {
    const auto end = now_ + time;
    while (now_ < end) {
        now_ += std::min(tick_interval, end - now_);
        for (const auto& [name, each] : cores_) {
            tick(name);
            deliver_all();
        }
    }
}

void zone_of_cores::collect(const std::string& name) {
    cores_.at(name).last_event = now_;
    for (const auto& requested : cores_.at(name).core->take_actions()) {
        execute(name, requested);
    }
}

void zone_of_cores::execute(const std::string& name, const action& requested) {
    if (const auto* to_peer = std::get_if<send_to_peer>(&requested)) {
        ++messages_sent;
        bytes_sent += static_cast<std::int64_t>(encoder_.encode(to_peer->content, {}).size());
        const delivery sent{name, to_peer->name, to_peer->content};
        if (!loss_filter_ || !loss_filter_(sent)) {
            in_flight_.push_back(sent);
        }
    } else if (const auto* to_caller = std::get_if<send_to_caller>(&requested)) {
        caller_packets_.push_back(to_caller->content);
    } else if (const auto* to_target = std::get_if<send_to_target>(&requested)) {
        const auto& target = addresses_.name_of(to_target->address);
        if (const auto response = targets_[target].receive(name, to_target->content)) {
            reply(target, *response);
        }
    }
}

void zone_of_cores::reply(const std::string& target, const fake_target::reply& response) {
    if (is_running(response.instance)) {
        cores_.at(response.instance)
            .core->on_target_packet(addresses_.address_of(target), response.content, now_);
        collect(response.instance);
    }
}

void zone_of_cores::send(wire::packet packet, const std::string& via) {
    packet.service_address = "10.0.0.1:443";
    packet.caller = "caller";
    packet.member = "m";
    packet.deadline = to_milliseconds(now_) + 8'000;
    if (is_running(via)) {
        cores_.at(via).core->on_caller_packet(packet, now_);
        collect(via);
    }
}

void zone_of_cores::open(std::int64_t flow, const std::string& via) {
    wire::packet packet;
    packet.kind = wire::packet_kind::open;
    packet.flow = flow;
    send(std::move(packet), via);
}

void zone_of_cores::request(std::int64_t flow, std::int64_t number, const std::string& via,
                            wire::repetition may_repeat) {
    wire::packet packet;
    packet.kind = wire::packet_kind::request;
    packet.flow = flow;
    packet.request = number;
    packet.may_repeat = may_repeat;
    send(std::move(packet), via);
}

void zone_of_cores::data(std::int64_t flow, const std::string& via) {
    wire::packet packet;
    packet.kind = wire::packet_kind::data;
    packet.flow = flow;
    send(std::move(packet), via);
}

void zone_of_cores::answer(std::int64_t flow_number, std::int64_t request) {
    for (auto& [name, each] : targets_) {
        if (const auto response = each.end(flow_number, request, wire::packet_kind::answer)) {
            reply(name, *response);
            return;
        }
    }
}

std::vector<std::string> zone_of_cores::owners(std::string_view target) const {
    std::vector<std::string> result;
    for (const auto& [name, each] : cores_) {
        const bool has_unhandled_pause = now_ - each.last_event > membership::pause_limit;
        if (is_running(name) && !has_unhandled_pause &&
            each.core->state().ownership.find(target) != nullptr &&
            each.core->state().peers.holds_lease(now_)) {
            result.push_back(name);
        }
    }
    return result;
}

std::string zone_of_cores::winner(const std::vector<std::string>& names, std::string_view target) {
    return std::string{routing::rendezvous_winner(names, target)};
}

bool zone_of_cores::is_running(const std::string& name) const {
    const auto found = cores_.find(name);
    return found != cores_.end() && !found->second.is_dead && !found->second.is_paused;
}

int zone_of_cores::max_runs() const {
    int result = 0;
    std::map<std::pair<std::int64_t, std::int64_t>, int> sums;
    for (const auto& [name, each] : targets_) {
        for (const auto& [id, runs] : each.runs()) {
            result = std::max(result, sums[id] += runs);
        }
    }
    return result;
}

int zone_of_cores::outcomes(std::int64_t flow, std::int64_t number, wire::packet_kind kind) const {
    return static_cast<int>(std::ranges::count_if(caller_packets_, [&](const wire::packet& each) {
        return each.flow == flow && each.request == number && each.kind == kind;
    }));
}

}  // namespace bramleytrack::testing
