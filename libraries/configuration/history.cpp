#include "configuration/history.h"

#include <utility>

namespace bramleytrack::configuration {

void history::add(configuration replaced) {
    if (replaced.version == 0) {
        return;
    }
    replaced.text.clear();
    all_.push_front({.content = std::move(replaced), .replaced = std::nullopt});
    if (all_.size() > max_versions) {
        all_.pop_back();
    }
}

void history::on_tick(clock::time_point now) {
    for (auto& each : all_) {
        each.replaced = each.replaced.value_or(now);
    }
}

}  // namespace bramleytrack::configuration
