#include "overload_fleet.h"

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

}  // namespace

overload_fleet::overload_fleet(const overload_pattern& pattern, const overload_features& features,
                               clock::time_point start)
    : pattern_{pattern}, features_{features} {
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
            directory_.apply(discovery::peer_entry{.name = instance_name(i),
                                                   .zone = zone_name(zone),
                                                   .address = {},
                                                   .pull_address = {}},
                             static_cast<std::int64_t>(i) + 2, false, start);
        }
    }
}

void overload_fleet::add_routes(clock::time_point start) {
    discovery::catalogue catalogue;
    catalogue.version = 1;
    const auto add = [&catalogue](std::string name, std::uint16_t port, int priority,
                                  clock::duration objective) {
        auto& route = catalogue.routes.emplace_back();
        route.name = std::move(name);
        route.address = {.address = 1, .port = port};
        route.splits = {{.service = "board", .weight = 1}};
        route.priority = priority;
        route.latency_objective = objective;
        route.is_idempotent = true;
    };
    constexpr int highest_priority = 0;
    constexpr int middle_priority = 1;
    constexpr int lowest_priority = 2;
    add("unused", unused_port, highest_priority, pattern_.objective);
    add("sign-off", urgent_port, features_.prioritizes_routes ? middle_priority : lowest_priority,
        pattern_.objective);
    add("feed", short_port, lowest_priority, pattern_.objective);
    add("archive", long_port, lowest_priority, pattern_.long_objective);
    catalogue.services = {{.name = "board"}};
    directory_.apply(catalogue, 1, false, start);
}

void overload_fleet::add_targets(clock::time_point start) {
    for (int i = 0; i < pattern_.targets; ++i) {
        const auto index = static_cast<std::size_t>(i);
        discovery::target_entry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "board";
        entry.zone = zone_name(index % zones());
        entry.slots = features_.limits_open_requests ? pattern_.slots : unlimited_slots;
        directory_.apply(entry, i + 2, false, start);
        target_index_by_token_[discovery::token_of(entry.id)] = index;
    }
}

void overload_fleet::add_instance(std::size_t zone) {
    const auto index = instances_.size();
    const auto name = instance_name(index);
    index_by_name_[name] = index;
    instances_of_zone_[zone].push_back(index);
    auto& added = instances_.emplace_back();
    added.name = name;
    added.actions = std::make_unique<detector_actions>(*this, index);
    added.failure_detector = std::make_unique<fleet::target_failure_detector>(
        directory_, name, zone_name(zone), *added.actions);
    added.digests = std::make_unique<fleet::peer_digests>(directory_, name, zone_name(zone), 1);
    added.cold = std::make_unique<steering::cold_gate>(name);
    added.core = std::make_unique<steering::steering>(
        steering::location{.zone = zone_name(zone), .regions = {}}, directory_, *added.cold,
        *added.digests, log_, observer_);
}

wire::digest overload_fleet::digest_of(const instance& source, clock::time_point now) const {
    wire::digest result;
    result.loads = source.digests->load_reports(source.core->flows());
    if (features_.shares_demands) {
        result.demands =
            source.digests->demand_reports(source.core->demands(), source.core->flows(), now);
    }
    return result;
}

void overload_fleet::exchange_digests(clock::time_point now) {
    now_ = now;
    for (auto& each : instances_) {
        each.core->expire(now);
        each.failure_detector->expire(now);
    }
    if (!features_.shares_loads) {
        return;
    }
    for (auto& from : instances_) {
        const auto content = digest_of(from, now);
        const auto dead = from.failure_detector->take_verdicts(now);
        for (const auto* receiver : from.digests->next_receivers()) {
            auto& to = instances_[index_by_name_.at(receiver->name)];
            to.digests->on_digest(from.name, content, now);
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
