#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace bramleytrack::standins {
namespace {

using nlohmann::json;

constexpr double tick_seconds = 0.02;
constexpr double milliseconds_per_second = 1000.0;
constexpr int http_ok = 200;
constexpr clock::duration http_limit{1'000};
constexpr clock::duration poll_interval{400};
// After a fault of an instance or target has ended, resets and slow stops are excused for this
// long.
constexpr clock::duration settle_time{4'000};
// Gap between two faults of a fault phase; short enough that several overlap.
constexpr int min_fault_gap_ms = 150;
constexpr int max_fault_gap_ms = 1'400;
// Recovery takes the settle time, the re-registration of removed entries, and the callers'
// deadline.
constexpr clock::duration recovery_time{8'000};
constexpr clock::duration max_change_delay{3'000};
constexpr clock::duration max_evacuation_delay{5'000};
constexpr clock::duration max_stop_time{6'000};
// Openings per second that a cold target may get: 1.5 * cold_per_s + 5, with cold_per_s = 2 in the
// configuration of the soak.
constexpr int max_cold_openings = 8;
// Share of the requests in a steady phase: a flow may be lost when its target is killed.
constexpr double max_steady_loss_ratio = 0.01;

double gauge_of(const std::string& metrics, const std::string& name) {
    std::istringstream lines{metrics};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return -1;
}

void stop_loop(ev::timer& timer, int /*events*/) {
    ev_break(timer.loop, EVBREAK_ONE);
}

std::string ip_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

}  // namespace

soak::soak(ev::loop_ref loop, soak_options options)
    : loop_{loop},
      options_{std::move(options)},
      random_{options_.seed},
      fleet_{loop, options_, random_},
      ticker_{loop},
      alarm_{loop} {
    ticker_.set<soak, &soak::on_tick>(this);
    start();
}

void soak::start() {
    started_at_ = clock::now();
    fleet_.start();
    run_for(clock::duration{300});
    fleet_.write_configuration(2);
    run_for(clock::duration{2'500});
    flow_caller_options options;
    options.address = fleet_.caller_address();
    const auto routes = fleet_.route_addresses();
    options.routes = {{.address = routes[0], .service = "board"},
                      {.address = routes[1], .service = "plans"}};
    options.seed = static_cast<int>(options_.seed);
    for (const auto& each : fleet_.targets()) {
        options.services[each.id] = each.service;
        options.targets[each.address] = each.id;
    }
    std::vector<router::instance> instances;
    for (const auto& each : fleet_.instances()) {
        instances.push_back(
            {.packet_address = each.packet_address, .readiness_address = each.readiness_address});
    }
    callers_ = std::make_unique<flow_caller>(loop_, options, instances);
    callers_->set_reset_callback([this](const flow_reset& reset) { on_reset(reset); });
    run_for(clock::duration{2'000});
}

void soak::run_for(clock::duration time) {
    ticker_.start(tick_seconds, tick_seconds);
    alarm_.set<&stop_loop>();
    alarm_.start(static_cast<double>(time.count()) / milliseconds_per_second);
    loop_.run();
    alarm_.stop();
    ticker_.stop();
}

void soak::schedule(clock::duration wait, std::function<void()> callback) {
    actions_.push(
        {.at = clock::now() + wait, .order = ++last_order_, .callback = std::move(callback)});
}

void soak::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!actions_.empty() && actions_.top().at <= now) {
        const auto callback = actions_.top().callback;
        actions_.pop();
        callback();
    }
    check_processes();
    if (now >= next_poll_) {
        next_poll_ = now + poll_interval;
        poll_instances();
    }
}

void soak::run_round(clock::duration fault_phase) {
    is_fault_phase_ = true;
    schedule(clock::duration{0}, [this] { inject_fault(); });
    run_for(fault_phase);
    is_fault_phase_ = false;
    run_steady_phase();
}

void soak::inject_fault() {
    if (!is_fault_phase_) {
        return;
    }
    const auto& kind =
        fault_kinds[static_cast<std::size_t>(random_below(static_cast<int>(fault_kinds.size())))];
    ++result_.fault_counts[kind.name];
    std::fprintf(stderr, "%8lld %s\n", static_cast<long long>((clock::now() - started_at_).count()),
                 kind.name);
    (this->*kind.inject)();
    schedule(random_duration(min_fault_gap_ms, max_fault_gap_ms), [this] { inject_fault(); });
}

int soak::random_below(int count) {
    return std::uniform_int_distribution<int>{0, count - 1}(random_);
}

clock::duration soak::random_duration(int min_ms, int max_ms) {
    return clock::duration{std::uniform_int_distribution<int>{min_ms, max_ms}(random_)};
}

soak_instance& soak::random_instance() {
    auto& all = fleet_.instances();
    return all[static_cast<std::size_t>(random_below(static_cast<int>(all.size())))];
}

soak_target& soak::random_target() {
    auto& all = fleet_.targets();
    return all[static_cast<std::size_t>(random_below(static_cast<int>(all.size())))];
}

void soak::extend_excuse(clock::time_point& until, clock::duration length) {
    until = std::max(until, clock::now() + length + settle_time);
}

void soak::extend_all_excuses(clock::duration length) {
    for (auto& each : fleet_.instances()) {
        extend_excuse(each.excused_until, length);
    }
    for (auto& each : fleet_.targets()) {
        extend_excuse(each.excused_until, length);
    }
}

void soak::restart_later(soak_instance& instance, clock::duration wait) {
    ++pending_starts_[instance.name];
    schedule(wait, [this, &instance] {
        --pending_starts_[instance.name];
        if (!instance.program->is_running()) {
            instance.program->start();
        }
    });
}

void soak::restart_later(soak_target& target, clock::duration wait) {
    ++pending_starts_[target.id];
    schedule(wait, [this, &target] {
        --pending_starts_[target.id];
        if (!target.program->is_running()) {
            target.program->start();
            target.started_at = clock::now();
        }
    });
}

void soak::run_steady_phase() {
    // Runs all scheduled actions now, so that every fault ends.
    while (!actions_.empty()) {
        const auto callback = actions_.top().callback;
        actions_.pop();
        callback();
    }
    fleet_.set_store_fault("down=0&silent=0&lost=0");
    fleet_.restore_links();
    for (int zone = 0; zone < soak_fleet::zones; ++zone) {
        fleet_.write_zone(zone, false);
    }
    for (auto& each : fleet_.instances()) {
        each.program->signal(SIGCONT);
    }
    for (auto& each : fleet_.targets()) {
        each.program->signal(SIGCONT);
    }
    run_for(recovery_time);
    check_recovery();

    const auto before = callers_->results();
    fleet_.write_configuration(random_below(20));
    run_for(max_change_delay);
    check_version(fleet_.version());

    stop_instance();
    // A target of the larger service: the other service may have its last target in the zone that
    // is taken out.
    auto& drained = fleet_.targets().front();
    fleet_.drain(drained);
    const int zone = random_below(soak_fleet::zones);
    fleet_.write_zone(zone, true);
    run_for(max_change_delay + clock::duration{800});
    // The drained target gets SIGKILL. Its entry is removed at once; the platform removes it after
    // missed heartbeats.
    drained.program->kill();
    fleet_.remove_entry(drained.id);
    run_for(max_evacuation_delay - max_change_delay);
    query_openings(zone, [this, zone](std::map<std::string, int> opened) {
        schedule(clock::duration{2'500},
                 [this, zone, opened = std::move(opened)] { check_no_new_openings(zone, opened); });
    });
    run_for(clock::duration{3'500});
    fleet_.write_zone(zone, false);
    restart_later(drained, clock::duration{0});
    run_for(clock::duration{3'200});

    // Since the recovery: `lost` counts the requests without an answer within the deadline and the
    // openings that were neither accepted nor reset in time; `requests` counts the requests only.
    // Openings that were reset, and requests whose flow was reset, do not count as lost.
    const auto& now = callers_->results();
    const int requests = now.requests_sent - before.requests_sent;
    const int lost = now.unanswered - before.unanswered + now.not_opened - before.not_opened;
    std::fprintf(stderr, "%8lld calm: asked %d, lost %d, refused %d\n",
                 static_cast<long long>((clock::now() - started_at_).count()), requests, lost,
                 now.refused - before.refused);
    if (requests == 0 || lost > max_steady_loss_ratio * requests) {
        report_violation("in a calm " + std::to_string(lost) + " of " + std::to_string(requests) +
                         " requests and openings were lost");
    }
    check_target_reports();
    run_for(clock::duration{500});
}

void soak::check_recovery() {
    for (const auto& each : fleet_.instances()) {
        const auto& reported = reported_states_[each.name];
        if (!reported.is_ready) {
            report_violation(each.name + " isn't ready " + std::to_string(recovery_time.count()) +
                             " ms after everything was mended");
        }
    }
    check_version(fleet_.version());
}

void soak::check_version(std::int64_t expected) {
    for (const auto& each : fleet_.instances()) {
        const auto& reported = reported_states_[each.name];
        if (reported.version < static_cast<double>(expected)) {
            report_violation(each.name + " has version " + std::to_string(reported.version) +
                             ", not " + std::to_string(expected));
        }
    }
}

void soak::query_openings(int zone, std::function<void(std::map<std::string, int>)> done) {
    auto counts = std::make_shared<std::map<std::string, int>>();
    for (const auto& each : fleet_.targets()) {
        // Every target has a program, running or not. One that is not running gives no answer and
        // is left out for that reason.
        if (each.zone != zone || !each.program || pending_starts_[each.id] > 0) {
            continue;
        }
        fleet_.http().get("http://" + each.address + "/runs", http_limit,
                          [counts, id = each.id](const net::http_result& answer) {
                              const auto root = json::parse(answer.body, nullptr, false);
                              if (root.is_object()) {
                                  (*counts)[id] = root["opened"];
                              }
                          });
    }
    schedule(clock::duration{300}, [counts, done = std::move(done)] { done(*counts); });
}

void soak::check_no_new_openings(int zone, std::map<std::string, int> before) {
    query_openings(zone, [this, before = std::move(before)](const std::map<std::string, int>& now) {
        for (const auto& [id, count] : now) {
            const auto found = before.find(id);
            if (found != before.end() && count > found->second) {
                report_violation(id + " took " + std::to_string(count - found->second) +
                                 " flows though its zone was out for over " +
                                 std::to_string(max_evacuation_delay.count()) + " ms");
            }
        }
    });
}

// Checks the counts of each target on its own; a target that does not answer is skipped. The counts
// start at 0 with the target's process: as the drained target is killed and started again before
// this, its openings while draining are not seen here.
void soak::check_target_reports() {
    for (const auto& each : fleet_.targets()) {
        fleet_.http().get("http://" + each.address + "/runs", http_limit,
                          [this, id = each.id](const net::http_result& answer) {
                              const auto root = json::parse(answer.body, nullptr, false);
                              if (!root.is_object()) {
                                  return;
                              }
                              for (const auto& [request, count] : root["runs"].items()) {
                                  if (count.get<int>() > 1) {
                                      report_violation("request " + request + " ran " +
                                                       count.dump() + " times at " + id);
                                  }
                              }
                              if (root["opened_while_draining"].get<int>() > 0) {
                                  report_violation(id + " took flows 3 s after its drain");
                              }
                              if (root["most_cold_openings"].get<int>() > max_cold_openings) {
                                  report_violation(id + " took " +
                                                   root["most_cold_openings"].dump() +
                                                   " flows in a second while it was cold");
                              }
                          });
    }
}

void soak::check_processes() {
    if (!fleet_.store().is_running()) {
        report_violation("the stand-in store ended");
        fleet_.store().start();
    }
    for (auto& each : fleet_.instances()) {
        if (each.program->is_running() || pending_starts_[each.name] > 0) {
            const bool is_late = each.is_stopping && clock::now() >= each.excused_until &&
                                 clock::now() - stopping_since_[each.name] > max_stop_time;
            if (is_late) {
                report_violation(each.name + " didn't end within its grace");
                each.program->kill();
                each.is_stopping = false;
                restart_later(each, clock::duration{0});
            }
            continue;
        }
        // Also reported for an instance that was told to stop and exited with a nonzero status.
        if (!each.is_stopping || each.program->status() != 0) {
            report_violation(each.name + " ended by itself with status " +
                             std::to_string(each.program->status()));
        }
        each.is_stopping = false;
        restart_later(each, random_duration(50, 500));
    }
    for (auto& each : fleet_.targets()) {
        if (!each.program->is_running() && pending_starts_[each.id] == 0 && is_fault_phase_) {
            report_violation("the stand-in " + each.id + " ended");
            restart_later(each, clock::duration{0});
        }
    }
}

void soak::poll_instances() {
    for (auto& each : fleet_.instances()) {
        const int incarnation = each.program->starts();
        fleet_.http().get(
            "http://" + each.metrics_address + "/metrics", http_limit,
            [this, &each, incarnation](const net::http_result& answer) {
                if (answer.status == http_ok && incarnation == each.program->starts()) {
                    record_reported_state(each.name, incarnation, answer.body);
                }
            });
    }
}

void soak::record_reported_state(const std::string& name, int incarnation,
                                 const std::string& metrics) {
    auto& last = reported_states_[name];
    const reported_state current{.incarnation = incarnation,
                                 .version = gauge_of(metrics, "bramleytrack_configuration_version"),
                                 .revision = gauge_of(metrics, "bramleytrack_known_revision"),
                                 .is_ready = gauge_of(metrics, "bramleytrack_ready") > 0};
    const bool is_same_incarnation = last.incarnation == incarnation;
    if (is_same_incarnation &&
        (current.version < last.version || current.revision < last.revision)) {
        report_violation(name + " went back from version " + std::to_string(last.version) +
                         ", revision " + std::to_string(last.revision) + " to " +
                         std::to_string(current.version) + ", " + std::to_string(current.revision));
    }
    last = current;
}

// A reset by an instance is excused if the excused period of the flow's target or of that instance
// has not ended, or if the target is not running. Besides resets, only slow stops are excused by
// these periods, see check_processes().
void soak::on_reset(const flow_reset& reset) {
    const auto now = clock::now();
    auto& targets = fleet_.targets();
    const auto target = std::ranges::find(targets, reset.target, &soak_target::id);
    if (target == targets.end()) {
        report_violation("a flow open at an unknown target was reset by " + reset.sender);
        return;
    }
    if (!reset.is_from_balancer) {
        on_reset_by_target(reset, *target);
        return;
    }
    auto& instances = fleet_.instances();
    const auto sender = ip_of(reset.sender);
    const auto instance = std::ranges::find(instances, sender, &soak_instance::packet_source);
    const bool is_excused = now < target->excused_until ||
                            (instance != instances.end() && now < instance->excused_until) ||
                            !target->program->is_running();
    if (!is_excused) {
        report_violation("a flow open at " + reset.target + " was reset by " +
                         (instance == instances.end() ? sender : instance->name));
    }
}

// A target may reset a flow that it held before it was restarted. A reset by any other target means
// that a packet was routed to the wrong target. It is excused if the opening was retransmitted,
// since both targets may then have accepted the flow. Excused periods do not apply here.
void soak::on_reset_by_target(const flow_reset& reset, const soak_target& target) {
    const bool is_from_flow_target = ip_of(target.address) == ip_of(reset.sender);
    const bool has_restarted = target.started_at > reset.opened_at;
    if (is_from_flow_target ? has_restarted : reset.opening_retransmissions > 0) {
        result_.accepted_twice += is_from_flow_target ? 0 : 1;
        return;
    }
    report_violation("a flow open at " + reset.target + " was reset by the target at " +
                     reset.sender);
}

void soak::report_violation(const std::string& description) {
    const auto line = std::to_string((clock::now() - started_at_).count()) + " " + description;
    std::fprintf(stderr, "%8s VIOLATION %s\n", "", line.c_str());
    result_.violations.push_back(line);
}

soak_result soak::finish() {
    callers_->stop();
    run_for(clock::duration{3'500});
    result_.tally = callers_->results();
    // Only answers of another service are counted: the callers drop an answer with another id than
    // that of the current request.
    if (result_.tally.wrong_answers > 0) {
        report_violation(std::to_string(result_.tally.wrong_answers) +
                         " answers to another request or of another service");
    }
    return result_;
}

}  // namespace bramleytrack::standins
