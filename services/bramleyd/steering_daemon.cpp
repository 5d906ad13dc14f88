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
// Interval of all periodic work: store calls and registration with their retries, digests and
// pulls, expiry, readiness, settings checks and log output. Each wake-up costs a small instance
// processor time.
constexpr clock::duration tick_interval{100};
// While openings wait for capacity, it may come free at targets whose answers pass through other
// instances.
constexpr clock::duration waiting_interval{10};
// The settings file may change without a signal. Reading a small file once a second is cheap.
constexpr clock::duration settings_interval{1'000};
// During a pause of this length, the process may have missed changes and its watch may have
// stalled.
constexpr clock::duration min_pause_for_reread{1'000};
// Targets whose entries expired have written them again about two seconds after the store is
// reachable again. Until then a missing entry does not show that its target is gone. Same bound as
// directory_limits::reregistration_grace.
constexpr clock::duration post_outage_grace{2'000};
// Targets respond to callers directly; an instance infers from callers' packets that they do. Under
// the planned load, it receives such packets many times a second.
constexpr clock::duration max_time_without_response{1'000};
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

std::uint64_t random_seed_of(const std::string& name) {
    return hash_of(hash_of(name), static_cast<std::uint64_t>(to_milliseconds(clock::now())));
}

sockaddr_in parse_bind_address(const std::string& text) {
    const auto parsed = net::parse_address(text);
    if (!parsed) {
        throw std::runtime_error("not an IPv4 address with a port: " + text);
    }
    return *parsed;
}

std::vector<std::string> seeds_without_self(const settings::steering_settings& settings) {
    auto seeds = settings.seeds;
    std::erase(seeds, settings.advertised_pull_address);
    return seeds;
}

}  // namespace

steering_daemon::steering_daemon(ev::loop_ref loop, settings::steering_settings settings,
                                 platform_interfaces platform, settings_reader read_settings)
    : settings_{std::move(settings)},
      read_settings_{std::move(read_settings)},
      platform_{std::move(platform)},
      loop_{loop},
      mirror_{[&records = platform_.records](std::string_view key, std::size_t size) {
          return records.is_relevant(key, size);
      }},
      directory_{{.flow_lifetime = settings_.flow_lifetime}},
      cold_{settings_.name},
      digests_{directory_, settings_.name, settings_.zone, random_seed_of(settings_.name)},
      update_source_{directory_, digests_, settings_.name},
      startup_recovery_{directory_, settings_.name},
      steering_{{.zone = settings_.zone, .regions = settings_.zones},
                directory_,
                cold_,
                digests_,
                log_,
                metrics_},
      feed_{platform_.store, mirror_, random_seed_of(settings_.name)},
      registration_{platform_.store, platform_.registration_key, platform_.registration_value,
                    random_seed_of(settings_.name)},
      startup_{platform_.store,
               feed_,
               platform_.records,
               {settings_.name, settings_.link_mbps, seeds_without_self(settings_),
                random_seed_of(settings_.name)},
               platform_.shard_prefixes},
      peer_exchange_{loop, settings_, mirror_, digests_, log_},
      target_checks_{loop, settings_, directory_, steering_, peer_exchange_, log_},
      caller_port_{ntohs(parse_bind_address(settings_.packet_address).sin_port)},
      packet_socket_{
          loop, parse_bind_address(settings_.packet_address),
          [this](std::span<const std::uint8_t> datagram, clock::time_point earliest_arrival) {
              on_datagram(datagram, earliest_arrival);
          }},
      readiness_server_{loop, settings_.readiness_address,
                        [this](const net::http_request&, const net::http_responder& respond) {
                            respond({.status = is_ready_ ? http_ok : http_unavailable, .body = ""});
                        }},
      metrics_server_{loop, settings_.metrics_address,
                      [this](const net::http_request& request, const net::http_responder& respond) {
                          const bool is_metrics = request.path == "/metrics";
                          respond({.status = is_metrics ? http_ok : http_not_found,
                                   .body = is_metrics ? render_metrics() : "",
                                   .content_type = "text/plain; version=0.0.4"});
                      }},
      tick_timer_{loop},
      waiting_timer_{loop},
      terminate_signal_{loop},
      reload_signal_{loop} {
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
    peer_exchange_.on_newer_revision([this](clock::time_point now) { exchange_with_peers(now); });
    peer_exchange_.on_pull_result([this](const peer_exchange::pull_result& result,
                                         clock::time_point now) { on_pull_result(result, now); });
    target_checks_.on_flows_ended([this] {
        send_pending_resets();
        packet_socket_.flush();
    });
    tick_timer_.set<steering_daemon, &steering_daemon::on_tick>(this);
    const double interval = static_cast<double>(tick_interval.count()) / milliseconds_per_second;
    tick_timer_.start(interval, interval);
    waiting_timer_.set<steering_daemon, &steering_daemon::on_waiting_timer>(this);
    apply_admission(settings_.admission);
    peer_exchange_.on_slow_targets([this](std::string_view peer,
                                          std::span<const steering::target_speed_report> reports,
                                          clock::time_point now) {
        for (const auto& each : reports) {
            steering_.on_speed_report(peer, each, now);
        }
    });
    peer_exchange_.on_flow_holders(
        [this](std::span<const steering::held_flow> flows, clock::time_point now) {
            for (const auto& each : flows) {
                steering_.on_holder_reported(each, now);
            }
        });
    terminate_signal_.set<steering_daemon, &steering_daemon::on_terminate>(this);
    terminate_signal_.start(SIGTERM);
    reload_signal_.set<steering_daemon, &steering_daemon::on_reload>(this);
    reload_signal_.start(SIGHUP);
    started_at_ = clock::now();
    pause_detector_.on_event(started_at_);
    settings_text_ = read_settings_();
    log_.write(log_event{"started"}
                   .with("zone", settings_.zone)
                   .with("packet_address", settings_.packet_address)
                   .with("store", settings_.store_address));
    report_ignored_keys();
    prepare_startup();
}

void steering_daemon::prepare_startup() {
    startup_.on_copy_due([this](const fleet::pull_source& from, clock::time_point now) {
        peer_exchange_.pull(from, now);
    });
    peer_exchange_.on_pull_refused([this](fleet::copy_refusal reason, clock::time_point now) {
        if (!has_initial_state_) {
            startup_.on_copy_refused(reason, now);
        }
    });
    peer_exchange_.set_reading_check(
        [this](clock::time_point now) { return feed_.is_first_read_progressing(now); });
    startup_.on_listing([this](std::span<const store::item> registrations, clock::time_point now) {
        const auto own =
            std::ranges::find(registrations, platform_.registration_key, &store::item::key);
        if (own != registrations.end()) {
            registration_.adopt_lease(own->value, own->lease);
        }
        registration_.tick(now);
    });
    startup_.tick(fleet::copy_progress::none, clock::now());
}

void steering_daemon::report_ignored_keys() {
    for (const auto& each : settings_.ignored_keys) {
        log_.write(log_event{"setting_ignored"}.with("field", each));
    }
}

void steering_daemon::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    packet_socket_.receive();
    peer_exchange_.receive();
    pause_detector_.on_event(now);
    const auto pause = pause_detector_.take_pause();
    if (pause > clock::duration{0}) {
        log_.write(log_event{"paused"}.with("for_ms", pause.count()));
    }
    if (pause >= min_pause_for_reread) {
        feed_.reread(now);
    }
    exchange_with_peers(now);
    if (has_initial_state_) {
        feed_.tick(now);
    } else {
        startup_.tick(peer_exchange_.pull_progress(now), now);
    }
    if (startup_.may_register() && !stop_.is_begun()) {
        registration_.tick(now);
    }
    if (has_initial_state_ && !stop_.is_begun()) {
        recover_removed_items();
    }
    report_flows_opened_twice(now);
    steering_.expire(now);
    target_checks_.expire(now);
    directory_.expire(now);
    check_settings(now);
    update_readiness(now);
    stop_when_drained(now);
    observability::flush_log();
}

void steering_daemon::on_datagram(std::span<const std::uint8_t> datagram,
                                  clock::time_point earliest_arrival) {
    const auto now = clock::now();
    pause_detector_.on_event(now);
    last_packet_at_ = now;
    auto decoded = platform_.packets.decode(datagram);
    auto* segment = std::get_if<steering::segment>(&decoded);
    if (segment == nullptr) {
        ++malformed_datagrams_;
        return;
    }
    segment->max_socket_wait = now - earliest_arrival;
    const auto decision = steering_.on_segment(*segment, directory_state(), now, datagram);
    if (const auto* forward = std::get_if<steering::forward>(&decision)) {
        send_forward(datagram, *forward->to);
    } else if (const auto* refusal = std::get_if<steering::refuse>(&decision)) {
        send_reset(refusal->answer);
    }
    send_pending_resets();
    send_released_openings();
    target_checks_.check_suspects(now);
}

void steering_daemon::send_released_openings() {
    for (const auto& each : steering_.take_released()) {
        if (const auto* forward = std::get_if<steering::forward>(&each.outcome)) {
            send_forward(each.datagram, *forward->to);
        } else if (const auto* refusal = std::get_if<steering::refuse>(&each.outcome)) {
            send_reset(refusal->answer);
        }
    }
    const double interval = static_cast<double>(waiting_interval.count()) / milliseconds_per_second;
    if (steering_.has_waiting() && !waiting_timer_.is_active()) {
        waiting_timer_.start(interval, interval);
    } else if (!steering_.has_waiting()) {
        waiting_timer_.stop();
    }
}

void steering_daemon::on_waiting_timer(ev::timer& /*watcher*/, int /*events*/) {
    steering_.release_waiting(directory_state(), clock::now());
    send_released_openings();
    packet_socket_.flush();
}

void steering_daemon::apply_admission(const steering::admission_settings& settings) {
    steering_.set_admission(settings);
    log_.write(log_event{"admission"}
                   .with("capacity_shares", settings.capacity_shares ? "on" : "off")
                   .with("opening_queue_entries",
                         static_cast<std::int64_t>(settings.opening_queue_entries))
                   .with("split_overflow", settings.split_overflow ? "on" : "off")
                   .with("zone_balance", settings.zone_balance ? "on" : "off"));
}

void steering_daemon::send_pending_resets() {
    for (const auto& each : steering_.take_resets()) {
        send_reset(each);
    }
}

void steering_daemon::send_forward(std::span<const std::uint8_t> datagram,
                                   const discovery::target& target) {
    const auto packet =
        platform_.packets.encode_forward(datagram, target, packet_socket_.next_buffer());
    packet_socket_.queue(target.entry.address.address, target.entry.address.port, packet.size());
}

void steering_daemon::send_reset(const steering::reset& reset) {
    const auto packet = platform_.packets.encode_reset(reset, packet_socket_.next_buffer());
    // The UDP port is the same for callers and instances. The caller's port in `reset.flow` is a
    // field of the packet.
    packet_socket_.queue(reset.flow.caller.address, caller_port_, packet.size());
}

steering::directory_state steering_daemon::directory_state() const {
    return {.is_complete = has_initial_state_ && directory_.has_catalogue(),
            .confirmed = confirmed_at_};
}

void steering_daemon::exchange_with_peers(clock::time_point now) {
    digests_.expire(now);
    confirmed_at_ = update_source_.confirmed_at(feed_, mirror_.revision());
    cold_.set_isolated(update_source_.is_isolated(feed_, now));
    const bool should_watch = update_source_.should_watch(feed_, now);
    feed_.set_watch_enabled(should_watch);
    feed_.set_expected_watchers(update_source_.expected_watchers(now));
    const auto source =
        has_initial_state_
            ? update_source_.next_pull(mirror_.revision(), should_watch && !feed_.is_idle(), now)
            : std::nullopt;
    if (source) {
        peer_exchange_.pull(*source, now);
    }
    // failed_at() is the epoch unless the last read or watch failed.
    const bool has_lost_store = feed_.failed_at() != clock::time_point{};
    peer_exchange_.tick({.known_revision = mirror_.revision(),
                         .confirmed_at = confirmed_at_,
                         .has_lost_store = has_lost_store,
                         .is_stopping = stop_.is_begun()},
                        steering_, now, measurements_for_digest());
}

// The routers may send the next packet of such a flow through any instance of the zone, so all of
// them receive the reports. Few flows open twice: only those whose caller has sent a copy of the
// opening, and whose first target wasn't found dead.
void steering_daemon::report_flows_opened_twice(clock::time_point now) {
    const auto flows = steering_.take_flows_opened_twice();
    if (flows.empty()) {
        return;
    }
    std::vector<const discovery::peer_entry*> peers;
    for (const auto& [name, peer] : directory_.peers()) {
        if (name != settings_.name && peer.entry.zone == settings_.zone) {
            peers.push_back(&peer.entry);
        }
    }
    peer_exchange_.send_flow_holders(flows, peers, now);
}

digest_measurements steering_daemon::measurements_for_digest() const {
    const auto& admission = steering_.admission();
    if (!admission.capacity_shares && !admission.zone_balance) {
        return {};
    }
    return {.usage = &steering_.usage(), .speeds = &steering_.speeds()};
}

void steering_daemon::recover_removed_items() {
    const auto peer = startup_recovery_.next_peer();
    if (!peer) {
        return;
    }
    peer_exchange_.request_removed_items(
        *peer, [this](std::span<const store::removed_item> removed, clock::time_point now) {
            startup_recovery_.on_query_done();
            // Only targets can have open flows that outlive their entry. Removed peers and zones
            // are not recovered.
            std::vector<store::removed_item> targets;
            std::ranges::copy_if(removed, std::back_inserter(targets), [this](const auto& each) {
                return std::holds_alternative<discovery::target_entry>(
                    platform_.records.read(each.last.key, each.last.value));
            });
            apply_changes(mirror_.apply_removed_items(targets), now);
        });
}

void steering_daemon::on_pull_result(const peer_exchange::pull_result& result,
                                     clock::time_point now) {
    const auto events = result.is_whole ? mirror_.replace(result.items, result.revision)
                                        : mirror_.apply(result.events);
    mirror_.advance(result.revision);
    update_source_.on_pull_applied(result.confirmed_at);
    on_store_change(events, now);
}

void steering_daemon::on_store_change(std::span<const store::event> events, clock::time_point now) {
    if (!has_initial_state_) {
        on_initial_state(now);
    }
    confirmed_at_ = update_source_.confirmed_at(feed_, mirror_.revision());
    apply_changes(events, now);
    update_readiness(now);
    exchange_with_peers(now);  // sends the new revision to peers before the next tick
}

void steering_daemon::on_initial_state(clock::time_point now) {
    has_initial_state_ = true;
    initial_state_after_ = now - started_at_;
    startup_.finish();
    feed_.skip_first_read(now);
    update_source_.on_initial_state(now);
    log_.write(
        log_event{"initial_state"}
            .with("after_ms", initial_state_after_.count())
            .with("revision", mirror_.revision())
            .with("listings", startup_.listings())
            .with("store_calls", feed_.calls())
            .with("peer_queries", startup_.queries())
            .with("waiting_packets", static_cast<std::int64_t>(packet_socket_.backlog_size())));
    pause_detector_.on_event(now);
    packet_socket_.start_handling();
}

void steering_daemon::apply_changes(std::span<const store::event> events, clock::time_point now) {
    for (const auto& each : events) {
        if (const auto* written = std::get_if<store::item>(&each)) {
            if (written->key == platform_.registration_key) {
                registration_.adopt_lease(written->value, written->lease);
            }
            apply(platform_.records.read(written->key, written->value), written->revision, now);
        } else {
            const auto& removed = std::get<store::removal>(each);
            if (removed.key == platform_.registration_key) {
                registration_.on_entry_removed(now);
            }
            apply(platform_.records.read_removal(removed.key), removed.revision, now);
        }
    }
}

void steering_daemon::apply(const discovery::record& subject, std::int64_t revision,
                            clock::time_point now) {
    const bool had_recent_store_outage =
        update_source_.had_recent_store_outage(feed_, post_outage_grace, now);
    const auto outcome = directory_.apply(subject, revision, had_recent_store_outage, now);
    if (const auto* entry = std::get_if<discovery::target_entry>(&subject)) {
        target_checks_.on_entry(entry->id);
    }
    if (outcome != discovery::change::none && log_.admits(log_kind::state_change, now)) {
        log_.write(describe_change(subject, revision, outcome));
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
    // An isolated instance would drop the packets that the routers go on sending to it, so it
    // reports that it is not ready and is taken out of rotation. While callers' packets show that
    // targets respond to what it forwards, it stays ready, because it may be the only instance left
    // in its zone.
    const bool has_recent_responses =
        now - steering_.flows().path().last_response_at() <= max_time_without_response;
    const bool is_fully_isolated = !has_recent_responses && update_source_.is_isolated(feed_, now);
    const bool is_ready = directory_state().is_complete && !stop_.is_begun() && !is_fully_isolated;
    if (is_ready == is_ready_) {
        return;
    }
    is_ready_ = is_ready;
    log_.write(log_event{is_ready ? "ready" : "not_ready"}
                   .with("version", directory_.current_catalogue().version)
                   .with("targets", static_cast<std::int64_t>(directory_.target_count()))
                   .with("confirmed_ms_ago", confirmation_age_milliseconds(now)));
}

std::int64_t steering_daemon::confirmation_age_milliseconds(clock::time_point now) const {
    return confirmed_at_ == clock::time_point{} ? -1 : (now - confirmed_at_).count();
}

void steering_daemon::on_terminate(ev::sig& /*watcher*/, int /*events*/) {
    if (stop_.is_begun()) {
        return;
    }
    const auto now = clock::now();
    stop_.begin(now, peers_in_rotation(now));
    log_.write(log_event{"stopping"}.with("grace_ms", settings_.stop_grace.count()));
    registration_.deregister(now);
    steering_.end_waiting(directory_state(), now);
    send_released_openings();
    packet_socket_.flush();
    update_readiness(now);
}

void steering_daemon::stop_when_drained(clock::time_point now) {
    if (!stop_.is_begun()) {
        return;  // counting the peers in rotation visits all of them
    }
    if (stop_.may_end(now, last_packet_at_, peers_in_rotation(now), settings_.stop_grace)) {
        log_.write(log_event{"stopped"}.with("after_ms", stop_.elapsed(now).count()));
        observability::flush_log();
        loop_.break_loop(ev::ALL);
    }
}

std::size_t steering_daemon::peers_in_rotation(clock::time_point now) const {
    return fleet::peers_in_rotation(directory_, settings_.name, settings_.zone, now);
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
    const auto* reloaded = std::get_if<settings::steering_settings>(&parsed);
    if (reloaded == nullptr) {
        for (const auto& fault : std::get<std::vector<configuration::fault>>(parsed)) {
            log_.write(log_event{"settings_refused"}.with("fault", to_string(fault)));
        }
        return;
    }
    // Names and addresses are fixed for the lifetime of the process. The stop grace, the
    // flow lifetime and the limits of admission are applied now.
    auto changed = settings_;
    changed.stop_grace = reloaded->stop_grace;
    changed.flow_lifetime = reloaded->flow_lifetime;
    changed.admission = reloaded->admission;
    // These are copied so that a change of them is not reported as needing a restart. The seeds in
    // use were copied at construction and matter only until the initial state is received; ignored
    // keys have no effect.
    changed.seeds = reloaded->seeds;
    changed.ignored_keys = reloaded->ignored_keys;
    directory_.set_flow_lifetime(reloaded->flow_lifetime);
    if (settings_.admission != reloaded->admission) {
        apply_admission(reloaded->admission);
    }
    const bool needs_restart = changed != *reloaded;
    settings_ = std::move(changed);
    log_.write(log_event{"settings_reloaded"}
                   .with("stop_grace_ms", settings_.stop_grace.count())
                   .with("needs_restart", needs_restart ? "yes" : "no"));
    report_ignored_keys();
}

std::string steering_daemon::render_metrics() {
    const auto now = clock::now();
    std::vector<observability::service_gauges> services;
    std::vector<observability::route_gauges> routes;
    for (const auto& [service, demand] : steering_.demands()) {
        const auto usage = steering_.usage_of(service, now);
        services.push_back({.service = service,
                            .slots = usage.slots(),
                            .open_local = usage.open_local(),
                            .open_remote = usage.open_remote(),
                            .demand_local = usage.demand().local,
                            .demand_remote = usage.demand().remote});
        for (const auto& each : steering_.standing_of(service, now).routes) {
            routes.push_back(
                {.service = service,
                 .route = each.route,
                 .demand_slots = each.demand * each.local_fraction,
                 .entitlement_slots = each.share.entitlement * each.local_fraction,
                 .open = static_cast<double>(steering_.open_requests_of(service, each.route)),
                 .waiting = static_cast<double>(steering_.waiting_of(service, each.route))});
        }
    }
    return metrics_.render({.configuration_version = directory_.current_catalogue().version,
                            .known_revision = mirror_.revision(),
                            .confirmation_age_ms = confirmation_age_milliseconds(now),
                            .targets = static_cast<std::int64_t>(directory_.target_count()),
                            .zones_out = static_cast<std::int64_t>(directory_.zones_out().size()),
                            .peers = static_cast<std::int64_t>(directory_.peers().size()),
                            .flows = static_cast<std::int64_t>(steering_.flows().size()),
                            .store_calls = feed_.calls(),
                            .dropped_log_lines = observability::dropped_log_lines(),
                            .malformed_datagrams = malformed_datagrams_,
                            .rejected_peer_messages = peer_exchange_.rejected_messages(),
                            .dropped_sends = packet_socket_.dropped_sends(),
                            .dropped_receives = packet_socket_.dropped_receives(),
                            .target_probes = target_checks_.probes_started(),
                            .targets_found_dead = target_checks_.targets_found_dead(),
                            .initial_state_ms = initial_state_after_.count(),
                            .startup_peer_queries = startup_.queries(),
                            .copies_sent = peer_exchange_.copies().sent,
                            .copies_refused = peer_exchange_.copies().refused,
                            .copy_bytes_sent = peer_exchange_.copies().bytes,
                            .flow_holders_sent = peer_exchange_.flow_holders().sent,
                            .flow_holders_dropped = peer_exchange_.flow_holders().dropped,
                            .is_store_reachable = feed_.is_reachable(),
                            .is_ready = is_ready_},
                           services, routes);
}

}  // namespace bramleytrack
