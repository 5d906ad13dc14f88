// Metrics of one instance in the Prometheus text format.
//
// The serialized text is served from the instance's own loop: the pull library of prometheus-cpp
// runs threads of its own, which the one-loop rule forbids.
#pragma once

#include <memory>
#include <string>

#include "instance/context.h"
#include "outbox/action.h"

namespace bramleytrack::observability {

// Label values that a caller can invent (members) are bounded: those beyond share one series, so
// that a stranger's names can't grow the memory.
constexpr std::size_t max_members = 200;

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Counts the outcome, and the time to it in histograms per member and per service.
    void observe(const request_ended& event);

    // The state of the instance as exposition text.
    std::string render(const context& state);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace bramleytrack::observability
