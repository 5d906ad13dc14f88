// bramleyctl services ADDRESS...: capacity, demand and openings by service and route, over the
// instances that route by token.
#pragma once

#include <span>
#include <string>

#include "commands.h"

namespace bramleytrack::ctl {

// `arguments[0]` is "services"; the rest are metrics addresses as ip:port. Returns the exit status:
// 0 when all instances answered, 2 without an address, 6 when some did not answer.
int services(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
