#include "scenario.h"

#include <algorithm>

namespace bramleytrack::experiments {

std::span<const scenario> all_scenarios() {
    static const std::vector<scenario> all{
        {.name = "steady",
         .description = "four equal members at 0.7 of what the targets can do",
         .members = {{"a", 0.175}, {"b", 0.175}, {"c", 0.175}, {"d", 0.175}}},
        {.name = "flood",
         .description = "one member sends 10 times its fair share, three send 0.8 of theirs",
         .members = {{"a", 2.5}, {"b", 0.2}, {"c", 0.2}, {"d", 0.2}}},
        {.name = "flood_all_busy",
         .description = "one member sends 10 times its fair share, three 1.5 times theirs",
         .members = {{"a", 2.5}, {"b", 0.375}, {"c", 0.375}, {"d", 0.375}}},
        {.name = "few_callers",
         .description = "two callers send most of the load of one member",
         .members = {{"a", 1.5, 0, 2}, {"b", 0.2}, {"c", 0.2}, {"d", 0.2}}},
        {.name = "saturation_2x",
         .description = "four equal members at 2 times what the targets can do",
         .members = {{"a", 0.5}, {"b", 0.5}, {"c", 0.5}, {"d", 0.5}}},
        {.name = "saturation_5x",
         .description = "four equal members at 5 times what the targets can do",
         .members = {{"a", 1.25}, {"b", 1.25}, {"c", 1.25}, {"d", 1.25}}},
        {.name = "tight_2x",
         .description = "the same at 2 times with deadlines of five service times",
         .members = {{"a", 0.5}, {"b", 0.5}, {"c", 0.5}, {"d", 0.5}},
         .deadline = clock::duration{100}},
        {.name = "long_among_short",
         .description = "every 20th request takes 25 times as long; 0.8 of what the targets can do",
         .members = {{"a", 0.4, 0.05}, {"b", 0.4, 0.05}},
         .deadline = clock::duration{3'000}},
        {.name = "long_among_short_2x",
         .description = "the same at 2 times what the targets can do",
         .members = {{"a", 1.0, 0.05}, {"b", 1.0, 0.05}},
         .deadline = clock::duration{3'000}},
        {.name = "long_member",
         .description =
             "one member sends long work only, one short work only; both twice their share",
         .members = {{"a", 1.0, 1.0}, {"b", 1.0}},
         .deadline = clock::duration{3'000}},
        {.name = "burst",
         .description = "one second at 8 times what the targets can do; refused callers come back",
         .members = {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}},
         .burst = clock::duration{1'000},
         .max_retries = 10},
        {.name = "slow_target",
         .description =
             "one target takes 10 times as long from the middle on; 0.7 of what all can do",
         .members = {{"a", 0.35}, {"b", 0.35}},
         .slow_factor = 10},
    };
    return all;
}

const scenario* find_scenario(std::string_view name) {
    const auto all = all_scenarios();
    const auto found = std::ranges::find(all, name, &scenario::name);
    return found == all.end() ? nullptr : &*found;
}

}  // namespace bramleytrack::experiments
