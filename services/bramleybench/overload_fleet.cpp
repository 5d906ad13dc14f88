#include "overload_fleet.h"

namespace bramleytrack::experiments {
namespace {

// With so many slots no bound is ever reached.
constexpr int boundless = 1'000'000;

std::string zone_name(std::size_t zone) {
    return "zone-" + std::to_string(zone);
}

std::string instance_name(std::size_t number) {
    return "instance-" + std::to_string(number);
}

}  // namespace

overload_fleet::overload_fleet(const overload_pattern& pattern, const overload_choice& choice,
                               clock::time_point start)
    : pattern_{pattern}, choice_{choice} {
    auto counts = pattern.instances_by_zone;
    if (counts.empty()) {
        counts.push_back(pattern.instances);
    }
    instances_of_zone_.resize(counts.size());
    add_routes(start);
    add_targets(start);
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (int i = 0; i < counts[zone]; ++i) {
            add_instance(zone);
        }
    }
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (const auto i : instances_of_zone_[zone]) {
            known_.apply(discovery::peer_entry{.name = instance_name(i),
                                               .zone = zone_name(zone),
                                               .address = {},
                                               .pull_address = {}},
                         static_cast<std::int64_t>(i) + 2, false, start);
        }
    }
}

void overload_fleet::add_routes(clock::time_point start) {
    discovery::catalogue text;
    text.version = 1;
    const auto add = [&text](std::string name, std::uint16_t port, int priority,
                             clock::duration objective) {
        auto& route = text.routes.emplace_back();
        route.name = std::move(name);
        route.address = {.address = 1, .port = port};
        route.splits = {{.service = "board", .weight = 1}};
        route.priority = priority;
        route.latency_objective = objective;
        route.is_idempotent = true;
    };
    constexpr int first = 0;
    constexpr int second = 1;
    constexpr int third = 2;
    add("unused", unused_port, first, pattern_.objective);
    add("sign-off", urgent_port, choice_.ranks_routes ? second : third, pattern_.objective);
    add("feed", short_port, third, pattern_.objective);
    add("archive", long_port, third, pattern_.long_objective);
    text.services = {{.name = "board"}};
    known_.apply(text, 1, false, start);
}

void overload_fleet::add_targets(clock::time_point start) {
    for (int i = 0; i < pattern_.targets; ++i) {
        const auto number = static_cast<std::size_t>(i);
        discovery::target_entry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "board";
        entry.zone = zone_name(number % zones());
        entry.slots = choice_.has_limit ? pattern_.slots : boundless;
        known_.apply(entry, i + 2, false, start);
        host_of_[discovery::token_of(entry.id)] = number;
    }
}

void overload_fleet::add_instance(std::size_t zone) {
    const auto number = instances_.size();
    const auto name = instance_name(number);
    number_of_[name] = number;
    instances_of_zone_[zone].push_back(number);
    auto& made = instances_.emplace_back();
    made.name = name;
    made.actions = std::make_unique<checks>(*this, number);
    made.inquiries = std::make_unique<fleet::target_failure_detector>(known_, name, zone_name(zone),
                                                                      *made.actions);
    made.digests = std::make_unique<fleet::peer_digests>(known_, name, zone_name(zone), 1);
    made.cold = std::make_unique<steering::cold_gate>(name);
    made.core = std::make_unique<steering::steering>(
        steering::location{.zone = zone_name(zone), .regions = {}}, known_, *made.cold,
        *made.digests, log_, observer_);
}

wire::digest overload_fleet::digest_of(const instance& subject, clock::time_point now) const {
    wire::digest result;
    result.loads = subject.digests->load_reports(subject.core->flows());
    if (choice_.shares_demands) {
        result.demands =
            subject.digests->demand_reports(subject.core->demands(), subject.core->flows(), now);
    }
    return result;
}

void overload_fleet::exchange_digests(clock::time_point now) {
    now_ = now;
    for (auto& each : instances_) {
        each.core->expire(now);
        each.inquiries->expire(now);
    }
    if (!choice_.shares_loads) {
        return;
    }
    for (auto& from : instances_) {
        const auto content = digest_of(from, now);
        const auto dead = from.inquiries->take_verdicts(now);
        for (const auto* receiver : from.digests->next_receivers()) {
            auto& to = instances_[number_of_.at(receiver->name)];
            to.digests->on_digest(from.name, content, now);
            for (const auto& each : dead) {
                const bool has_flows = to.core->flows().health(each.token).flows > 0;
                to.inquiries->on_reported_dead(from.name, each, has_flows, now);
            }
        }
    }
}

void overload_fleet::check_suspects(std::size_t number, clock::time_point now) {
    now_ = now;
    auto& subject = instances_[number];
    if (!choice_.checks_targets) {
        return;
    }
    for (const auto token : subject.core->take_suspects(now)) {
        subject.inquiries->suspect(token, now);
    }
}

void overload_fleet::on_probed(std::size_t number, std::size_t host, bool is_reachable,
                               clock::time_point now) {
    now_ = now;
    const auto token = discovery::token_of("i-" + std::to_string(host));
    instances_[number].inquiries->on_probe_result(token, is_reachable, now);
}

void overload_fleet::checks::probe(const discovery::target& target) {
    fleet_.probe_(number_, fleet_.host_of(target.token));
}

void overload_fleet::checks::request_indirect_probe(const discovery::peer_entry& peer,
                                                    discovery::routing_token token) {
    auto& asked = fleet_.instances_[fleet_.number_of_.at(peer.name)];
    asked.inquiries->on_indirect_probe_request(fleet_.instances_[number_].name, token, fleet_.now_);
}

void overload_fleet::checks::send_indirect_probe_result(const discovery::peer_entry& peer,
                                                        discovery::routing_token token,
                                                        bool is_reachable) {
    auto& asker = fleet_.instances_[fleet_.number_of_.at(peer.name)];
    asker.inquiries->on_indirect_probe_result(fleet_.instances_[number_].name, token, is_reachable,
                                              fleet_.now_);
}

void overload_fleet::checks::on_dead(const discovery::target& target, clock::time_point probed_at,
                                     std::span<const std::string> /*confirmed_by*/,
                                     clock::time_point now) {
    fleet_.core(number_).on_target_dead(target, probed_at, now);
}

void overload_fleet::checks::on_reported_dead(const discovery::target& target,
                                              clock::time_point until) {
    fleet_.core(number_).on_target_reported_dead(target, until);
}

void overload_fleet::checks::on_found_alive(const discovery::target& target) {
    fleet_.core(number_).on_target_reached(target);
}

}  // namespace bramleytrack::experiments
