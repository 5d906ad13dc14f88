// Metrics of one instance in the Prometheus text format.
//
// The text is served from the instance's own event loop: the pull library of prometheus-cpp starts
// threads of its own, but an instance is single-threaded by design.
#pragma once

#include <memory>
#include <string>

#include "instance/context.h"
#include "outbox/action.h"

namespace bramleytrack::observability {

// Maximum number of distinct values of the `member` label. Callers choose the member name, so
// without a bound they could grow the number of series, and with it the memory, at will. Further
// members share one series.
constexpr std::size_t max_members = 200;

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Records the outcome and its latency in the histograms per member and per service.
    void observe(const request_ended& event);

    // All metrics in the Prometheus text format, with gauges read from `state`.
    std::string render(const context& state);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace bramleytrack::observability
