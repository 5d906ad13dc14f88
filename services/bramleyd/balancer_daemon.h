// The balancer daemon: turns datagrams, platform answers and timers into events of the core, and
// the core's actions into datagrams and log lines. It decides nothing itself.
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
    // Throws std::system_error or std::runtime_error when an address can't be bound.
    balancer_daemon(ev::loop_ref loop, settings::instance_settings settings, store::client& store);

private:
    void on_tick(ev::timer& watcher, int events);
    void on_signal(ev::sig& watcher, int events);
    void ask_instance_list();
    void act();
    void carry_out(const send_to_caller& wanted);
    void carry_out(const send_to_target& wanted);
    void carry_out(const send_to_peer& wanted);
    void carry_out(const log_event& wanted);
    void carry_out(const request_ended& wanted);
    void serve(const net::http_request& request, const net::http_responder& respond);
    std::string status_text() const;

    settings::instance_settings settings_;
    ev::loop_ref loop_;
    wire::fleet_key key_;
    wire::encoder encoder_;
    instance core_;
    observability::metrics metrics_;
    net::udp_endpoint peers_;
    net::udp_endpoint callers_;
    net::udp_endpoint targets_;
    net::http_server admin_;
    net::http_client http_;
    store::key_watch configuration_;
    ev::timer ticker_;
    ev::sig terminate_;
    clock::time_point next_list_request_;
    std::int64_t rejected_datagrams_ = 0;
};

}  // namespace bramleytrack
