// Parser for the Prometheus text format, as instances serve it at /metrics.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bramleytrack::ctl {

struct metric_sample {
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;

    // Returns an empty text when there is no such label.
    std::string_view label(std::string_view key) const;
};

// Returns the samples in the order of the text. Comments, and lines that are malformed or cut off,
// are skipped.
std::vector<metric_sample> parse_prometheus_text(std::string_view text);

}  // namespace bramleytrack::ctl
