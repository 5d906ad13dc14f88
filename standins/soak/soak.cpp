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
constexpr clock::duration question_interval{400};
// Rules with a bound hold for whoever has been undisturbed for so long.
constexpr clock::duration touch{4'000};
// Between two faults of a storm: several of them overlap.
constexpr int shortest_gap_ms = 150;
constexpr int longest_gap_ms = 1'400;
// Mending takes the touch, the return of lapsed entries, and the callers' own deadline.
constexpr clock::duration mend{8'000};
constexpr clock::duration change_bound{3'000};
constexpr clock::duration zone_bound{5'000};
constexpr clock::duration stop_bound{6'000};
// What a cold target bears by the settings of the soak: 1.5 times two, and five more.
constexpr int most_cold_openings = 8;
// Of the requests in a calm; a flow may end while its target does.
constexpr double most_lost_in_calm = 0.01;

double gauge_of(const std::string& metrics, const std::string& name) {
    std::istringstream lines{metrics};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return -1;
}

void wake_up(ev::timer& timer, int /*events*/) {
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
    began_ = clock::now();
    fleet_.start();
    pass(clock::duration{300});
    fleet_.write_configuration(2);
    pass(clock::duration{2'500});
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
    callers_->on_reset([this](const flow_reset& what) { on_reset(what); });
    pass(clock::duration{2'000});
}

void soak::pass(clock::duration time) {
    ticker_.start(tick_seconds, tick_seconds);
    alarm_.set<&wake_up>();
    alarm_.start(static_cast<double>(time.count()) / milliseconds_per_second);
    loop_.run();
    alarm_.stop();
    ticker_.stop();
}

void soak::after(clock::duration wait, std::function<void()> act) {
    actions_.push({.at = clock::now() + wait, .order = ++last_order_, .act = std::move(act)});
}

void soak::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!actions_.empty() && actions_.top().at <= now) {
        const auto act = actions_.top().act;
        actions_.pop();
        act();
    }
    watch_processes();
    if (now >= next_question_) {
        next_question_ = now + question_interval;
        ask_beliefs();
    }
}

void soak::play_round(clock::duration storm) {
    is_storm_ = true;
    after(clock::duration{0}, [this] { begin_fault(); });
    pass(storm);
    is_storm_ = false;
    play_calm();
}

void soak::begin_fault() {
    if (!is_storm_) {
        return;
    }
    const auto& kind = kinds[static_cast<std::size_t>(pick(static_cast<int>(kinds.size())))];
    ++result_.played[kind.name];
    std::fprintf(stderr, "%8lld %s\n", static_cast<long long>((clock::now() - began_).count()),
                 kind.name);
    (this->*kind.begin)();
    after(between(shortest_gap_ms, longest_gap_ms), [this] { begin_fault(); });
}

int soak::pick(int number) {
    return std::uniform_int_distribution<int>{0, number - 1}(random_);
}

clock::duration soak::between(int least_ms, int most_ms) {
    return clock::duration{std::uniform_int_distribution<int>{least_ms, most_ms}(random_)};
}

soak_instance& soak::any_instance() {
    auto& all = fleet_.instances();
    return all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))];
}

soak_target& soak::any_target() {
    auto& all = fleet_.targets();
    return all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))];
}

void soak::disturb(clock::time_point& until, clock::duration length) {
    until = std::max(until, clock::now() + length + touch);
}

void soak::disturb_all(clock::duration length) {
    for (auto& each : fleet_.instances()) {
        disturb(each.disturbed_until, length);
    }
    for (auto& each : fleet_.targets()) {
        disturb(each.disturbed_until, length);
    }
}

void soak::restart_later(soak_instance& subject, clock::duration wait) {
    ++pending_starts_[subject.name];
    after(wait, [this, &subject] {
        --pending_starts_[subject.name];
        if (!subject.program->is_running()) {
            subject.program->start();
        }
    });
}

void soak::restart_later(soak_target& subject, clock::duration wait) {
    ++pending_starts_[subject.id];
    after(wait, [this, &subject] {
        --pending_starts_[subject.id];
        if (!subject.program->is_running()) {
            subject.program->start();
            subject.started_at = clock::now();
        }
    });
}

void soak::play_calm() {
    // Whatever was to be mended later is mended now.
    while (!actions_.empty()) {
        const auto act = actions_.top().act;
        actions_.pop();
        act();
    }
    fleet_.set_store_fault("down=0&silent=0&lost=0");
    fleet_.mend_links();
    for (int zone = 0; zone < soak_fleet::zones; ++zone) {
        fleet_.write_zone(zone, false);
    }
    for (auto& each : fleet_.instances()) {
        each.program->signal(SIGCONT);
    }
    for (auto& each : fleet_.targets()) {
        each.program->signal(SIGCONT);
    }
    pass(mend);
    check_calm_start();

    const auto before = callers_->results();
    fleet_.write_configuration(pick(20));
    pass(change_bound);
    check_version(fleet_.version());

    stop_instance();
    // Of the larger service: the other one may have its last target in the zone that goes out.
    auto& leaving = fleet_.targets().front();
    fleet_.drain(leaving);
    const int zone = pick(soak_fleet::zones);
    fleet_.write_zone(zone, true);
    pass(change_bound + clock::duration{800});
    // It serves on for a while after its drain, and ends without a word.
    leaving.program->kill();
    fleet_.remove_entry(leaving.id);
    pass(zone_bound - change_bound);
    ask_openings(zone, [this, zone](std::map<std::string, int> opened) {
        after(clock::duration{2'500},
              [this, zone, opened = std::move(opened)] { compare_openings(zone, opened); });
    });
    pass(clock::duration{3'500});
    fleet_.write_zone(zone, false);
    restart_later(leaving, clock::duration{0});
    pass(clock::duration{3'200});

    const auto& now = callers_->results();
    const int asked = now.asked - before.asked;
    const int lost = now.late_or_lost - before.late_or_lost + now.not_opened - before.not_opened;
    std::fprintf(stderr, "%8lld calm: asked %d, lost %d, refused %d\n",
                 static_cast<long long>((clock::now() - began_).count()), asked, lost,
                 now.refused - before.refused);
    if (asked == 0 || lost > most_lost_in_calm * asked) {
        complain("in a calm " + std::to_string(lost) + " of " + std::to_string(asked) +
                 " requests and openings were lost");
    }
    collect_reports();
    pass(clock::duration{500});
}

void soak::check_calm_start() {
    for (const auto& each : fleet_.instances()) {
        const auto& known = beliefs_[each.name];
        if (!known.is_ready) {
            complain(each.name + " isn't ready " + std::to_string(mend.count()) +
                     " ms after everything was mended");
        }
    }
    check_version(fleet_.version());
}

void soak::check_version(std::int64_t wanted) {
    for (const auto& each : fleet_.instances()) {
        const auto& known = beliefs_[each.name];
        if (known.version < static_cast<double>(wanted)) {
            complain(each.name + " has version " + std::to_string(known.version) + ", not " +
                     std::to_string(wanted));
        }
    }
}

void soak::ask_openings(int zone, std::function<void(std::map<std::string, int>)> done) {
    auto counts = std::make_shared<std::map<std::string, int>>();
    for (const auto& each : fleet_.targets()) {
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
    after(clock::duration{300}, [counts, done = std::move(done)] { done(*counts); });
}

void soak::compare_openings(int zone, std::map<std::string, int> before) {
    ask_openings(zone, [this, before = std::move(before)](const std::map<std::string, int>& now) {
        for (const auto& [id, count] : now) {
            const auto found = before.find(id);
            if (found != before.end() && count > found->second) {
                complain(id + " took " + std::to_string(count - found->second) +
                         " flows though its zone was out for over " +
                         std::to_string(zone_bound.count()) + " ms");
            }
        }
    });
}

void soak::collect_reports() {
    for (const auto& each : fleet_.targets()) {
        fleet_.http().get(
            "http://" + each.address + "/runs", http_limit,
            [this, id = each.id](const net::http_result& answer) {
                const auto root = json::parse(answer.body, nullptr, false);
                if (!root.is_object()) {
                    return;
                }
                for (const auto& [request, count] : root["runs"].items()) {
                    if (count.get<int>() > 1) {
                        complain("request " + request + " ran " + count.dump() + " times at " + id);
                    }
                }
                if (root["opened_while_draining"].get<int>() > 0) {
                    complain(id + " took flows 3 s after its drain");
                }
                if (root["most_cold_openings"].get<int>() > most_cold_openings) {
                    complain(id + " took " + root["most_cold_openings"].dump() +
                             " flows in a second while it was cold");
                }
            });
    }
}

void soak::watch_processes() {
    if (!fleet_.store().is_running()) {
        complain("the stand-in store ended");
        fleet_.store().start();
    }
    for (auto& each : fleet_.instances()) {
        if (each.program->is_running() || pending_starts_[each.name] > 0) {
            const bool is_late = each.is_stopping && clock::now() >= each.disturbed_until &&
                                 clock::now() - stopping_since_[each.name] > stop_bound;
            if (is_late) {
                complain(each.name + " didn't end within its grace");
                each.program->kill();
                each.is_stopping = false;
                restart_later(each, clock::duration{0});
            }
            continue;
        }
        if (!each.is_stopping || each.program->status() != 0) {
            complain(each.name + " ended by itself with status " +
                     std::to_string(each.program->status()));
        }
        each.is_stopping = false;
        restart_later(each, between(50, 500));
    }
    for (auto& each : fleet_.targets()) {
        if (!each.program->is_running() && pending_starts_[each.id] == 0 && is_storm_) {
            complain("the stand-in " + each.id + " ended");
            restart_later(each, clock::duration{0});
        }
    }
}

void soak::ask_beliefs() {
    for (auto& each : fleet_.instances()) {
        const int life = each.program->starts();
        fleet_.http().get("http://" + each.metrics_address + "/metrics", http_limit,
                          [this, &each, life](const net::http_result& answer) {
                              if (answer.status == http_ok && life == each.program->starts()) {
                                  take_belief(each.name, life, answer.body);
                              }
                          });
    }
}

void soak::take_belief(const std::string& name, int life, const std::string& metrics) {
    auto& known = beliefs_[name];
    const belief now{.life = life,
                     .version = gauge_of(metrics, "bramleytrack_configuration_version"),
                     .revision = gauge_of(metrics, "bramleytrack_known_revision"),
                     .is_ready = gauge_of(metrics, "bramleytrack_ready") > 0};
    const bool is_same_life = known.life == life;
    if (is_same_life && (now.version < known.version || now.revision < known.revision)) {
        complain(name + " went back from version " + std::to_string(known.version) + ", revision " +
                 std::to_string(known.revision) + " to " + std::to_string(now.version) + ", " +
                 std::to_string(now.revision));
    }
    known = now;
}

// An instance may reset an open flow when its target or that instance was disturbed within the
// touch.
void soak::on_reset(const flow_reset& what) {
    const auto now = clock::now();
    auto& targets = fleet_.targets();
    const auto target = std::ranges::find(targets, what.target, &soak_target::id);
    if (target == targets.end()) {
        complain("a flow was open at a stranger, " + what.sender);
        return;
    }
    if (!what.is_from_balancer) {
        on_reset_by_target(what, *target);
        return;
    }
    auto& instances = fleet_.instances();
    const auto sender = ip_of(what.sender);
    const auto instance = std::ranges::find(instances, sender, &soak_instance::packet_source);
    const bool is_excused = now < target->disturbed_until ||
                            (instance != instances.end() && now < instance->disturbed_until) ||
                            !target->program->is_running();
    if (!is_excused) {
        complain("a flow open at " + what.target + " was reset by " +
                 (instance == instances.end() ? sender : instance->name));
    }
}

// A target may reset a flow that it held in an earlier life. Another one's reset means that a
// packet reached the wrong target, unless both took copies of the opening.
void soak::on_reset_by_target(const flow_reset& what, const soak_target& target) {
    const bool is_own = ip_of(target.address) == ip_of(what.sender);
    const bool has_restarted = target.started_at > what.opened_at;
    if (is_own ? has_restarted : what.opening_copies > 0) {
        result_.taken_twice += is_own ? 0 : 1;
        return;
    }
    complain("a flow open at " + what.target + " was reset by the target at " + what.sender);
}

void soak::complain(const std::string& what) {
    const auto line = std::to_string((clock::now() - began_).count()) + " " + what;
    std::fprintf(stderr, "%8s VIOLATION %s\n", "", line.c_str());
    result_.violations.push_back(line);
}

soak_result soak::finish() {
    callers_->stop();
    pass(clock::duration{3'500});
    result_.tally = callers_->results();
    if (result_.tally.wrong_answers > 0) {
        complain(std::to_string(result_.tally.wrong_answers) +
                 " answers to another request or of another service");
    }
    return result_;
}

}  // namespace bramleytrack::standins
