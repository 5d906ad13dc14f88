// Numbered result codes, shared by packets, logs, exit messages and docs/RESULT-CODES.md.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bramleytrack {

// The hundreds digit gives the area: 1 packets, 2 flows, 3 requests, 4 ownership of targets between
// instances, 5 configuration, 6 the store, 7 settings and command line. A number is never reused
// for another meaning, and a code keeps its number even if it doesn't fit its area, such as
// not_ready and target_silent. result_code.cpp has the meaning of each code.
enum class result_code : std::uint16_t {
    ok = 0,
    malformed_datagram = 101,
    unauthenticated_datagram = 102,
    unknown_service = 103,
    wrong_service = 104,
    too_many_hops = 105,
    unknown_route = 106,
    unknown_token = 107,
    target_gone = 108,
    not_ready = 109,
    target_silent = 110,
    opening_too_late = 111,
    unknown_flow = 201,
    no_eligible_target = 202,
    target_full = 203,
    zone_unreachable = 204,
    // The instance could not determine which target holds the flow, or is still looking it up.
    flow_in_doubt = 205,
    // The flow's target is in an availability zone that operators have taken out of service.
    zone_out = 206,
    queue_full = 301,
    deadline_too_near = 302,
    deadline_passed = 303,
    shed_by_target = 304,
    // The target may have run the request, for example for an earlier owner of the target.
    outcome_unknown = 305,
    cancelled = 306,
    too_many_requests = 307,
    // The caller used a request number of this flow again, for a different request.
    number_reused = 308,
    unknown_request = 309,
    not_owner = 401,
    configuration_invalid = 501,
    version_conflict = 502,
    unknown_name = 503,
    store_unavailable = 601,
    // It is not known whether the write took effect: the store's response was lost, and reading the
    // key back did not resolve it.
    write_in_doubt = 602,
    store_throttled = 603,
    history_gone = 604,
    condition_failed = 605,
    lease_ended = 606,
    unreadable_record = 607,
    settings_invalid = 701,
    usage = 702,
};

struct result_code_description {
    result_code code;
    std::string_view name;
    std::string_view meaning;
};

// All codes in ascending order. A test checks docs/RESULT-CODES.md against this list.
std::span<const result_code_description> all_result_codes();

std::string_view name_of(result_code code);

}  // namespace bramleytrack
