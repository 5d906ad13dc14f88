#include "balancer_daemon.h"

#include <csignal>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "configuration/parse.h"
#include "membership/instance_list.h"
#include "observability/log.h"

namespace bramleytrack {
namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr clock::duration instance_list_interval{1'000};
constexpr clock::duration instance_list_timeout{2'000};

identity identity_of(const settings::instance_settings& settings) {
    const auto now = clock::now();
    return {.name = settings.name,
            .zone = settings.zone,
            .peer_address = settings.peer_address,
            .incarnation = to_milliseconds(now),
            .started = now};
}

}  // namespace

balancer_daemon::balancer_daemon(ev::loop_ref loop, settings::instance_settings settings,
                                 store::client& store)
    : settings_{std::move(settings)},
      loop_{loop},
      key_{wire::derive_fleet_key(settings_.fleet_passphrase)},
      core_{identity_of(settings_)},
      peer_socket_{loop, settings_.peer_address,
                   [this](std::string_view, std::span<const std::uint8_t> datagram) {
                       auto decoded = wire::decode_peer_message(datagram, key_);
                       if (const auto* message = std::get_if<wire::peer_message>(&decoded)) {
                           core_.on_peer_message(*message, clock::now());
                           perform_actions();
                       } else {
                           ++rejected_datagrams_;
                       }
                   }},
      caller_socket_{loop, settings_.caller_address,
                     [this](std::string_view, std::span<const std::uint8_t> datagram) {
                         auto decoded = wire::decode_packet(datagram);
                         if (auto* packet = std::get_if<wire::packet>(&decoded)) {
                             core_.on_caller_packet(std::move(*packet), clock::now());
                             perform_actions();
                         } else {
                             ++rejected_datagrams_;
                         }
                     }},
      target_socket_{loop, settings_.target_address,
                     [this](std::string_view sender, std::span<const std::uint8_t> datagram) {
                         auto decoded = wire::decode_packet(datagram);
                         if (auto* packet = std::get_if<wire::packet>(&decoded)) {
                             core_.on_target_packet(sender, *packet, clock::now());
                             perform_actions();
                         } else {
                             ++rejected_datagrams_;
                         }
                     }},
      admin_server_{loop, settings_.admin_address,
                    [this](const net::http_request& request, const net::http_responder& respond) {
                        handle_admin_request(request, respond);
                    }},
      http_client_{loop},
      configuration_watch_{store, std::string{configuration::store_key},
                           hash_of(hash_of(settings_.name),
                                   static_cast<std::uint64_t>(to_milliseconds(clock::now())))},
      tick_timer_{loop},
      terminate_signal_{loop} {
    tick_timer_.set<balancer_daemon, &balancer_daemon::on_tick>(this);
    const double interval = static_cast<double>(tick_interval.count()) / milliseconds_per_second;
    tick_timer_.start(interval, interval);
    terminate_signal_.set<balancer_daemon, &balancer_daemon::on_signal>(this);
    terminate_signal_.start(SIGTERM);
    observability::log_line(log_event{"started"}
                                .with("zone", settings_.zone)
                                .with("peer_address", settings_.peer_address)
                                .line());
    configuration_watch_.on_value([this](const store::item& value, clock::time_point now) {
        core_.on_configuration(value.value, value.revision, now);
        perform_actions();
    });
}

void balancer_daemon::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    if (now >= next_instance_list_request_) {
        next_instance_list_request_ = now + instance_list_interval;
        request_instance_list();
    }
    if (core_.take_store_wanted()) {
        configuration_watch_.reread();
    }
    configuration_watch_.tick(now);
    core_.on_tick(now);
    perform_actions();
    if (core_.may_stop()) {
        loop_.break_loop(ev::ALL);
    }
}

void balancer_daemon::on_signal(ev::sig& /*watcher*/, int /*events*/) {
    observability::log_line(log_event{"leaving"}.line());
    core_.leave();
}

void balancer_daemon::request_instance_list() {
    http_client_.get(settings_.instance_list_url, instance_list_timeout,
                     [this](const net::http_result& response) {
                         constexpr int http_ok = 200;
                         if (response.status == http_ok) {
                             core_.on_instance_list(membership::to_listed(
                                 membership::parse_instance_list(response.body)));
                         }
                     });
}

void balancer_daemon::perform_actions() {
    for (const auto& pending : core_.take_actions()) {
        std::visit([this](const auto& each) { perform(each); }, pending);
    }
}

void balancer_daemon::perform(const send_to_caller& message) {
    caller_socket_.send(message.content.caller, encoder_.encode(message.content));
}

void balancer_daemon::perform(const send_to_target& message) {
    target_socket_.send(message.address, encoder_.encode(message.content));
}

void balancer_daemon::perform(const send_to_peer& message) {
    peer_socket_.send(message.address, encoder_.encode(message.content, key_));
}

void balancer_daemon::perform(const log_event& event) {
    observability::log_line(event.line());
}

void balancer_daemon::perform(const request_ended& event) {
    metrics_.observe(event);
}

void balancer_daemon::handle_admin_request(const net::http_request& request,
                                           const net::http_responder& respond) {
    if (request.path == "/metrics") {
        respond({.status = 200,
                 .body = metrics_.render(core_.state()),
                 .content_type = "text/plain; version=0.0.4"});
    } else if (request.path == "/status") {
        respond({.status = 200, .body = render_status(), .content_type = "application/json"});
    } else {
        respond({.status = 404, .body = "{}", .content_type = "application/json"});
    }
}

std::string balancer_daemon::render_status() const {
    const auto& state = core_.state();
    nlohmann::json root;
    root["name"] = state.self.name;
    root["zone"] = state.self.zone;
    root["incarnation"] = state.self.incarnation;
    root["configuration_version"] = state.configuration.version;
    root["is_leaving"] = state.is_leaving;
    root["flows"] = state.flows.size();
    root["targets"] = nlohmann::json::array();
    for (const auto& [name, owned] : state.ownership.owned()) {
        root["targets"].push_back(name);
    }
    return root.dump();
}

}  // namespace bramleytrack
