// Configurations that were active before the current one. Flows that were opened under them, or by
// peers that still use them, are also looked up at the candidates that those configurations give.
#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "configuration/configuration.h"

namespace bramleytrack::configuration {

struct replaced_configuration {
    configuration content;
    std::optional<clock::time_point> replaced;  // set by the first tick after it was replaced
};

class history {
public:
    // A change is made every 25 s on average and is active on all instances within 4 s, so peers
    // are rarely more than two versions apart.
    static constexpr std::size_t max_versions = 3;

    // Ignores the empty configuration (version 0) that an instance starts with.
    void add(configuration replaced);
    void on_tick(clock::time_point now);

    // Newest first.
    const std::deque<replaced_configuration>& all() const { return all_; }

private:
    std::deque<replaced_configuration> all_;
};

}  // namespace bramleytrack::configuration
