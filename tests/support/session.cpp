#include "support/session.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "base/result_code.h"

namespace bramleytrack::testing {
namespace {

using wire::packet_kind;

std::string_view name_of_kind(packet_kind kind) {
    static constexpr std::array<std::string_view, 16> names{
        "?",       "open",    "open_accepted", "data",        "request", "answer",
        "cancel",  "close",   "push",          "acknowledge", "reset",   "shed",
        "refused", "unknown", "report_wanted", "report"};
    const auto index = static_cast<std::size_t>(kind);
    return index < names.size() ? names[index] : names.front();
}

std::string describe(const wire::packet& packet) {
    std::string line{name_of_kind(packet.kind)};
    line += " flow=" + std::to_string(packet.flow);
    if (packet.request != 0) {
        line += " request=" + std::to_string(packet.request);
    }
    if (packet.sequence != 0) {
        line += " sequence=" + std::to_string(packet.sequence);
    }
    if (packet.code != 0) {
        line += " code=" + std::string{name_of(static_cast<result_code>(packet.code))};
    }
    if (packet.come_back_ms != 0) {
        line += " come_back_ms=" + std::to_string(packet.come_back_ms);
    }
    return line;
}

std::string describe(const wire::peer_message& message) {
    if (message.__isset.forwarded) {
        const auto& content = message.forwarded;
        const bool is_home = content.role == wire::forward_role::to_home;
        return std::string{is_home ? "forward to home: " : "forward to owner: "} +
               describe(content.content) + (is_home ? "" : " target=" + content.target);
    }
    if (message.__isset.declined) {
        return "declined: flow=" + std::to_string(message.declined.content.flow) +
               " target=" + message.declined.target;
    }
    if (message.__isset.locations) {
        std::size_t keys = 0;
        for (const auto& group : message.locations.groups) {
            keys += group.keys.size();
        }
        return "locations: " + std::to_string(keys);
    }
    if (message.__isset.locations_acknowledged) {
        return "locations acknowledged";
    }
    if (message.__isset.wanted) {
        return "ownership wanted: " + message.wanted.target;
    }
    if (message.__isset.handed_over) {
        return "hand-over: target=" + message.handed_over.target +
               " flows=" + std::to_string(message.handed_over.flows.size()) +
               " requests=" + std::to_string(message.handed_over.requests.size());
    }
    if (message.__isset.acknowledged) {
        return "hand-over acknowledged: " + message.acknowledged.target;
    }
    if (message.__isset.query) {
        return "flow query: " + describe(message.query.content.content) +
               " target=" + message.query.content.target +
               (message.query.ask_target ? " ask_target" : "");
    }
    if (message.__isset.query_answer) {
        return "flow query answer: flow=" +
               std::to_string(message.query_answer.content.content.flow) +
               (message.query_answer.is_known
                    ? " known target=" + message.query_answer.target
                    : " not known target=" + message.query_answer.content.target) +
               (message.query_answer.is_certain ? " certain" : "");
    }
    if (message.__isset.from_target) {
        return "passed on: " + describe(message.from_target.content) +
               " target=" + message.from_target.target;
    }
    if (message.__isset.configuration_request) {
        return "configuration wanted";
    }
    if (message.__isset.configuration) {
        const auto& part = message.configuration;
        return "configuration: version=" + std::to_string(part.version) +
               " offset=" + std::to_string(part.offset) + " of=" + std::to_string(part.size);
    }
    return "other";
}

std::string option_or(const std::map<std::string, std::string>& named, const std::string& key,
                      const std::string& fallback) {
    const auto found = named.find(key);
    return found == named.end() ? fallback : found->second;
}

std::int64_t number(const std::string& text) {
    return std::stoll(text);
}

}  // namespace

const std::vector<session::command>& session::commands() {
    static const std::vector<command> all{
        {"zone", &session::add_zone},
        {"service", &session::add_service},
        {"target", &session::add_target},
        {"instance", &session::add_instance},
        {"set", &session::set_state},
        {"remove", &session::remove_target},
        {"apply", &session::apply},
        {"advance", &session::advance},
        {"open", &session::send_packet},
        {"data", &session::send_packet},
        {"request", &session::send_packet},
        {"cancel", &session::send_packet},
        {"close", &session::send_packet},
        {"answer", &session::end_request},
        {"shed", &session::end_request},
        {"push", &session::push},
        {"kill", &session::set_fault},
        {"pause", &session::set_fault},
        {"resume", &session::set_fault},
        {"leave", &session::set_fault},
        {"restart", &session::set_fault},
        {"cold", &session::set_fault},
        {"cut", &session::cut},
        {"mend", &session::cut},
    };
    return all;
}

void session::run(std::string_view line) {
    std::vector<std::string> words;
    options named;
    std::istringstream stream{std::string{line}};
    for (std::string word; stream >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            words.push_back(word);
        } else {
            named[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    const auto& all = commands();
    const auto found =
        words.empty() ? all.end() : std::ranges::find(all, words.front(), &command::name);
    if (found == all.end()) {
        throw std::invalid_argument{"not a command: " + std::string{line}};
    }
    (this->*found->handle)(words, named);
    deliver_pending();
}

void session::add_zone(const std::vector<std::string>& words, const options& /*named*/) {
    zones_[words.at(1)] = "in";
}

void session::add_service(const std::vector<std::string>& words, const options& named) {
    services_[words.at(1)] = {words.at(2), option_or(named, "depends_on", "")};
}

void session::add_target(const std::vector<std::string>& words, const options& named) {
    target_definitions_[words.at(1)] = {
        .zone = words.at(2), .service = words.at(3), .limits = named, .state = "active"};
}

void session::add_instance(const std::vector<std::string>& words, const options& /*named*/) {
    const auto& name = words.at(1);
    auto& added = cores_[name];
    added.zone = words.at(2);
    added.is_dead = false;
    added.is_paused = false;
    added.core = std::make_unique<instance>(identity{.name = name,
                                                     .zone = added.zone,
                                                     .peer_address = name,
                                                     .incarnation = to_milliseconds(now_),
                                                     .started = now_,
                                                     .strategy = strategy_});
    std::vector<membership::listed_instance> listed;
    for (const auto& [other, core] : cores_) {
        listed.push_back({.name = other, .zone = core.zone, .address = other, .is_leaving = false});
    }
    for (auto& [other, core] : cores_) {
        core.core->on_instance_list(listed);
    }
    if (version_ > 0) {
        added.core->on_configuration(configuration_text(), version_, now_);
    }
}

// set zone|target|instance NAME STATE
void session::set_state(const std::vector<std::string>& words, const options& /*named*/) {
    if (words.at(1) == "zone") {
        zones_.at(words.at(2)) = words.at(3);
    } else if (words.at(1) == "target") {
        target_definitions_.at(words.at(2)).state = words.at(3);
    } else {
        configured_instance_states_[words.at(2)] = words.at(3);
    }
}

void session::remove_target(const std::vector<std::string>& words, const options& /*named*/) {
    target_definitions_.erase(words.at(1));
}

std::string session::configuration_text() {
    using json = nlohmann::ordered_json;
    json root;
    root["zones"] = json::array();
    for (const auto& [name, state] : zones_) {
        root["zones"].push_back({{"name", name}, {"state", state}});
    }
    root["services"] = json::array();
    for (const auto& [name, each] : services_) {
        json entry{{"name", name}, {"address", each.first}};
        entry["depends_on"] = json::array();
        if (!each.second.empty()) {
            entry["depends_on"].push_back(each.second);
        }
        root["services"].push_back(entry);
    }
    root["targets"] = json::array();
    for (const auto& [name, each] : target_definitions_) {
        json entry{{"name", name},
                   {"zone", each.zone},
                   {"service", each.service},
                   {"address", addresses_.address_of(name)},
                   {"state", each.state}};
        for (const auto& [key, value] : each.limits) {
            if (key == "address") {
                entry[key] = addresses_.address_of(value);  // the address of another target
                continue;
            }
            entry[key] = key == "weight" ? json(std::stod(value)) : json(number(value));
        }
        root["targets"].push_back(entry);
    }
    root["instances"] = json::array();
    for (const auto& [name, state] : configured_instance_states_) {
        root["instances"].push_back({{"name", name}, {"state", state}});
    }
    return root.dump();
}

// apply [to=a,b]: delivers a new version of the configuration to these instances (all by default).
void session::apply(const std::vector<std::string>& /*words*/, const options& named) {
    ++version_;
    const auto receivers = "," + option_or(named, "to", "") + ",";
    for (auto& [name, each] : cores_) {
        const bool is_receiver =
            receivers == ",," || receivers.find("," + name + ",") != std::string::npos;
        if (is_receiver && is_running(name)) {
            each.core->on_configuration(configuration_text(), version_, now_);
        }
    }
}

void session::advance(const std::vector<std::string>& words, const options& /*named*/) {
    const auto end = now_ + clock::duration{number(words.at(1))};
    while (now_ < end) {
        now_ += std::min(tick_interval, end - now_);
        for (auto& [name, each] : targets_) {
            each.set_time(now_);
        }
        for (auto& [name, each] : cores_) {
            if (is_running(name)) {
                each.core->on_tick(now_);
                deliver_pending();
            }
        }
    }
}

// open|data|request|cancel|close flow=N via=INSTANCE [service=NAME] [member=M] [request=N]
// [once=1] [deadline=MS from now]
void session::send_packet(const std::vector<std::string>& words, const options& named) {
    static const std::map<std::string, packet_kind> kinds{{"open", packet_kind::open},
                                                          {"data", packet_kind::data},
                                                          {"request", packet_kind::request},
                                                          {"cancel", packet_kind::cancel},
                                                          {"close", packet_kind::close}};
    wire::packet packet;
    packet.kind = kinds.at(words.front());
    const auto service = option_or(named, "service", services_.begin()->first);
    packet.service_address = services_.at(service).first;
    packet.caller = "caller";
    packet.flow = number(named.at("flow"));
    packet.member = option_or(named, "member", "m");
    packet.request = number(option_or(named, "request", "0"));
    packet.may_repeat =
        named.contains("once") ? wire::repetition::at_most_once : wire::repetition::repeatable;
    packet.deadline = to_milliseconds(now_) + number(option_or(named, "deadline", "3000"));
    const auto& via = named.at("via");
    if (is_running(via)) {
        cores_.at(via).core->on_caller_packet(packet, now_);
    }
}

void session::end_request(const std::vector<std::string>& words, const options& named) {
    const auto kind = words.front() == "answer" ? packet_kind::answer : packet_kind::shed;
    for (auto& [name, each] : targets_) {
        const auto response = each.end(number(named.at("flow")), number(named.at("request")), kind);
        if (response) {
            reply(name, *response);
            return;
        }
    }
    append_line("nothing is running");
}

void session::push(const std::vector<std::string>& /*words*/, const options& named) {
    for (auto& [name, each] : targets_) {
        if (const auto response = each.push(number(named.at("flow")))) {
            reply(name, *response);
            return;
        }
    }
}

void session::set_fault(const std::vector<std::string>& words, const options& named) {
    const auto& verb = words.front();
    const auto& name = words.at(1);
    if (verb == "cold") {
        targets_[name].set_cold(words.size() < 3 || words[2] != "over");
        return;
    }
    auto& subject = cores_.at(name);
    if (verb == "kill") {
        subject.is_dead = true;
    } else if (verb == "pause") {
        subject.is_paused = true;
    } else if (verb == "leave") {
        subject.core->leave();
    } else if (verb == "restart") {
        add_instance({"instance", name, subject.zone}, named);
    } else {
        subject.is_paused = false;
        for (auto& each : std::exchange(held_deliveries_[name], {})) {
            in_flight_.push_back(std::move(each));
        }
    }
}

// cut A B [one_way=1]: drops messages from A to B, and from B to A unless one_way is given. mend A
// B restores both.
void session::cut(const std::vector<std::string>& words, const options& named) {
    const std::pair forward_link{words.at(1), words.at(2)};
    const std::pair reverse_link{words.at(2), words.at(1)};
    if (words.front() == "mend") {
        cut_links_.erase(forward_link);
        cut_links_.erase(reverse_link);
        return;
    }
    cut_links_.insert(forward_link);
    if (!named.contains("one_way")) {
        cut_links_.insert(reverse_link);
    }
}

bool session::is_running(const std::string& name) const {
    const auto found = cores_.find(name);
    return found != cores_.end() && !found->second.is_dead && !found->second.is_paused;
}

void session::deliver_pending() {
    bool is_busy = true;
    while (is_busy) {
        is_busy = false;
        for (auto& [name, each] : cores_) {
            if (!is_running(name)) {
                continue;
            }
            for (const auto& action : each.core->take_actions()) {
                is_busy = true;
                std::visit([this, sender = name](const auto& effect) { perform(sender, effect); },
                           action);
            }
        }
        while (!in_flight_.empty()) {
            is_busy = true;
            auto next = std::move(in_flight_.front());
            in_flight_.pop_front();
            const auto found = cores_.find(next.receiver);
            if (found == cores_.end() || found->second.is_dead ||
                cut_links_.contains({next.sender, next.receiver})) {
                continue;
            }
            if (found->second.is_paused) {
                held_deliveries_[next.receiver].push_back(std::move(next));
                continue;
            }
            found->second.core->on_peer_message(next.content, now_);
        }
    }
}

void session::perform(const std::string& sender, const send_to_caller& action) {
    caller_packets_.push_back(action.content);
    append_line(sender + " -> caller: " + describe(action.content));
}

void session::perform(const std::string& sender, const send_to_target& action) {
    const auto& target = addresses_.name_of(action.address);
    if (action.content.kind != packet_kind::report_wanted) {
        append_line(sender + " -> " + target + ": " + describe(action.content));
    }
    if (const auto response = targets_[target].receive(sender, action.content)) {
        reply(target, *response);
    }
}

void session::reply(const std::string& target, const fake_target::reply& response) {
    if (response.content.kind != packet_kind::report) {
        append_line(target + " -> " + response.instance + ": " + describe(response.content));
    }
    if (is_running(response.instance)) {
        cores_.at(response.instance)
            .core->on_target_packet(addresses_.address_of(target), response.content, now_);
    }
}

void session::perform(const std::string& sender, const send_to_peer& action) {
    ++peer_messages_;
    if (action.content.__isset.forwarded) {
        ++forwards_;
    } else {
        control_bytes_ += static_cast<std::int64_t>(encoder_.encode(action.content, {}).size());
    }
    if (!action.content.__isset.beat) {
        append_line(sender + " -> " + action.name + ": " + describe(action.content));
    }
    in_flight_.push_back({sender, action.name, action.content});
}

void session::perform(const std::string& sender, const log_event& action) {
    append_line(sender + " log: " + action.line());
}

// Measurements are not part of the transcript.
void session::perform(const std::string& /*sender*/, const request_ended& /*action*/) {}

void session::append_line(const std::string& line) {
    transcript_.push_back(std::to_string(to_milliseconds(now_) - 1'000'000) + " " + line);
}

}  // namespace bramleytrack::testing
