#include "target_checks.h"

#include <arpa/inet.h>

namespace bramleytrack {
namespace {

// Targets respond within a few milliseconds. The margin is for small instances, which get the
// processor for only a part of each 100 ms and may notice the response later.
constexpr clock::duration probe_timeout{60};

sockaddr_in to_socket_address(const discovery::endpoint& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.address);
    return result;
}

// The value of the log field "confirmed_by". It is "peers_before" if no peer was queried in this
// check, because an earlier verdict that peers had confirmed was still valid.
std::string join_names(std::span<const std::string> names) {
    std::string result;
    for (const auto& each : names) {
        result += (result.empty() ? "" : ",") + each;
    }
    return result.empty() ? "peers_before" : result;
}

}  // namespace

target_checks::target_checks(ev::loop_ref loop, const settings::steering_settings& settings,
                             const discovery::directory& directory, steering::steering& steering,
                             peer_exchange& peers, event_log& log)
    : steering_{steering},
      peer_exchange_{peers},
      log_{log},
      failure_detector_{directory, settings.name, settings.zone, *this},
      probes_{loop} {
    peer_exchange_.on_probe_request(
        [this](std::string_view peer, discovery::routing_token token, clock::time_point now) {
            failure_detector_.on_indirect_probe_request(peer, token, now);
        });
    peer_exchange_.on_probe_result([this](std::string_view peer, discovery::routing_token token,
                                          bool is_reachable, clock::time_point now) {
        failure_detector_.on_indirect_probe_result(peer, token, is_reachable, now);
    });
    peer_exchange_.on_dead_targets(
        [this](std::string_view peer, std::span<const wire::dead_target_report> reports,
               clock::time_point now) { on_dead_targets(peer, reports, now); });
    peer_exchange_.set_failure_detector(failure_detector_);
}

void target_checks::check_suspects(clock::time_point now) {
    for (const auto token : steering_.take_suspects(now)) {
        failure_detector_.suspect(token, now);
    }
}

void target_checks::on_entry(std::string_view target_id) {
    failure_detector_.on_store_update(discovery::token_of(target_id));
}

void target_checks::on_dead_targets(std::string_view peer,
                                    std::span<const wire::dead_target_report> reports,
                                    clock::time_point now) {
    for (const auto& each : reports) {
        const auto token = static_cast<discovery::routing_token>(each.token);
        failure_detector_.on_reported_dead(peer,
                                           {.token = token, .age = clock::duration{each.age_ms}},
                                           steering_.flows().health(token).flows > 0, now);
    }
}

void target_checks::probe(const discovery::target& target) {
    ++probes_started_;
    probes_.start(to_socket_address(target.entry.address), probe_timeout,
                  [this, token = target.token](bool is_reachable) {
                      failure_detector_.on_probe_result(token, is_reachable, clock::now());
                  });
}

void target_checks::request_indirect_probe(const discovery::peer_entry& peer,
                                           discovery::routing_token token) {
    peer_exchange_.send_probe_request(peer, token);
}

void target_checks::send_indirect_probe_result(const discovery::peer_entry& peer,
                                               discovery::routing_token token, bool is_reachable) {
    peer_exchange_.send_probe_result(peer, token, is_reachable);
}

void target_checks::on_dead(const discovery::target& target, clock::time_point probed_at,
                            std::span<const std::string> confirmed_by, clock::time_point now) {
    ++targets_found_dead_;
    if (log_.admits(log_kind::state_change, now)) {
        log_.write(log_event{"target_unreachable"}
                       .with("target", target.entry.id)
                       .with("target_zone", target.entry.zone)
                       .with("probed_ms_ago", (now - probed_at).count())
                       .with("confirmed_by", join_names(confirmed_by))
                       .with("target_age_ms", (now - target.changed_at).count()));
    }
    steering_.on_target_dead(target, probed_at, now);
    flows_ended_callback_();
}

void target_checks::on_reported_dead(const discovery::target& target, clock::time_point until) {
    steering_.on_target_reported_dead(target, until);
}

void target_checks::on_found_alive(const discovery::target& target) {
    steering_.on_target_reached(target);
}

}  // namespace bramleytrack
