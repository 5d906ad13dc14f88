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

// Returns the value of the argument "key=value", or an empty string.
std::string text_argument(const std::vector<std::string>& arguments, const std::string& key) {
    for (const auto& each : arguments) {
        if (each.starts_with(key + "=")) {
            return each.substr(key.size() + 1);
        }
    }
    return {};
}

int number_argument(const std::vector<std::string>& arguments, const std::string& key,
                    int fallback) {
    const auto text = text_argument(arguments, key);
    return text.empty() ? fallback : std::stoi(text);
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
    {"again", &steering_session::resend},
    {"ack", &steering_session::acknowledge},
    {"close", &steering_session::close},
    {"stranger", &steering_session::send_with_token},
    {"advance", &steering_session::advance},
    {"instance", &steering_session::add_instance},
    {"catch_up", &steering_session::catch_up},
    {"digests", &steering_session::exchange_digests}};

steering_session::instance_node::instance_node(steering_session& owner, std::string own_name,
                                               const std::string& zone)
    : session{owner},
      name{std::move(own_name)},
      digests{directory, name, zone, 1},
      gate{name},
      core{{.zone = zone, .regions = {{"north", "home"}, {"south", "home"}}},
           directory,
           gate,
           digests,
           owner,
           owner},
      failure_detector{directory, name, zone, *this} {}

void steering_session::instance_node::probe(const discovery::target& target) {
    failure_detector.on_probe_result(target.token, !session.is_mute(target.entry.id), session.now_);
}

void steering_session::instance_node::request_indirect_probe(const discovery::peer_entry& peer,
                                                             discovery::routing_token token) {
    session.find_instance(peer.name).failure_detector.on_indirect_probe_request(name, token,
                                                                                session.now_);
}

void steering_session::instance_node::send_indirect_probe_result(const discovery::peer_entry& peer,
                                                                 discovery::routing_token token,
                                                                 bool is_reachable) {
    session.find_instance(peer.name).failure_detector.on_indirect_probe_result(
        name, token, is_reachable, session.now_);
}

void steering_session::instance_node::on_dead(const discovery::target& target,
                                              clock::time_point probed_at,
                                              std::span<const std::string> /*confirmed_by*/,
                                              clock::time_point now) {
    session.transcript_.push_back("  " + name + ": " + target.entry.id + " can't be reached");
    core.on_target_dead(target, probed_at, now);
    session.print_resets(*this);
}

void steering_session::instance_node::on_reported_dead(const discovery::target& target,
                                                       clock::time_point until) {
    core.on_target_reported_dead(target, until);
}

void steering_session::instance_node::on_found_alive(const discovery::target& target) {
    core.on_target_reached(target);
}

steering_session::steering_session() : now_{epoch} {
    instances_.push_back(std::make_unique<instance_node>(*this, "self", "north"));
    instances_.front()->gate.on_registered(epoch);
}

void steering_session::run(const std::string& line) {
    std::istringstream stream{line};
    std::string name;
    stream >> name;
    argument_list arguments;
    for (std::string each; stream >> each;) {
        arguments.push_back(each);
    }
    const auto found = commands.find(name);
    if (found == commands.end()) {
        throw std::invalid_argument{"unknown command: " + line};
    }
    (this->*found->second)(arguments);
}

void steering_session::add_route(const argument_list& arguments) {
    discovery::route route;
    route.name = arguments[0];
    route.address = {.address = route_address,
                     .port = static_cast<std::uint16_t>(std::stoi(arguments[1]))};
    route.latency_objective = clock::duration{100};
    route.is_idempotent = true;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        const auto service = arguments[i].substr(0, equals);
        if (service == "to") {
            continue;
        }
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
    publish_catalogue(arguments);
}

void steering_session::drop_route(const argument_list& arguments) {
    std::erase_if(catalogue_.routes, [&](const auto& each) { return each.name == arguments[0]; });
    publish_catalogue(arguments);
}

void steering_session::publish_catalogue(const argument_list& arguments) {
    ++catalogue_.version;
    publish(catalogue_, arguments);
}

void steering_session::publish(const discovery::record& record, const argument_list& arguments) {
    published_.push_back({.content = record, .revision = ++revision_});
    const auto to = "," + text_argument(arguments, "to") + ",";
    for (auto& each : instances_) {
        if (to == ",," || to.find("," + each->name + ",") != std::string::npos) {
            apply_to(*each, published_.back());
        } else {
            each->missed_records.push_back(published_.size() - 1);
        }
    }
}

void steering_session::apply_to(instance_node& to, const publication& record) {
    to.directory.apply(record.content, record.revision, false, now_);
}

steering_session::instance_node& steering_session::find_instance(const std::string& name) {
    const auto found =
        std::ranges::find_if(instances_, [&name](const auto& each) { return each->name == name; });
    if (found == instances_.end()) {
        throw std::invalid_argument{"no instance is called " + name};
    }
    return **found;
}

void steering_session::add_instance(const argument_list& arguments) {
    instances_.push_back(std::make_unique<instance_node>(*this, arguments[0], arguments[1]));
    auto& added = *instances_.back();
    added.gate.on_registered(now_);
    for (const auto& each : published_) {
        apply_to(added, each);
    }
    if (instances_.size() == 2) {
        publish(
            discovery::peer_entry{
                .name = "self", .zone = "north", .address = "", .pull_address = ""},
            {});
    }
    publish(
        discovery::peer_entry{
            .name = added.name, .zone = arguments[1], .address = "", .pull_address = ""},
        {});
}

void steering_session::catch_up(const argument_list& arguments) {
    auto& instance = find_instance(arguments[0]);
    for (const auto each : std::exchange(instance.missed_records, {})) {
        apply_to(instance, published_[each]);
    }
}

void steering_session::exchange_digests(const argument_list& /*arguments*/) {
    for (const auto& from : instances_) {
        wire::digest digest;
        digest.loads = from->digests.load_reports(from->core.flows());
        const auto verdicts = from->failure_detector.take_verdicts(now_);
        for (const auto& to : instances_) {
            to->digests.on_digest(from->name, digest, now_);
            for (const auto& each : verdicts) {
                const bool has_flows = to->core.flows().health(each.token).flows > 0;
                to->failure_detector.on_reported_dead(from->name, each, has_flows, now_);
            }
        }
    }
}

void steering_session::add_target(const argument_list& arguments) {
    auto& entry = entries_[arguments[0]];
    entry.id = arguments[0];
    entry.service = arguments[1];
    entry.zone = arguments[2];
    entry.slots = 2;
    entry.cold_remaining = clock::duration{number_argument(arguments, "cold", 0)};
    publish(entry, arguments);
}

void steering_session::drain_target(const argument_list& arguments) {
    auto& entry = entries_.at(arguments[0]);
    entry.state = discovery::target_state::draining;
    publish(entry, arguments);
}

void steering_session::remove_target(const argument_list& arguments) {
    publish(discovery::target_removed{arguments[0]}, arguments);
}

void steering_session::mute_target(const argument_list& arguments) {
    mute_targets_.push_back(arguments[0]);
}

void steering_session::take_zone_out(const argument_list& arguments) {
    publish(discovery::zone_out{.zone = arguments[0]}, arguments);
}

void steering_session::take_zone_back(const argument_list& arguments) {
    publish(discovery::zone_out{.zone = arguments[0], .is_out = false}, arguments);
}

steering::segment steering_session::next_packet_of(const std::string& flow) const {
    const auto& caller = flows_.at(flow);
    auto packet = caller.last;
    packet.is_opening = false;
    packet.copy = 0;
    packet.length = 0;
    packet.token = caller.token;
    packet.sequence = caller.next_sequence;
    packet.acknowledged = caller.acknowledged;
    return packet;
}

void steering_session::open(const argument_list& arguments) {
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
    packet.copy = static_cast<std::uint32_t>(number_argument(arguments, "copy", 0));
    packet.is_opening = true;
    flow.last = packet;
    flow.next_sequence = opening_sequence;
    deliver(arguments[0], packet, arguments);
}

void steering_session::send_data(const argument_list& arguments) {
    auto packet = next_packet_of(arguments[0]);
    packet.length = static_cast<std::uint16_t>(number_argument(arguments, "bytes", 100));
    auto& flow = flows_.at(arguments[0]);
    flow.next_sequence += packet.length;
    flow.last = packet;
    deliver(arguments[0], packet, arguments);
}

void steering_session::resend(const argument_list& arguments) {
    deliver(arguments[0], flows_.at(arguments[0]).last, arguments);
}

void steering_session::acknowledge(const argument_list& arguments) {
    deliver(arguments[0], next_packet_of(arguments[0]), arguments);
}

void steering_session::close(const argument_list& arguments) {
    auto packet = next_packet_of(arguments[0]);
    packet.is_closing = true;
    deliver(arguments[0], packet, arguments);
}

void steering_session::send_with_token(const argument_list& arguments) {
    auto packet = next_packet_of(arguments[0]);
    packet.token = static_cast<discovery::routing_token>(std::stoul(arguments[1]));
    deliver(arguments[0], packet, arguments);
}

void steering_session::advance(const argument_list& arguments) {
    now_ += clock::duration{std::stoi(arguments[0])};
    for (auto& each : instances_) {
        each->core.expire(now_);
        each->failure_detector.expire(now_);
        each->directory.expire(now_);
    }
}

void steering_session::deliver(const std::string& flow, const steering::segment& packet,
                               const argument_list& arguments) {
    const auto via = text_argument(arguments, "via");
    auto& instance = via.empty() ? *instances_.front() : find_instance(via);
    const auto outcome =
        instance.core.on_segment(packet, {.is_complete = true, .confirmed = now_}, now_);
    auto line = std::to_string((now_ - epoch).count()) + " flow " + flow +
                (via.empty() ? "" : " via " + via) + ": ";
    if (const auto* forwarded = std::get_if<steering::forward>(&outcome)) {
        const auto& id = forwarded->to->entry.id;
        line += "to " + id;
        auto& caller = flows_.at(flow);
        if (!is_mute(id) && (packet.is_opening || packet.length > 0)) {
            caller.token = forwarded->to->token;
            caller.acknowledged += answer_size;
            line += ", which answers";
        }
    } else if (const auto* refused = std::get_if<steering::refuse>(&outcome)) {
        line += "reset, " + std::string{name_of(refused->reason)};
    } else {
        line += "dropped, " + std::string{name_of(std::get<steering::drop>(outcome).reason)};
    }
    transcript_.push_back(line);
    print_resets(instance);
    for (const auto token : instance.core.take_suspects(now_)) {
        instance.failure_detector.suspect(token, now_);
    }
}

bool steering_session::is_mute(const std::string& target) const {
    return std::ranges::find(mute_targets_, target) != mute_targets_.end();
}

void steering_session::print_resets(instance_node& instance) {
    for (const auto& each : instance.core.take_resets()) {
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

void steering_session::on_opening_answered(const discovery::target& target,
                                           clock::duration latency) {
    transcript_.push_back("  observed: " + target.entry.id + " took a flow after " +
                          std::to_string(latency.count()) + " ms");
}

void steering_session::on_answer(const discovery::target& target, clock::duration latency) {
    transcript_.push_back("  observed: " + target.entry.id + " answered after " +
                          std::to_string(latency.count()) + " ms");
}

void steering_session::on_decision(std::string_view /*service*/,
                                   const steering::decision& /*made*/) {}

}  // namespace bramleytrack::testing
