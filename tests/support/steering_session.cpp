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
std::string text_of(const std::vector<std::string>& arguments, const std::string& key) {
    for (const auto& each : arguments) {
        if (each.starts_with(key + "=")) {
            return each.substr(key.size() + 1);
        }
    }
    return {};
}

int number_of(const std::vector<std::string>& arguments, const std::string& key, int fallback) {
    const auto text = text_of(arguments, key);
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
    {"again", &steering_session::send_again},
    {"ack", &steering_session::acknowledge},
    {"close", &steering_session::close},
    {"stranger", &steering_session::send_as_stranger},
    {"advance", &steering_session::advance},
    {"instance", &steering_session::add_instance},
    {"catch_up", &steering_session::catch_up},
    {"digests", &steering_session::exchange_digests}};

steering_session::node::node(steering_session& owner, std::string own_name, const std::string& zone)
    : session{owner},
      name{std::move(own_name)},
      digests{known, name, zone, 1},
      cold{name},
      subject{{.zone = zone, .regions = {{"north", "home"}, {"south", "home"}}},
              known,
              cold,
              digests,
              owner,
              owner},
      inquiries{known, name, zone, *this} {}

void steering_session::node::probe(const discovery::target& target) {
    inquiries.on_probe_result(target.token, !session.is_mute(target.entry.id), session.now_);
}

void steering_session::node::request_indirect_probe(const discovery::peer_entry& peer,
                                 discovery::routing_token token) {
    session.instance_named(peer.name).inquiries.on_indirect_probe_request(name, token, session.now_);
}

void steering_session::node::send_indirect_probe_result(const discovery::peer_entry& peer,
                                    discovery::routing_token token, bool is_reachable) {
    session.instance_named(peer.name).inquiries.on_indirect_probe_result(name, token, is_reachable, session.now_);
}

void steering_session::node::on_dead(const discovery::target& target, clock::time_point probed_at,
                                     std::span<const std::string> /*confirmed_by*/,
                                     clock::time_point now) {
    session.transcript_.push_back("  " + name + ": " + target.entry.id + " can't be reached");
    subject.on_target_dead(target, probed_at, now);
    session.note_resets(*this);
}

void steering_session::node::on_reported_dead(const discovery::target& target,
                                              clock::time_point until) {
    subject.on_target_reported_dead(target, until);
}

void steering_session::node::on_reached(const discovery::target& target) {
    subject.on_target_reached(target);
}

steering_session::steering_session() : now_{epoch} {
    nodes_.push_back(std::make_unique<node>(*this, "self", "north"));
    nodes_.front()->cold.on_registered(epoch);
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

void steering_session::drop_route(const words& arguments) {
    std::erase_if(catalogue_.routes, [&](const auto& each) { return each.name == arguments[0]; });
    publish_catalogue(arguments);
}

void steering_session::publish_catalogue(const words& arguments) {
    ++catalogue_.version;
    apply(catalogue_, arguments);
}

void steering_session::apply(const discovery::record& subject, const words& arguments) {
    published_.push_back({.content = subject, .revision = ++revision_});
    const auto to = "," + text_of(arguments, "to") + ",";
    for (auto& each : nodes_) {
        if (to == ",," || to.find("," + each->name + ",") != std::string::npos) {
            tell(*each, published_.back());
        } else {
            each->missed.push_back(published_.size() - 1);
        }
    }
}

void steering_session::tell(node& to, const publication& what) {
    to.known.apply(what.content, what.revision, false, now_);
}

steering_session::node& steering_session::instance_named(const std::string& name) {
    const auto found =
        std::ranges::find_if(nodes_, [&name](const auto& each) { return each->name == name; });
    if (found == nodes_.end()) {
        throw std::invalid_argument{"no instance is called " + name};
    }
    return **found;
}

void steering_session::add_instance(const words& arguments) {
    nodes_.push_back(std::make_unique<node>(*this, arguments[0], arguments[1]));
    auto& made = *nodes_.back();
    made.cold.on_registered(now_);
    for (const auto& each : published_) {
        tell(made, each);
    }
    if (nodes_.size() == 2) {
        apply(
            discovery::peer_entry{
                .name = "self", .zone = "north", .address = "", .pull_address = ""},
            {});
    }
    apply(
        discovery::peer_entry{
            .name = made.name, .zone = arguments[1], .address = "", .pull_address = ""},
        {});
}

void steering_session::catch_up(const words& arguments) {
    auto& subject = instance_named(arguments[0]);
    for (const auto each : std::exchange(subject.missed, {})) {
        tell(subject, published_[each]);
    }
}

void steering_session::exchange_digests(const words& /*arguments*/) {
    for (const auto& from : nodes_) {
        wire::digest content;
        content.loads = from->digests.load_reports(from->subject.flows());
        const auto dead = from->inquiries.take_verdicts(now_);
        for (const auto& to : nodes_) {
            to->digests.on_digest(from->name, content, now_);
            for (const auto& each : dead) {
                const bool has_flows = to->subject.flows().health(each.token).flows > 0;
                to->inquiries.on_reported_dead(from->name, each, has_flows, now_);
            }
        }
    }
}

void steering_session::add_target(const words& arguments) {
    auto& entry = entries_[arguments[0]];
    entry.id = arguments[0];
    entry.service = arguments[1];
    entry.zone = arguments[2];
    entry.slots = 2;
    entry.cold_remaining = clock::duration{number_of(arguments, "cold", 0)};
    apply(entry, arguments);
}

void steering_session::drain_target(const words& arguments) {
    auto& entry = entries_.at(arguments[0]);
    entry.state = discovery::target_state::draining;
    apply(entry, arguments);
}

void steering_session::remove_target(const words& arguments) {
    apply(discovery::target_removed{arguments[0]}, arguments);
}

void steering_session::mute_target(const words& arguments) {
    mute_.push_back(arguments[0]);
}

void steering_session::take_zone_out(const words& arguments) {
    apply(discovery::zone_out{.zone = arguments[0]}, arguments);
}

void steering_session::take_zone_back(const words& arguments) {
    apply(discovery::zone_out{.zone = arguments[0], .is_out = false}, arguments);
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
    deliver(arguments[0], packet, arguments);
}

void steering_session::send_data(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.length = static_cast<std::uint16_t>(number_of(arguments, "bytes", 100));
    auto& flow = flows_.at(arguments[0]);
    flow.next_sequence += packet.length;
    flow.last = packet;
    deliver(arguments[0], packet, arguments);
}

void steering_session::send_again(const words& arguments) {
    deliver(arguments[0], flows_.at(arguments[0]).last, arguments);
}

void steering_session::acknowledge(const words& arguments) {
    deliver(arguments[0], packet_of(arguments[0]), arguments);
}

void steering_session::close(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.is_closing = true;
    deliver(arguments[0], packet, arguments);
}

void steering_session::send_as_stranger(const words& arguments) {
    auto packet = packet_of(arguments[0]);
    packet.token = static_cast<discovery::routing_token>(std::stoul(arguments[1]));
    deliver(arguments[0], packet, arguments);
}

void steering_session::advance(const words& arguments) {
    now_ += clock::duration{std::stoi(arguments[0])};
    for (auto& each : nodes_) {
        each->subject.expire(now_);
        each->inquiries.expire(now_);
        each->known.expire(now_);
    }
}

void steering_session::deliver(const std::string& flow, const steering::segment& content,
                               const words& arguments) {
    const auto via = text_of(arguments, "via");
    auto& subject = via.empty() ? *nodes_.front() : instance_named(via);
    const auto made =
        subject.subject.on_segment(content, {.is_complete = true, .confirmed = now_}, now_);
    auto line = std::to_string((now_ - epoch).count()) + " flow " + flow +
                (via.empty() ? "" : " via " + via) + ": ";
    if (const auto* forwarded = std::get_if<steering::forward>(&made)) {
        const auto& id = forwarded->to->entry.id;
        line += "to " + id;
        auto& known = flows_.at(flow);
        if (!is_mute(id) && (content.is_opening || content.length > 0)) {
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
    note_resets(subject);
    for (const auto token : subject.subject.take_suspects(now_)) {
        subject.inquiries.suspect(token, now_);
    }
}

bool steering_session::is_mute(const std::string& target) const {
    return std::ranges::find(mute_, target) != mute_.end();
}

void steering_session::note_resets(node& of) {
    for (const auto& each : of.subject.take_resets()) {
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
