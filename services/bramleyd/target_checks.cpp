#include "target_checks.h"

#include <arpa/inet.h>

namespace bramleytrack {
namespace {

// Targets answer within a few milliseconds; a small instance that gets the processor for a part of
// each tenth of a second only may see it later.
constexpr clock::duration probe_limit{60};

sockaddr_in socket_address_of(const discovery::endpoint& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.address);
    return result;
}

std::string joined(std::span<const std::string> names) {
    std::string result;
    for (const auto& each : names) {
        result += (result.empty() ? "" : ",") + each;
    }
    return result.empty() ? "peers_before" : result;
}

}  // namespace

target_checks::target_checks(ev::loop_ref loop, const settings::steering_settings& settings,
                             const discovery::directory& known, steering::steering& core,
                             peer_exchange& exchange, event_log& log)
    : core_{core},
      exchange_{exchange},
      log_{log},
      inquiries_{known, settings.name, settings.zone, *this},
      probes_{loop} {
    exchange_.on_probe_request(
        [this](std::string_view peer, discovery::routing_token token, clock::time_point now) {
            inquiries_.on_probe_request(peer, token, now);
        });
    exchange_.on_answer(
        [this](std::string_view peer, discovery::routing_token token, bool is_reachable,
               clock::time_point now) { inquiries_.on_answer(peer, token, is_reachable, now); });
    exchange_.on_verdicts([this](std::string_view peer,
                                 std::span<const wire::dead_target_report> told,
                                 clock::time_point now) { on_verdicts(peer, told, now); });
    exchange_.tell_verdicts_of(inquiries_);
}

void target_checks::check_suspects(clock::time_point now) {
    for (const auto token : core_.take_suspects(now)) {
        inquiries_.suspect(token, now);
    }
}

void target_checks::on_entry(std::string_view target_id) {
    inquiries_.on_entry(discovery::token_of(target_id));
}

void target_checks::on_verdicts(std::string_view peer,
                                std::span<const wire::dead_target_report> told,
                                clock::time_point now) {
    for (const auto& each : told) {
        const auto token = static_cast<discovery::routing_token>(each.token);
        inquiries_.on_reported_dead(peer, {.token = token, .age = clock::duration{each.age_ms}},
                                    core_.flows().health(token).flows > 0, now);
    }
}

void target_checks::probe(const discovery::target& target) {
    ++probes_begun_;
    probes_.start(socket_address_of(target.entry.address), probe_limit,
                  [this, token = target.token](bool is_reachable) {
                      inquiries_.on_probe(token, is_reachable, clock::now());
                  });
}

void target_checks::ask(const discovery::peer_entry& peer, discovery::routing_token token) {
    exchange_.ask_whether_reachable(peer, token);
}

void target_checks::answer(const discovery::peer_entry& peer, discovery::routing_token token,
                           bool is_reachable) {
    exchange_.tell_whether_reachable(peer, token, is_reachable);
}

void target_checks::on_dead(const discovery::target& target, clock::time_point probed_at,
                            std::span<const std::string> confirmed_by, clock::time_point now) {
    ++found_dead_;
    if (log_.admits(log_kind::state_change, now)) {
        log_.write(log_event{"target_unreachable"}
                       .with("target", target.entry.id)
                       .with("target_zone", target.entry.zone)
                       .with("probed_ms_ago", (now - probed_at).count())
                       .with("confirmed_by", joined(confirmed_by))
                       .with("target_age_ms", (now - target.changed_at).count()));
    }
    core_.on_target_dead(target, probed_at, now);
    flows_ended_();
}

void target_checks::on_reported_dead(const discovery::target& target, clock::time_point until) {
    core_.on_target_reported_dead(target, until);
}

void target_checks::on_reached(const discovery::target& target) {
    core_.on_target_reached(target);
}

}  // namespace bramleytrack
