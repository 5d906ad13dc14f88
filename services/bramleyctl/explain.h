// bramleyctl explain CALLER [LOG...]: what became of a flow, from the logs of the instances.
#pragma once

#include <span>
#include <string>

#include "commands.h"

namespace bramleytrack::ctl {

// `arguments` begin with "explain". Reads standard input when no file is named. Returns the exit
// status: 0 when the flow was found, 6 when no line names its caller.
int explain(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
