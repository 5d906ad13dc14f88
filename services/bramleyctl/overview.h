// bramleyctl overview ADDRESS...: what instances that route by token believe, from their metrics.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "commands.h"

namespace bramleytrack::ctl {

// The gauges without labels of a Prometheus text, by name.
std::map<std::string, double> parse_gauges(std::string_view text);

// `arguments` begin with "overview"; the rest are metrics addresses, ip:port. Exit status 0 when
// all instances answered and have one version, 6 otherwise.
int overview(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
