#include "steering_daemon.h"

#include <algorithm>
#include <csignal>
#include <iterator>

#include "base/hash.h"
#include "net/udp_endpoint.h"
#include "record_log.h"

namespace bramleytrack {
namespace {

constexpr double milliseconds_per_second = 1000.0;
// Retries, budgets and log output follow this beat; each wake-up costs a small instance time.
constexpr clock::duration tick_interval{100};
// Settings may change without a signal; reading a small file once a second costs nothing.
constexpr clock::duration settings_interval{1'000};
// A pause that long may have hidden changes, and the watch may be dead.
constexpr clock::duration pause_to_read_anew{1'000};
// Lapsed entries are back two seconds after the store; the same bound as
// directory_limits::return_grace.
constexpr clock::duration suspicion{2'000};
// Targets of the planned load answer many times a second.
constexpr clock::duration target_silence{1'000};
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

std::uint64_t seed_of(const std::string& name) {
    return hash_of(hash_of(name), static_cast<std::uint64_t>(to_milliseconds(clock::now())));
}

sockaddr_in bound_address(const std::string& text) {
    const auto parsed = net::parse_address(text);
    if (!parsed) {
        throw std::runtime_error("not an address: " + text);
    }
    return *parsed;
}

}  // namespace

steering_daemon::steering_daemon(ev::loop_ref loop, settings::steering_settings settings,
                                 platform_parts parts, settings_reader read_settings)
    : settings_{std::move(settings)},
      read_settings_{std::move(read_settings)},
      parts_{std::move(parts)},
      loop_{loop},
      mirror_{[&records = parts_.records](std::string_view key, std::size_t size) {
          return records.is_relevant(key, size);
      }},
      directory_{{.flow_lifetime = settings_.flow_lifetime}},
      cold_{settings_.name},
      digests_{directory_, settings_.name, settings_.zone, seed_of(settings_.name)},
      update_source_{directory_, digests_, settings_.name},
      startup_recovery_{directory_, settings_.name},
      steering_{{.zone = settings_.zone, .regions = settings_.zones},
                directory_,
                cold_,
                digests_,
                log_,
                metrics_},
      feed_{parts_.store, mirror_, seed_of(settings_.name)},
      registration_{parts_.store, parts_.registration_key, parts_.registration_value,
                    seed_of(settings_.name)},
      exchange_{loop, settings_, mirror_, digests_, log_},
      checks_{loop, settings_, directory_, steering_, exchange_, log_},
      caller_port_{ntohs(bound_address(settings_.packet_address).sin_port)},
      packets_{loop, bound_address(settings_.packet_address),
               [this](std::span<const std::uint8_t> datagram) { on_datagram(datagram); }},
      readiness_{loop, settings_.readiness_address,
                 [this](const net::http_request&, const net::http_responder& respond) {
                     respond({.status = is_ready_ ? http_ok : http_unavailable, .body = ""});
                 }},
      admin_{loop, settings_.metrics_address,
             [this](const net::http_request& request, const net::http_responder& respond) {
                 const bool is_metrics = request.path == "/metrics";
                 respond({.status = is_metrics ? http_ok : http_not_found,
                          .body = is_metrics ? render_metrics() : "",
                          .content_type = "text/plain; version=0.0.4"});
             }},
      ticker_{loop},
      terminate_{loop},
      reload_{loop} {
    feed_.on_change([this](std::span<const store::event> events, clock::time_point now) {
        on_store_change(events, now);
    });
    feed_.on_state(
        [this](bool is_reachable, result_code reason, int attempts, clock::time_point now) {
            on_store_state(is_reachable, reason, attempts, now);
        });
    registration_.on_state([this](bool is_held, result_code reason, clock::time_point now) {
        on_registration(is_held, reason, now);
    });
    exchange_.on_digest([this](clock::time_point now) { consult_peers(now); });
    exchange_.on_pulled([this](const peer_exchange::pulled& changes, clock::time_point now) {
        on_pulled(changes, now);
    });
    checks_.on_flows_ended([this] {
        send_waiting_resets();
        packets_.flush();
    });
    ticker_.set<steering_daemon, &steering_daemon::on_tick>(this);
    const double interval = static_cast<double>(tick_interval.count()) / milliseconds_per_second;
    ticker_.start(interval, interval);
    terminate_.set<steering_daemon, &steering_daemon::on_terminate>(this);
    terminate_.start(SIGTERM);
    reload_.set<steering_daemon, &steering_daemon::on_reload>(this);
    reload_.start(SIGHUP);
    pauses_.on_event(clock::now());
    settings_text_ = read_settings_();
    log_.write(log_event{"started"}
                   .with("zone", settings_.zone)
                   .with("packet_address", settings_.packet_address)
                   .with("store", settings_.store_address));
    report_ignored_keys();
    feed_.tick(clock::now());
}

void steering_daemon::report_ignored_keys() {
    for (const auto& each : settings_.ignored_keys) {
        log_.write(log_event{"setting_ignored"}.with("field", each));
    }
}

void steering_daemon::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    pauses_.on_event(now);
    const auto pause = pauses_.take_pause();
    if (pause > clock::duration{0}) {
        log_.write(log_event{"paused"}.with("for_ms", pause.count()));
    }
    if (pause >= pause_to_read_anew) {
        feed_.reread(now);
    }
    consult_peers(now);
    feed_.tick(now);
    if (has_initial_state_ && !stop_.is_begun()) {
        registration_.tick(now);
        ask_what_ended();
    }
    steering_.expire(now);
    checks_.expire(now);
    directory_.expire(now);
    check_settings(now);
    update_readiness(now);
    end_when_quiet(now);
    observability::flush_log();
}

void steering_daemon::on_datagram(std::span<const std::uint8_t> datagram) {
    const auto now = clock::now();
    pauses_.on_event(now);
    packet_at_ = now;
    const auto decoded = parts_.packets.decode(datagram);
    const auto* segment = std::get_if<steering::segment>(&decoded);
    if (segment == nullptr) {
        ++malformed_;
        return;
    }
    if (segment->is_opening && pauses_.is_catching_up(now)) {
        return;
    }
    const auto decision = steering_.on_segment(*segment, directory_state(), now);
    if (const auto* wanted = std::get_if<steering::forward>(&decision)) {
        send_forward(datagram, *wanted->to);
    } else if (const auto* refused = std::get_if<steering::refuse>(&decision)) {
        send_reset(refused->answer);
    }
    send_waiting_resets();
    checks_.check_suspects(now);
}

void steering_daemon::send_waiting_resets() {
    for (const auto& each : steering_.take_resets()) {
        send_reset(each);
    }
}

void steering_daemon::send_forward(std::span<const std::uint8_t> datagram,
                                   const discovery::target& to) {
    const auto part = parts_.packets.encode_forward(datagram, to, packets_.next_buffer());
    packets_.queue(to.entry.address.address, to.entry.address.port, part.size());
}

void steering_daemon::send_reset(const steering::reset& wanted) {
    const auto part = parts_.packets.encode_reset(wanted, packets_.next_buffer());
    // Callers receive at the port at which instances do.
    packets_.queue(wanted.flow.caller.address, caller_port_, part.size());
}

steering::directory_state steering_daemon::directory_state() const {
    return {.is_complete = has_initial_state_ && directory_.has_catalogue(),
            .confirmed = confirmed_at_};
}

void steering_daemon::consult_peers(clock::time_point now) {
    digests_.expire(now);
    confirmed_at_ = update_source_.confirmed_at(feed_, mirror_.revision());
    cold_.set_isolated(update_source_.is_isolated(feed_, now));
    const bool should_watch = update_source_.should_watch(feed_, now);
    feed_.set_watch_enabled(should_watch);
    feed_.set_expected_watchers(update_source_.expected_watchers(now));
    if (!has_initial_state_) {
        exchange_.fetch_from_seed(now);
    } else if (const auto wanted = update_source_.next_pull(
                   mirror_.revision(), should_watch && !feed_.is_pausing(), now)) {
        exchange_.fetch(*wanted, now);
    }
    const bool has_lost_store = feed_.failed_at() != clock::time_point{};
    exchange_.tick({.known_revision = mirror_.revision(),
                    .confirmed = confirmed_at_,
                    .has_lost_store = has_lost_store,
                    .is_stopping = stop_.is_begun()},
                   steering_, now);
}

void steering_daemon::ask_what_ended() {
    const auto peer = startup_recovery_.next();
    if (!peer) {
        return;
    }
    exchange_.ask_for_ended(
        *peer, [this](std::span<const store::removed_item> told, clock::time_point now) {
            startup_recovery_.on_answer();
            // Only targets have flows that go on; peers and zones that went are gone.
            std::vector<store::removed_item> targets;
            std::ranges::copy_if(told, std::back_inserter(targets), [this](const auto& each) {
                return std::holds_alternative<discovery::target_entry>(
                    parts_.records.read(each.last.key, each.last.value));
            });
            take_changes(mirror_.apply_removed_items(targets), now);
        });
}

void steering_daemon::on_pulled(const peer_exchange::pulled& changes, clock::time_point now) {
    const auto changed = changes.is_whole ? mirror_.replace(changes.items, changes.revision)
                                          : mirror_.apply(changes.events);
    mirror_.advance(changes.revision);
    update_source_.note_pulled(changes.confirmed);
    on_store_change(changed, now);
}

void steering_daemon::on_store_change(std::span<const store::event> events, clock::time_point now) {
    if (!has_initial_state_) {
        has_initial_state_ = true;
        update_source_.on_initial_state(now);
        pauses_.on_event(now);  // packets that waited for long are no better than after a pause
        packets_.start_receiving();
    }
    confirmed_at_ = update_source_.confirmed_at(feed_, mirror_.revision());
    take_changes(events, now);
    update_readiness(now);
    consult_peers(now);  // peers learn of it without waiting for the next tick
}

void steering_daemon::take_changes(std::span<const store::event> events, clock::time_point now) {
    for (const auto& each : events) {
        if (const auto* written = std::get_if<store::item>(&each)) {
            if (written->key == parts_.registration_key) {
                registration_.adopt(written->value, written->lease);
            }
            apply(parts_.records.read(written->key, written->value), written->revision, now);
        } else {
            const auto& removed = std::get<store::removal>(each);
            if (removed.key == parts_.registration_key) {
                registration_.on_entry_removed(now);
            }
            apply(parts_.records.read_removal(removed.key), removed.revision, now);
        }
    }
}

void steering_daemon::apply(const discovery::record& subject, std::int64_t revision,
                            clock::time_point now) {
    const bool had_recent_store_outage =
        update_source_.had_recent_store_outage(feed_, suspicion, now);
    const auto outcome = directory_.apply(subject, revision, had_recent_store_outage, now);
    if (const auto* entry = std::get_if<discovery::target_entry>(&subject)) {
        checks_.on_entry(entry->id);
    }
    if (outcome != discovery::change::none && log_.admits(log_kind::state_change, now)) {
        log_.write(describe(subject, revision, outcome));
    }
}

void steering_daemon::on_store_state(bool is_reachable, result_code reason, int attempts,
                                     clock::time_point /*now*/) {
    log_.write(log_event{is_reachable ? "store_regained" : "store_lost"}
                   .with("reason", name_of(reason))
                   .with("attempts", attempts)
                   .with("revision", mirror_.revision()));
}

void steering_daemon::on_registration(bool is_held, result_code reason, clock::time_point now) {
    if (is_held) {
        cold_.on_registered(now);
    } else {
        cold_.on_registration_lost();
    }
    log_.write(
        log_event{is_held ? "registered" : "registration_lost"}.with("reason", name_of(reason)));
}

void steering_daemon::update_readiness(clock::time_point now) {
    // Failure: an instance that is cut off from everything drops what the fabric goes on sending to
    // it. One that still hears answers of targets stays: it may be all that its zone has.
    const bool hears_targets = now - steering_.flows().path().answered_at() <= target_silence;
    const bool is_cut_off = !hears_targets && update_source_.is_isolated(feed_, now);
    const bool is_ready = directory_state().is_complete && !stop_.is_begun() && !is_cut_off;
    if (is_ready == is_ready_) {
        return;
    }
    is_ready_ = is_ready;
    log_.write(log_event{is_ready ? "ready" : "not_ready"}
                   .with("version", directory_.in_force().version)
                   .with("targets", static_cast<std::int64_t>(directory_.target_count()))
                   .with("confirmed_ms_ago", confirmed_milliseconds_ago(now)));
}

std::int64_t steering_daemon::confirmed_milliseconds_ago(clock::time_point now) const {
    return confirmed_at_ == clock::time_point{} ? -1 : (now - confirmed_at_).count();
}

void steering_daemon::on_terminate(ev::sig& /*watcher*/, int /*events*/) {
    if (stop_.is_begun()) {
        return;
    }
    const auto now = clock::now();
    stop_.begin(now, others_in_rotation(now));
    log_.write(log_event{"stopping"}.with("grace_ms", settings_.stop_grace.count()));
    registration_.end(now);
    update_readiness(now);
}

void steering_daemon::end_when_quiet(clock::time_point now) {
    if (stop_.may_end(now, packet_at_, others_in_rotation(now), settings_.stop_grace)) {
        log_.write(log_event{"stopped"}.with("after_ms", stop_.elapsed(now).count()));
        observability::flush_log();
        loop_.break_loop(ev::ALL);
    }
}

std::size_t steering_daemon::others_in_rotation(clock::time_point now) const {
    return fleet::others_in_rotation(directory_, settings_.name, settings_.zone, now);
}

void steering_daemon::on_reload(ev::sig& /*watcher*/, int /*events*/) {
    next_settings_check_ = {};
    check_settings(clock::now());
}

void steering_daemon::check_settings(clock::time_point now) {
    if (now < next_settings_check_) {
        return;
    }
    next_settings_check_ = now + settings_interval;
    auto text = read_settings_();
    if (text == settings_text_ || text.empty()) {
        return;
    }
    settings_text_ = std::move(text);
    const auto parsed = settings::parse_steering_settings(settings_text_);
    const auto* offered = std::get_if<settings::steering_settings>(&parsed);
    if (offered == nullptr) {
        for (const auto& fault : std::get<std::vector<configuration::fault>>(parsed)) {
            log_.write(log_event{"settings_refused"}.with("fault", to_string(fault)));
        }
        return;
    }
    // Addresses and names hold for the life of the process; what may change is taken over.
    auto changed = settings_;
    changed.stop_grace = offered->stop_grace;
    changed.flow_lifetime = offered->flow_lifetime;
    changed.seeds = offered->seeds;  // of use at a start only
    changed.ignored_keys = offered->ignored_keys;
    directory_.set_flow_lifetime(offered->flow_lifetime);
    const bool needs_restart = changed != *offered;
    settings_ = std::move(changed);
    log_.write(log_event{"settings_reloaded"}
                   .with("stop_grace_ms", settings_.stop_grace.count())
                   .with("needs_restart", needs_restart ? "yes" : "no"));
    report_ignored_keys();
}

std::string steering_daemon::render_metrics() {
    const auto now = clock::now();
    std::vector<observability::service_gauges> services;
    for (const auto& [service, demand] : steering_.demands()) {
        const auto use = steering_.use_of(service, now);
        services.push_back({.service = service,
                            .slots = use.slots(),
                            .open_local = use.open_local(),
                            .open_remote = use.open_remote(),
                            .demand_local = use.wants().here,
                            .demand_remote = use.wants().elsewhere});
    }
    return metrics_.render({.configuration_version = directory_.in_force().version,
                            .known_revision = mirror_.revision(),
                            .confirmation_age_ms = confirmed_milliseconds_ago(now),
                            .targets = static_cast<std::int64_t>(directory_.target_count()),
                            .zones_out = static_cast<std::int64_t>(directory_.zones_out().size()),
                            .peers = static_cast<std::int64_t>(directory_.peers().size()),
                            .flows = static_cast<std::int64_t>(steering_.flows().size()),
                            .store_calls = feed_.calls(),
                            .dropped_log_lines = observability::dropped_log_lines(),
                            .malformed_datagrams = malformed_,
                            .rejected_peer_messages = exchange_.rejected(),
                            .dropped_sends = packets_.dropped_sends(),
                            .target_probes = checks_.probes(),
                            .targets_found_dead = checks_.found_dead(),
                            .is_store_reachable = feed_.is_reachable(),
                            .is_ready = is_ready_},
                           services);
}

}  // namespace bramleytrack
