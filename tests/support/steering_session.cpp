#include "support/steering_session.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace bramleytrack::testing {
namespace {

constexpr clock::time_point epoch = to_time_point(1'000'000);
constexpr std::uint32_t route_address = 0xC6120001;  // 198.18.0.1
constexpr int first_caller_port = 1000;
constexpr std::uint32_t caller_address = 0x64400007;  // 100.64.0.7
constexpr std::uint32_t opening_sequence = 1000;
constexpr std::uint32_t answer_size = 500;

// The value of "key=value" among the arguments.
int number_of(const std::vector<std::string>& arguments, const std::string& key, int fallback) {
    for (const auto& each : arguments) {
        if (each.starts_with(key + "=")) {
            return std::stoi(each.substr(key.size() + 1));
        }
    }
    return fallback;
}

}  // namespace

const std::map<std::string, steering_session::command> steering_session::commands{
    {"route", &steering_session::add_route},
    {"drop", &steering_session::drop_route},
    {"target", &steering_session::add_target},
    {"drain", &steering_session::drain_target},
    {"gone", &steering_session::remove_target},
    {"mute", &steering_session::mute_target},
    {"zone_out", &steering_session::take_zone_out},
    {"zone_back", &steering_session::take_zone_back},
    {"open", &steering_session::open},
    {"data", &steering_session::send_data},
    {"again", &steering_session::send_again},
    {"ack", &steering_session::acknowledge},
    {"close", &steering_session::close},
    {"stranger", &steering_session::send_as_stranger},
    {"advance", &steering_session::advance}};

steering_session::steering_session()
    : now_{epoch},
      digests_{known_, "self", 1},
      cold_{"self"},
      subject_{{.zone = "north", .regions = {{"north", "home"}, {"south", "home"}}},
               known_,
               cold_,
               digests_,
               *this,
               *this} {
    cold_.on_registered(epoch);
}

void steering_session::run(const std::string& line) {
    std::istringstream stream{line};
    std::string name;
    stream >> name;
    words arguments;
    for (std::string each; stream >> each;) {
        arguments.push_back(each);
    }
    const auto found = commands.find(name);
    if (found == commands.end()) {
        throw std::invalid_argument{"unknown command: " + line};
    }
    (this->*found->second)(arguments);
}

void steering_session::add_route(const words& arguments) {
    discovery::route route;
    route.name = arguments[0];
    route.address = {.address = route_address,
                     .port = static_cast<std::uint16_t>(std::stoi(arguments[1]))};
    route.latency_objective = clock::duration{100};
    route.is_idempotent = true;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        const auto service = arguments[i].substr(0, equals);
        route.splits.push_back(
            {.service = service,
             .weight = static_cast<std::uint32_t>(std::stoi(arguments[i].substr(equals + 1)))});
        if (std::ranges::find(catalogue_.services, service, &discovery::service::name) ==
            catalogue_.services.end()) {
            catalogue_.services.push_back({.name = service, .cold_flows_per_second = 5});
        }
    }
    std::erase_if(catalogue_.routes, [&](const auto& each) { return each.name == route.name; });
    catalogue_.routes.push_back(route);
    publish_catalogue();
}

void steering_session::drop_route(const words& arguments) {
    std::erase_if(catalogue_.routes, [&](const auto& each) { return each.name == arguments[0]; });
    publish_catalogue();
}

void steering_session::publish_catalogue() {
    ++catalogue_.version;
    apply(catalogue_);
}

void steering_session::apply(const discovery::record& subject) {
    known_.apply(subject, ++revision_, false, now_);
}

void steering_session::add_target(const words& arguments) {
    auto& entry = entries_[arguments[0]];
    entry.id = arguments[0];
    entry.service = arguments[1];
    entry.zone = arguments[2];
    entry.slots = 2;
    entry.cold_for = clock::duration{number_of(arguments, "cold", 0)};
    apply(entry);
}

void steering_session::drain_target(const words& arguments) {
    auto& entry = entries_.at(arguments[0]);
    entry.state = discovery::target_state::draining;
    apply(entry);
}

void steering_session::remove_target(const words& arguments) {
    apply(discovery::target_removed{arguments[0]});
}

void steering_session::mute_target(const words& arguments) {
    mute_.push_back(arguments[0]);
}

void steering_session::take_zone_out(const words& arguments) {
    apply(discovery::zone_out{.zone = arguments[0]});
}

void steering_session::take_zone_back(const words& arguments) {
    apply(discovery::zone_out{.zone = arguments[0], .is_out = false});
}

steering::segment steering_session::packet_of(const std::string& flow) const {
    const auto& known = flows_.at(flow);
    auto packet = known.last;
    packet.is_opening = false;
    packet.copy = 0;
    packet.length = 0;
    packet.token = known.token;
    packet.sequence = known.next_sequence;
    packet.acknowledged = known.acknowledged;
    return packet;
}

void steering_session::open(const words& arguments) {
    auto& flow = flows_[arguments[0]];
    const auto route = std::ranges::find(catalogue_.routes, arguments[1], &discovery::route::name);
    steering::segment packet;
    packet.flow.caller = {
        .address = caller_address,
        .port = static_cast<std::uint16_t>(first_caller_port + std::stoi(arguments[0]))};
    packet.flow.route = route == catalogue_.routes.end()
                            ? discovery::endpoint{.address = route_address, .port = 1}
                            : route->address;
    packet.sequence = opening_sequence;
    packet.copy = static_cast<std::uint32_t>(number_of(arguments, "copy", 0));
    packet.is_opening = true;
    flow.last = packet;
    flow.next_sequence = opening_sequence;
    deliver(arguments[0], packet);
}

void steering_session::send_data(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.length = static_cast<std::uint16_t>(number_of(arguments, "bytes", 100));
    auto& flow = flows_.at(arguments[0]);
    flow.next_sequence += packet.length;
    flow.last = packet;
    deliver(arguments[0], packet);
}

void steering_session::send_again(const words& arguments) {
    deliver(arguments[0], flows_.at(arguments[0]).last);
}

void steering_session::acknowledge(const words& arguments) {
    deliver(arguments[0], packet_of(arguments[0]));
}

void steering_session::close(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.is_closing = true;
    deliver(arguments[0], packet);
}

void steering_session::send_as_stranger(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.token = static_cast<discovery::routing_token>(std::stoul(arguments[1]));
    deliver(arguments[0], packet);
}

void steering_session::advance(const words& arguments) {
    now_ += clock::duration{std::stoi(arguments[0])};
    subject_.expire(now_);
    known_.expire(now_);
}

void steering_session::deliver(const std::string& flow, const steering::segment& content) {
    const auto made = subject_.on_segment(content, {.is_complete = true, .confirmed = now_}, now_);
    auto line = std::to_string((now_ - epoch).count()) + " flow " + flow + ": ";
    if (const auto* forwarded = std::get_if<steering::forward>(&made)) {
        const auto& id = forwarded->to->entry.id;
        line += "to " + id;
        const bool is_mute = std::ranges::find(mute_, id) != mute_.end();
        auto& known = flows_.at(flow);
        if (!is_mute && (content.is_opening || content.length > 0)) {
            known.token = forwarded->to->token;
            known.acknowledged += answer_size;
            line += ", which answers";
        }
    } else if (const auto* refused = std::get_if<steering::refuse>(&made)) {
        line += "reset, " + std::string{name_of(refused->reason)};
    } else {
        line += "dropped, " + std::string{name_of(std::get<steering::drop>(made).reason)};
    }
    transcript_.push_back(line);
    for (const auto& each : subject_.take_resets()) {
        transcript_.push_back("  flow " +
                              std::to_string(each.flow.caller.port - first_caller_port) +
                              ": reset, sequence " + std::to_string(each.sequence));
    }
}

bool steering_session::admits(log_kind /*kind*/, clock::time_point /*now*/) {
    return false;
}

void steering_session::write(const log_event& event) {
    transcript_.push_back(event.line());
}

void steering_session::on_opening_answered(const discovery::target& by, clock::duration took) {
    transcript_.push_back("  observed: " + by.entry.id + " took a flow after " +
                          std::to_string(took.count()) + " ms");
}

void steering_session::on_answer(const discovery::target& by, clock::duration took) {
    transcript_.push_back("  observed: " + by.entry.id + " answered after " +
                          std::to_string(took.count()) + " ms");
}

void steering_session::on_decision(std::string_view /*service*/,
                                   const steering::decision& /*made*/) {}

}  // namespace bramleytrack::testing
