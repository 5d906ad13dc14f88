// I/O of an instance that routes by target ownership: one instance owns each target and accounts
// for its load. Passes datagrams, store and HTTP responses, and timer events to the core
// (`instance`), and performs the actions that the core returns: sending datagrams, writing log
// lines and updating metrics. All decisions are made in the core.
#pragma once

#include <ev++.h>

#include <string>

#include "instance/instance.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "observability/metrics.h"
#include "settings/settings.h"
#include "store/key_watch.h"
#include "wire/codec.h"

namespace bramleytrack {

class balancer_daemon {
public:
    // Throws std::system_error or std::runtime_error if an address cannot be bound.
    balancer_daemon(ev::loop_ref loop, settings::instance_settings settings, store::client& store);

private:
    void on_tick(ev::timer& watcher, int events);
    void on_signal(ev::sig& watcher, int events);
    void request_instance_list();
    void perform_actions();
    void perform(const send_to_caller& message);
    void perform(const send_to_target& message);
    void perform(const send_to_peer& message);
    void perform(const log_event& event);
    void perform(const request_ended& event);
    void handle_admin_request(const net::http_request& request, const net::http_responder& respond);
    std::string render_status() const;

    settings::instance_settings settings_;
    ev::loop_ref loop_;
    wire::fleet_key key_;
    wire::encoder encoder_;
    instance core_;
    observability::metrics metrics_;
    net::udp_endpoint peer_socket_;
    net::udp_endpoint caller_socket_;
    net::udp_endpoint target_socket_;
    net::http_server admin_server_;
    net::http_client http_client_;
    store::key_watch configuration_watch_;
    ev::timer tick_timer_;
    ev::sig terminate_signal_;
    clock::time_point next_instance_list_request_;
    std::int64_t rejected_datagrams_ = 0;
};

}  // namespace bramleytrack
