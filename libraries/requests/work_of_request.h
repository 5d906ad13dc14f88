// How packets and records of requests are seen by the rest of the slice.
#pragma once

#include "load/target_load.h"
#include "records/request_table.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::requests {

using records::request;
using records::request_id;
using records::request_state;

request_id id_of(const wire::packet& packet);

bool may_run_twice(const wire::packet& content);

// The request as the load decisions see it.
load::work work_of(const request& subject, const load::target_load& load);

// Nothing that a dead owner dispatched runs longer than this after the takeover.
constexpr clock::duration inherited_lifetime =
    records::max_request_lifetime + records::deadline_grace;

}  // namespace bramleytrack::requests
