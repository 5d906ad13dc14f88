#include "baselines.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "load/target_load.h"

namespace bramleytrack::experiments {
namespace {

clock::time_point ends_now(const load::target_load& /*load*/, const load::work& /*request*/,
                           clock::time_point now) {
    return now;
}

clock::time_point queued_ends_now(const configuration::target& /*target*/,
                                  const load::target_load& /*load*/, const load::work& /*request*/,
                                  clock::time_point now) {
    return now;
}

clock::duration fixed_retry_after(const configuration::target& /*target*/,
                                  load::target_load& /*load*/, const load::work& /*refused*/,
                                  clock::time_point /*now*/) {
    return clock::duration{500};
}

load::work_class single_class(bool /*may_repeat*/, std::size_t /*payload_size*/) {
    return 0;
}

constexpr std::array baselines{
    baseline{"fair_queue", "first come, first served",
             [](load::strategies& table) {
                 table.take = &load::fair_queue::take_oldest;
                 table.evict_for = [](load::fair_queue&, std::string_view) {
                     return std::optional<load::waiting_request>{};
                 };
             }},
    baseline{"push_out", "a full queue rejects the new request",
             [](load::strategies& table) {
                 table.evict_for = [](load::fair_queue&, std::string_view) {
                     return std::optional<load::waiting_request>{};
                 };
             }},
    baseline{"deadline_check", "only the length of the queue decides",
             [](load::strategies& table) {
                 table.end_if_dispatched = &ends_now;
                 table.latest_end = &ends_now;
                 table.end_if_queued = &queued_ends_now;
             }},
    baseline{"come_back", "always 500 ms",
             [](load::strategies& table) { table.retry_after = &fixed_retry_after; }},
    baseline{"work_classes", "one service time for all requests of a member",
             [](load::strategies& table) { table.class_of = &single_class; }},
};

}  // namespace

std::span<const baseline> all_baselines() {
    return baselines;
}

load::strategies strategies_without(const std::vector<std::string>& names) {
    auto table = load::default_strategies();
    constexpr std::array<std::string_view, 14> flow_decisions{
        "shared_demands",    "second_candidate", "own_placements",     "threshold",
        "cold_observation",  "cold_start",       "open_request_limit", "shared_loads",
        "caller_shares",     "opening_copies",   "dead_flows",         "target_checks",
        "progress_timeouts", "peer_copies"};
    for (const auto& name : names) {
        if (std::ranges::find(flow_decisions, name) != flow_decisions.end()) {
            continue;  // handled by the placement, cold start, overload and fleet start experiments
        }
        const auto* found = std::ranges::find(baselines, name, &baseline::name);
        if (found == baselines.end()) {
            throw std::invalid_argument{"no such decision: " + name};
        }
        found->apply(table);
    }
    return table;
}

}  // namespace bramleytrack::experiments
