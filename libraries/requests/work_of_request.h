// Conversions between packets, request records and the units of work that load decisions use.
#pragma once

#include "load/target_load.h"
#include "records/request_table.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::requests {

using records::request;
using records::request_id;
using records::request_state;

request_id id_of(const wire::packet& packet);

bool is_repeatable(const wire::packet& content);

load::work work_of(const request& record, const load::target_load& load);

// No request that a failed owner dispatched runs longer than this after the takeover.
constexpr clock::duration max_predecessor_work_lifetime =
    records::max_request_lifetime + records::deadline_grace;

}  // namespace bramleytrack::requests
