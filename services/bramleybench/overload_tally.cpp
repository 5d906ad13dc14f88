#include "overload_tally.h"

#include <algorithm>

namespace bramleytrack::experiments {

template <typename Count>
void overload_tally::for_each_group(const caller_groups& by, Count count) {
    count(all_);
    count(zones_[by.zone]);
    if (by.is_light) {
        count(light_);
    }
    if (!by.asks_long) {
        count(short_);
    }
    if (by.is_urgent) {
        count(urgent_);
    }
}

void overload_tally::on_asked(const caller_groups& by) {
    for_each_group(by, [](served& group) { ++group.asked; });
}

void overload_tally::on_answered(const caller_groups& by, bool is_in_time) {
    if (is_in_time) {
        for_each_group(by, [](served& group) { ++group.in_time; });
    } else {
        ++late_;
    }
}

std::vector<figure> overload_tally::figures(const overload_pattern& pattern) const {
    const auto share = [this](int count) {
        return all_.asked == 0 ? 0.0 : static_cast<double>(count) / all_.asked;
    };
    std::vector<figure> result{{.name = "in time", .value = all_.share()},
                               {.name = "late", .value = share(late_)},
                               {.name = "failed", .value = share(failed_)},
                               {.name = "shed by targets", .value = share(shed_)}};
    if (light_.asked > 0) {
        result.push_back({.name = "in time, light", .value = light_.share()});
    }
    if (pattern.long_share > 0) {
        result.push_back({.name = "in time, short", .value = short_.share()});
    }
    if (pattern.urgent_share > 0) {
        result.push_back({.name = "in time, urgent", .value = urgent_.share()});
    }
    if (zones_.size() > 1) {
        const auto least = std::ranges::min(zones_, {}, &served::share);
        result.push_back({.name = "least in time, zone", .value = least.share()});
    }
    return result;
}

}  // namespace bramleytrack::experiments
