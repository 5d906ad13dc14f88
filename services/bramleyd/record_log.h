// Log lines for what an instance has learned.
#pragma once

#include "base/log_event.h"
#include "discovery/directory.h"

namespace bramleytrack {

// `revision` is the store's; `outcome` tells whether the record was taken or left out.
log_event describe(const discovery::record& subject, std::int64_t revision,
                   discovery::change outcome);

}  // namespace bramleytrack
