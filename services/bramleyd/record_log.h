// Log events for records that an instance has received from the store or from a peer.
#pragma once

#include "base/log_event.h"
#include "discovery/directory.h"

namespace bramleytrack {

// `revision` is the store revision of the record. The event is named after `outcome`: "learned" if
// the directory applied the record, "left_out" otherwise.
log_event describe_change(const discovery::record& subject, std::int64_t revision,
                          discovery::change outcome);

}  // namespace bramleytrack
