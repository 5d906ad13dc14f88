// bramleyctl overview ADDRESS...: the state of instances that route by token, from their
// metrics.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "commands.h"

namespace bramleytrack::ctl {

// Returns the samples without labels of a Prometheus text exposition, by name.
std::map<std::string, double> parse_gauges(std::string_view text);

// `arguments[0]` is "overview"; the rest are metrics addresses as ip:port. Returns the exit status:
// 0 when all instances answered and have the same configuration version, 6 otherwise.
int overview(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
