#include "overload_fleet.h"

#include "fleet/digest_size.h"

namespace bramleytrack::experiments {
namespace {

// High enough that no target ever reaches its limit.
constexpr int unlimited_slots = 1'000'000;

std::string zone_name(std::size_t zone) {
    return "zone-" + std::to_string(zone);
}

std::string instance_name(std::size_t index) {
    return "instance-" + std::to_string(index);
}

// Slow targets in one digest.
constexpr std::size_t max_slow_targets = 3;

}  // namespace

std::string service_name(std::size_t service) {
    return service == 0 ? "board" : "board-" + std::to_string(service);
}

overload_fleet::overload_fleet(const overload_pattern& pattern,
                               std::span<const overload_route> routes,
                               const overload_features& features, clock::time_point start)
    : pattern_{pattern},
      features_{features},
      start_{start},
      target_counts_{pattern.targets_by_service} {
    if (target_counts_.empty()) {
        target_counts_.push_back(pattern.targets);
    }
    auto counts = pattern.instances_by_zone;
    if (counts.empty()) {
        counts.push_back(pattern.instances);
    }
    instances_of_zone_.resize(counts.size());
    add_routes(routes, start);
    add_targets(start);
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (int i = 0; i < counts[zone]; ++i) {
            add_instance(zone);
        }
    }
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (const auto i : instances_of_zone_[zone]) {
            directory_.apply(discovery::peer_entry{.name = instance_name(i),
                                                   .zone = zone_name(zone),
                                                   .address = {},
                                                   .pull_address = {}},
                             static_cast<std::int64_t>(i) + 2, false, start);
        }
    }
}

void overload_fleet::add_routes(std::span<const overload_route> routes, clock::time_point start) {
    discovery::catalogue catalogue;
    catalogue.version = 1;
    const auto add = [&catalogue](const overload_route& added, std::uint16_t port, int priority) {
        auto& route = catalogue.routes.emplace_back();
        route.name = added.name;
        route.address = {.address = 1, .port = port};
        for (std::size_t i = 0; i < added.weights.size(); ++i) {
            route.splits.push_back({.service = service_name(i), .weight = added.weights[i]});
        }
        route.priority = priority;
        route.latency_objective = added.objective;
        route.is_idempotent = true;
    };
    constexpr int highest_priority = 0;
    constexpr int lowest_priority = 2;
    add({.name = "unused"}, unused_port, highest_priority);
    for (std::size_t i = 0; i < routes.size(); ++i) {
        add(routes[i], static_cast<std::uint16_t>(first_port + i),
            features_.prioritizes_routes ? routes[i].priority : lowest_priority);
    }
    for (std::size_t i = 0; i < services(); ++i) {
        catalogue.services.push_back({.name = service_name(i)});
    }
    directory_.apply(catalogue, 1, false, start);
}

void overload_fleet::add_targets(clock::time_point start) {
    for (int i = 0; i < pattern_.targets; ++i) {
        const auto index = static_cast<std::size_t>(i);
        discovery::target_entry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = service_name(service_of(index));
        entry.zone = zone_name(index % zones());
        entry.slots = features_.limits_open_requests ? pattern_.slots : unlimited_slots;
        directory_.apply(entry, i + 2, false, start);
        target_index_by_token_[discovery::token_of(entry.id)] = index;
    }
}

std::size_t overload_fleet::service_of(std::size_t target) const {
    std::size_t service = 0;
    auto end = static_cast<std::size_t>(target_counts_[service]);
    while (target >= end) {
        end += static_cast<std::size_t>(target_counts_[++service]);
    }
    return service;
}

void overload_fleet::add_instance(std::size_t zone) {
    const auto index = instances_.size();
    instances_of_zone_[zone].push_back(index);
    auto& added = instances_.emplace_back();
    added.name = instance_name(index);
    added.zone = zone_name(zone);
    index_by_name_[added.name] = index;
    added.actions = std::make_unique<detector_actions>(*this, index);
    restart(index);
}

void overload_fleet::restart(std::size_t index) {
    auto& started = instances_[index];
    started.core.reset();  // before what it refers to
    started.failure_detector = std::make_unique<fleet::target_failure_detector>(
        directory_, started.name, started.zone, *started.actions);
    started.digests =
        std::make_unique<fleet::peer_digests>(directory_, started.name, started.zone, 1);
    started.cold = std::make_unique<steering::cold_gate>(started.name);
    started.core = std::make_unique<steering::steering>(
        steering::location{.zone = started.zone, .regions = {}}, directory_, *started.cold,
        *started.digests, log_, observer_);
    started.core->set_admission(features_.admission);
}

wire::digest overload_fleet::digest_of(const instance& source, clock::time_point now) {
    wire::peer_message message;
    message.sender = source.name;
    message.__set_fleet_digest({});
    auto& result = message.fleet_digest;
    const auto& core = *source.core;
    std::vector<steering::target_speed_report> slow;
    const bool has_routes = features_.admission.capacity_shares || features_.admission.zone_balance;
    if (has_routes) {
        result.routes = source.digests->route_reports(core.usage(), core.flows(), now);
        slow = core.speeds().slowest(max_slow_targets, now);
    }
    result.loads = source.digests->load_reports(core.flows(), slow);
    if (features_.shares_demands) {
        result.demands =
            source.digests->demand_reports(core.demands(), core.flows(), now, result.routes);
    }
    // Without reports of routes, a digest has room for all of its loads.
    if (has_routes) {
        fleet::limit_digest_size(message, encoder_, key_);
    }
    return result;
}

bool overload_fleet::are_digests_lost(clock::time_point now) const {
    return !features_.shares_loads || (now >= start_ + pattern_.faults.digest_loss_begin &&
                                       now < start_ + pattern_.faults.digest_loss_end);
}

void overload_fleet::exchange_digests(clock::time_point now) {
    now_ = now;
    for (auto& each : instances_) {
        each.core->expire(now);
        each.failure_detector->expire(now);
    }
    if (are_digests_lost(now)) {
        return;
    }
    for (auto& from : instances_) {
        const auto content = digest_of(from, now);
        const auto dead = from.failure_detector->take_verdicts(now);
        for (const auto* receiver : from.digests->next_receivers()) {
            auto& to = instances_[index_by_name_.at(receiver->name)];
            to.digests->on_digest(from.name, content, now);
            for (const auto& each : fleet::speed_reports_of(content)) {
                to.core->on_speed_report(from.name, each, now);
            }
            for (const auto& each : dead) {
                const bool has_flows = to.core->flows().health(each.token).flows > 0;
                to.failure_detector->on_reported_dead(from.name, each, has_flows, now);
            }
        }
    }
}

void overload_fleet::probe_suspected_targets(std::size_t index, clock::time_point now) {
    now_ = now;
    auto& source = instances_[index];
    if (!features_.probes_targets) {
        return;
    }
    for (const auto token : source.core->take_suspects(now)) {
        source.failure_detector->suspect(token, now);
    }
}

void overload_fleet::report_probe_result(std::size_t index, std::size_t target, bool is_reachable,
                                         clock::time_point now) {
    now_ = now;
    const auto token = discovery::token_of("i-" + std::to_string(target));
    instances_[index].failure_detector->on_probe_result(token, is_reachable, now);
}

void overload_fleet::detector_actions::probe(const discovery::target& target) {
    fleet_.probe_(index_, fleet_.target_index_of(target.token));
}

void overload_fleet::detector_actions::request_indirect_probe(const discovery::peer_entry& peer,
                                                              discovery::routing_token token) {
    auto& receiver = fleet_.instances_[fleet_.index_by_name_.at(peer.name)];
    receiver.failure_detector->on_indirect_probe_request(fleet_.instances_[index_].name, token,
                                                         fleet_.now_);
}

void overload_fleet::detector_actions::send_indirect_probe_result(const discovery::peer_entry& peer,
                                                                  discovery::routing_token token,
                                                                  bool is_reachable) {
    auto& requester = fleet_.instances_[fleet_.index_by_name_.at(peer.name)];
    requester.failure_detector->on_indirect_probe_result(fleet_.instances_[index_].name, token,
                                                         is_reachable, fleet_.now_);
}

void overload_fleet::detector_actions::on_dead(const discovery::target& target,
                                               clock::time_point probed_at,
                                               std::span<const std::string> /*confirmed_by*/,
                                               clock::time_point now) {
    fleet_.core(index_).on_target_dead(target, probed_at, now);
}

void overload_fleet::detector_actions::on_reported_dead(const discovery::target& target,
                                                        clock::time_point until) {
    fleet_.core(index_).on_target_reported_dead(target, until);
}

void overload_fleet::detector_actions::on_found_alive(const discovery::target& target) {
    fleet_.core(index_).on_target_reached(target);
}

}  // namespace bramleytrack::experiments
