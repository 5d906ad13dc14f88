// Reads the metrics of instances over HTTP.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::ctl {

// Asks all addresses (ip:port) at the same time, so that instances which don't answer cost one
// timeout together. Returns one text for each, in the same order; empty when it did not answer.
std::vector<std::string> fetch_metrics(std::span<const std::string> addresses,
                                       clock::duration timeout);

}  // namespace bramleytrack::ctl
