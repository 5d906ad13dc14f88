// bramleyctl explain CALLER [LOG...]: reconstructs the history of a flow from instance logs.
#pragma once

#include <span>
#include <string>

#include "commands.h"

namespace bramleytrack::ctl {

// `arguments[0]` is "explain". Reads standard input when no file is named. Returns the exit status:
// 0 when the flow was found, 2 when CALLER is missing, 3 when a file can't be read, 6 when no log
// line names the caller.
int explain(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
